package peer_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/control"
	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/peer"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	peerv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/peer/v1"
)

// Guards against frames of a peer that make the reader panic, which would end the entry.
func FuzzReader(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		is := is.New(t)
		all := frames(is, &peerv1.Frame{Message: &peerv1.Frame_Hello{Hello: &peerv1.Hello{Entry: "b"}}})
		all = append(binary.BigEndian.AppendUint32(all, uint32(len(data))), data...)
		conn := recordedConn{Reader: bytes.NewReader(all), closed: ring.New[bool]("closed", 4)}
		group, ctx := duty.NewGroup(context.Background())
		group.Start(ctx, &peer.Reader{
			Own: "a", Acceptor: conn, Dispatcher: ring.New[dispatch.Event]("dispatcher", 8), Poller: ring.New[control.PollerEvent]("poller", 1),
			Hub: ring.New[peer.HubEvent]("hub", 8), Directory: &ring.Latest[*peer.Directory]{}, Clock: clockwork.NewFakeClock(), Log: zap.NewNop(),
		})
		_, err := conn.closed.Pop(ctx)
		group.Stop()
		is.NoErr(group.Wait())
		is.NoErr(err)
	})
}
