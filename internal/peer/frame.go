// Package peer links this entry to the other entries over QUIC with mutual TLS. The links carry load
// reports, table rows, forwarded requests, cancellations, slot loans and the hand-over of tickets.
package peer

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/peer/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// MaxFrameBytes bounds a frame. The largest body with its envelope fits.
const MaxFrameBytes fleet.Bytes = 2 << 20

// prefixBytes is the size of the length prefix of a frame, in network byte order.
const prefixBytes = 4

// FrameError reports bytes that are not a frame, or a frame that is too large.
type FrameError struct {
	Problem string
	Size    fleet.Bytes
}

// Error implements error.
func (e *FrameError) Error() string { return fmt.Sprintf("frame of %d bytes: %s", e.Size, e.Problem) }

// EncodeFrame returns a frame with its length prefix, or *FrameError.
func EncodeFrame(f *peerv1.Frame) ([]byte, error) {
	size := proto.Size(f)
	if fleet.Bytes(size) > MaxFrameBytes {
		return nil, trace.Wrap(&FrameError{Problem: "above the limit", Size: fleet.Bytes(size)})
	}
	data := binary.BigEndian.AppendUint32(make([]byte, 0, prefixBytes+size), uint32(size))
	data, err := proto.MarshalOptions{}.MarshalAppend(data, f)
	if err != nil {
		return nil, trace.Wrap(&FrameError{Problem: err.Error(), Size: fleet.Bytes(size)})
	}
	return data, nil
}

// ReadFrame reads one frame. It returns *FrameError for bytes that are not a frame and the reader's
// error for a truncated frame.
func ReadFrame(r io.Reader) (*peerv1.Frame, error) {
	var prefix [prefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return nil, trace.Wrap(err)
	}
	size := fleet.Bytes(binary.BigEndian.Uint32(prefix[:]))
	if size > MaxFrameBytes {
		return nil, trace.Wrap(&FrameError{Problem: "above the limit", Size: size})
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, trace.Wrap(err)
	}
	f := &peerv1.Frame{}
	if err := proto.Unmarshal(data, f); err != nil {
		return nil, trace.Wrap(&FrameError{Problem: err.Error(), Size: size})
	}
	return f, nil
}
