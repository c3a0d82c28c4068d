// Package httpdoor applies the bounds of package door to HTTP servers.
package httpdoor

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/door"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// chunkBytes is the first buffer of a body whose length is not declared.
const chunkBytes = 4 << 10

// Reader reads the bodies of requests within a budget. It is safe for concurrent use.
type Reader struct {
	// The fields are set before the first request.
	Clock  clock.Clock
	Budget *door.Budget
	// Patience is how long a body may take; Rate extends it by the time that the bytes received take at that rate, in
	// bytes a second. A Rate of 0 extends nothing.
	Patience time.Duration
	Rate     fleet.BytesPerSecond
}

// Message is the body of a request. It implements io.ReadCloser.
type Message struct {
	*bytes.Reader
	data  []byte
	share *door.Share
}

// Bytes returns the body; that of a nil message is empty.
func (m *Message) Bytes() []byte {
	if m == nil {
		return nil
	}
	return m.data
}

// Close implements io.Closer.
func (m *Message) Close() error { return nil }

// Release returns what the request holds to the budget.
func (m *Message) Release() { m.share.Release() }

// Read reads the body of a request, of at most limit bytes, and replaces it. The scanner may be nil; what the body
// takes once it is decoded is held with it. It returns nil for a request without a body, and *door.Refusal, after which
// the connection has to be closed.
func (r *Reader) Read(w http.ResponseWriter, q *http.Request, limit fleet.Bytes, scanner door.Scanner) (*Message, error) {
	if q.ContentLength == 0 || q.Body == nil {
		return nil, nil
	}
	limit = min(limit, r.Budget.Limit())
	size := fleet.Bytes(q.ContentLength)
	if size > limit {
		return nil, &door.Refusal{Reason: door.ReasonBodyTooLarge, Size: size, Limit: limit}
	}
	if size < 0 {
		size = min(chunkBytes, limit)
	}
	controller := http.NewResponseController(w)
	share, err := r.Budget.Take(r.Clock.Now(), size, func() { _ = controller.SetReadDeadline(r.Clock.Now()) })
	if err != nil {
		return nil, err
	}
	body := &reading{Reader: r, controller: controller, share: share, scanner: scanner, limit: limit, data: make([]byte, 0, size), began: r.Clock.Now()}
	if err := body.readAll(q.Body); err != nil {
		share.Release()
		return nil, err
	}
	// The server keeps reading to detect that the client disconnects, which must not time out.
	_ = controller.SetReadDeadline(time.Time{})
	m := &Message{Reader: bytes.NewReader(body.data), data: body.data, share: share}
	q.Body = m
	return m, nil
}

// reading is a body that is being read.
type reading struct {
	*Reader
	controller *http.ResponseController
	share      *door.Share
	scanner    door.Scanner
	limit      fleet.Bytes
	data       []byte
	began      time.Time
}

func (b *reading) readAll(from io.Reader) error {
	for {
		if err := b.makeRoom(); err != nil {
			return err
		}
		_ = b.controller.SetReadDeadline(b.deadline()) // Fails only on a closed connection, on which the read fails too.
		if b.share.IsShed() {
			return &door.Refusal{Reason: door.ReasonBodyShed}
		}
		n, err := from.Read(b.data[len(b.data):cap(b.data)])
		b.share.Moved(b.Clock.Now())
		part := b.data[len(b.data) : len(b.data)+n]
		b.data = b.data[:len(b.data)+n]
		if b.scanner != nil {
			if err := b.scanner.Scan(part); err != nil {
				return err
			}
		}
		switch {
		case fleet.Bytes(len(b.data)) > b.limit:
			return &door.Refusal{Reason: door.ReasonBodyTooLarge, Size: fleet.Bytes(len(b.data)), Limit: b.limit}
		case errors.Is(err, io.EOF):
			return b.complete()
		case b.share.IsShed():
			return &door.Refusal{Reason: door.ReasonBodyShed}
		case errors.Is(err, os.ErrDeadlineExceeded):
			return &door.Refusal{Reason: door.ReasonBodyTooSlow}
		case err != nil:
			return &door.Refusal{Reason: door.ReasonBodyIncomplete}
		}
	}
}

// deadline returns when the body has to be complete, given what has arrived.
func (b *reading) deadline() time.Time {
	d := b.began.Add(b.Patience)
	if b.Rate > 0 {
		d = d.Add(time.Duration(len(b.data)) * time.Second / time.Duration(b.Rate))
	}
	return d
}

// makeRoom doubles a full buffer. One byte above the limit shows that the body is too large; a body of the declared
// length needs one to show its end.
func (b *reading) makeRoom() error {
	if len(b.data) < cap(b.data) {
		return nil
	}
	size := min(2*fleet.Bytes(cap(b.data)), b.limit+1)
	if err := b.share.Grow(b.Clock.Now(), size-fleet.Bytes(cap(b.data))); err != nil {
		return err
	}
	b.data = append(make([]byte, 0, size), b.data...)
	return nil
}

func (b *reading) complete() error {
	if err := b.share.Complete(); err != nil {
		return err
	}
	if b.scanner == nil {
		return nil
	}
	return b.share.Grow(b.Clock.Now(), b.scanner.Cost(b.data))
}
