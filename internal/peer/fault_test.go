package peer_test

import (
	"bytes"
	"context"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/control"
	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/peer"
	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	callerv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/caller/v1"
	peerv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/peer/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// recordedConn is the connection of a peer that sends recorded bytes and closes it.
type recordedConn struct {
	io.Reader
	closed *ring.Ring[bool]
}

func (recordedConn) SetReadDeadline(time.Time) error { return nil }
func (recordedConn) Certifies(id fleet.EntryID) bool { return id == "b" }
func (r recordedConn) Close()                        { _ = r.closed.Push(true) }
func (r recordedConn) Accept(ctx context.Context) (peer.Incoming, error) {
	if r.closed.Depth() > 0 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return r, nil
}

func frames(is *is.I, list ...*peerv1.Frame) []byte {
	var out []byte
	for _, f := range list {
		data, err := peer.EncodeFrame(f)
		is.NoErr(err)
		out = append(out, data...)
	}
	return out
}

// Guards against a reader that acts on frames of an unknown sender, on an incomplete hand-over or on a
// truncated frame.
func TestReaderUnderFaults(t *testing.T) {
	hello := func(entry string) *peerv1.Frame {
		return &peerv1.Frame{Message: &peerv1.Frame_Hello{Hello: &peerv1.Hello{Entry: entry, Incarnation: "two"}}}
	}
	report := &peerv1.Frame{Message: &peerv1.Frame_Report{Report: &peerv1.Report{Sequence: 1}}}
	handOver := func(more bool) *peerv1.Frame {
		return &peerv1.Frame{Message: &peerv1.Frame_HandOver{HandOver: &peerv1.HandOver{Incarnation: "two", More: more}}}
	}
	forward := &peerv1.Frame{Message: &peerv1.Frame_Forward{Forward: &peerv1.Forward{Call: 1, Account: "newsroom", Request: &callerv1.SubmitRequest{
		Service: "shifts", RequestType: "swap", Ticket: []byte("ticket"),
	}}}}
	noTicket := &peerv1.Frame{Message: &peerv1.Frame_Forward{Forward: &peerv1.Forward{Call: 1, Request: &callerv1.SubmitRequest{Service: "shifts"}}}}
	cases := []struct {
		name string
		list []*peerv1.Frame
		cut  int
		want int
	}{
		{"closed before the hello", nil, 0, 0},
		{"report before the hello", []*peerv1.Frame{report}, 0, 0},
		{"hello of another entry", []*peerv1.Frame{hello("c"), report}, 0, 0},
		{"hello of this entry", []*peerv1.Frame{hello("a"), report}, 0, 0},
		{"another name later", []*peerv1.Frame{hello("b"), hello("c"), report}, 0, 0},
		{"report", []*peerv1.Frame{hello("b"), report}, 0, 1},
		{"duplicated report", []*peerv1.Frame{hello("b"), report, report}, 0, 2},
		{"truncated report", []*peerv1.Frame{hello("b"), report}, 1, 0},
		{"forwarded request", []*peerv1.Frame{hello("b"), forward}, 0, 1},
		{"forwarded request without a ticket", []*peerv1.Frame{hello("b"), noTicket}, 0, 0},
		{"whole hand-over", []*peerv1.Frame{hello("b"), handOver(true), handOver(false)}, 0, 1},
		{"hand-over cut short", []*peerv1.Frame{hello("b"), handOver(true), handOver(true)}, 0, 0},
		{"hand-over cut within its last frame", []*peerv1.Frame{hello("b"), handOver(true), handOver(false)}, 1, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			data := frames(is, c.list...)
			conn := recordedConn{Reader: bytes.NewReader(data[:len(data)-c.cut]), closed: ring.New[bool]("closed", 4)}
			events := ring.New[dispatch.Event]("dispatcher", 8)
			group, ctx := duty.NewGroup(context.Background())
			group.Start(ctx, &peer.Reader{
				Own: "a", Acceptor: conn, Dispatcher: events, Poller: ring.New[control.PollerEvent]("poller", 1),
				Hub: ring.New[peer.HubEvent]("hub", 8), Directory: &ring.Latest[*peer.Directory]{}, Clock: clockwork.NewFakeClock(), Log: zap.NewNop(),
			})
			_, err := conn.closed.Pop(ctx)
			is.NoErr(err)
			group.Stop()
			is.NoErr(group.Wait())
			is.Equal(events.Depth(), c.want)
		})
	}
}

// stuckConn is a connection whose peer reads nothing.
type stuckConn struct {
	ctx     context.Context
	entered *ring.Ring[bool]
}

func (s stuckConn) Dial(context.Context, fleet.EntryID, fleet.Address) (peer.Outgoing, error) {
	return s, nil
}

func (s stuckConn) Context() context.Context { return s.ctx }
func (stuckConn) Close()                     {}
func (s stuckConn) Write([]byte) (int, error) {
	_ = s.entered.Push(true)
	<-s.ctx.Done()
	return 0, s.ctx.Err()
}

// Guards against a queue that grows without bound while a peer reads slowly, and against callers that wait
// forever.
func TestLinkToASlowPeerIsBounded(t *testing.T) {
	is := is.New(t)
	group, ctx := duty.NewGroup(context.Background())
	broken, breakLink := context.WithCancel(ctx)
	l := &peer.Link{
		Peer: "b", Address: &ring.Latest[fleet.Address]{}, Hello: &ring.Latest[*peerv1.Hello]{}, Clock: clockwork.NewFakeClock(), Log: zap.NewNop(),
		Dialer: stuckConn{ctx: broken, entered: ring.New[bool]("entered", 9)}, Rate: 1 << 20,
	}
	l.Prepare()
	group.Start(ctx, l)
	_, err := l.Dialer.(stuckConn).entered.Pop(ctx)
	is.NoErr(err)
	reply := ring.New[request.Outcome]("reply", 1)
	is.NoErr(l.Forward(&request.Request{ID: "one"}, reply))
	body, sent := make([]byte, 1<<20), 0
	for l.Send(&peerv1.Frame{Message: &peerv1.Frame_HandOver{HandOver: &peerv1.HandOver{Key: body}}}) == nil {
		sent++
	}
	is.True(sent > 0 && sent <= 32) // 32 MiB may wait
	is.Equal(l.Waiting(), 1)
	breakLink()
	outcome, err := reply.Pop(ctx)
	is.NoErr(err)
	is.Equal(outcome.Reason, request.ReasonIssuerUnreachable)
	group.Stop()
	is.NoErr(group.Wait())
}
