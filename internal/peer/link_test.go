package peer_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/control"
	"github.com/mimosawharf/mimosawharf/internal/credential"
	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/peer"
	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/ticket"
	peerv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/peer/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// authority signs the certificates of a test's entries.
type authority struct {
	signer *credential.Authority
	now    time.Time
}

func newAuthority(is *is.I) *authority {
	now := clock.Real().Now()
	signer, err := credential.NewAuthority(now, time.Hour)
	is.NoErr(err)
	return &authority{signer: signer, now: now}
}

func (a *authority) source(is *is.I, entry fleet.EntryID) *credential.Source {
	m, err := a.signer.Material(a.now, fleet.OperatorName(entry), credential.RoleEntry)
	is.NoErr(err)
	s := &credential.Source{Clock: clock.Real()}
	s.Material.Set(m)
	return s
}

// node is the peer side of one entry on loopback.
type node struct {
	socket    *peer.Socket
	events    *ring.Ring[dispatch.Event]
	rows      *ring.Ring[control.PollerEvent]
	view      ring.Latest[*fleet.View]
	status    ring.Latest[dispatch.Status]
	directory ring.Latest[*peer.Directory]
	forwarder *peer.Forwarder
	stop      func()
}

func newNode(t *testing.T, id fleet.EntryID, source peer.CredentialSource, view *fleet.View) *node {
	is := is.New(t)
	n := &node{events: ring.New[dispatch.Event]("dispatcher", 4096), rows: ring.New[control.PollerEvent]("poller", 64)}
	socket, err := peer.Listen("127.0.0.1:0", source)
	is.NoErr(err)
	n.socket = socket
	n.view.Set(view)
	hub := ring.New[peer.HubEvent]("peers", 1024)
	n.forwarder = &peer.Forwarder{Directory: &n.directory, Hub: hub}
	group, ctx := duty.NewGroup(context.Background())
	group.Start(ctx, &peer.Hub{
		Entry: fleet.Entry{ID: id, Incarnation: "incarnation-" + fleet.Incarnation(id), Zone: "a"},
		Inbox: hub, View: &n.view, Status: &n.status, Directory: &n.directory, Dialer: socket, Dispatcher: n.events,
		Clock: clock.Real(), Log: zap.NewNop(), Interval: 10 * time.Millisecond, Rate: 1 << 24,
		Start: func(d duty.Duty) { group.Start(ctx, d) },
	})
	for i := range 3 {
		group.Start(ctx, &peer.Reader{
			Number: i, Own: id, Acceptor: socket, Dispatcher: n.events, Poller: n.rows, Hub: hub, Directory: &n.directory,
			Clock: clock.Real(), Log: zap.NewNop(), DefaultTimeout: time.Second,
		})
	}
	n.stop = func() {
		group.Stop()
		_ = group.Wait()
		socket.Close()
	}
	t.Cleanup(n.stop)
	return n
}

// next returns the next event of one type.
func next[E dispatch.Event](ctx context.Context, is *is.I, n *node) E {
	for {
		ev, err := n.events.Pop(ctx)
		is.NoErr(err)
		if e, ok := ev.(E); ok {
			return e
		}
	}
}

func viewOf(entries map[fleet.EntryID]*node, revision fleet.ConfigRevision) *fleet.View {
	v := fleet.NewView()
	for id, n := range entries {
		v.Entries[id] = fleet.Entry{ID: id, Zone: "a", PeerAddress: n.socket.Address()}
	}
	v.Configuration.Revision = revision
	v.Configuration.Pools["desk"] = fleet.Pool{ID: "desk", Revision: revision}
	v.VMs["vm-1"] = fleet.VM{ID: "vm-1", RowVersion: 5}
	return v
}

// pair returns two linked entries that have exchanged hellos.
func pair(ctx context.Context, t *testing.T) (a, b *node) {
	is := is.New(t)
	authority := newAuthority(is)
	a = newNode(t, "a", authority.source(is, "a"), nil)
	b = newNode(t, "b", authority.source(is, "b"), viewOf(map[fleet.EntryID]*node{"a": a}, 3))
	a.view.Set(viewOf(map[fleet.EntryID]*node{"b": b}, 0))
	is.Equal(next[dispatch.PeerReported](ctx, is, a).Peer, fleet.EntryID("b"))
	is.Equal(next[dispatch.PeerReported](ctx, is, b).Peer, fleet.EntryID("a"))
	for a.directory.Get().Tickets.Live["incarnation-b"] == "" {
		next[dispatch.PeerReported](ctx, is, a) // reports repeat the hello
	}
	return a, b
}

func ticketOf(entry fleet.EntryID) []byte {
	return ticket.Encode(ticket.Ticket{
		Issuer: entry, Incarnation: "incarnation-" + fleet.Incarnation(entry), Account: "newsroom", Sequence: 1, Expires: time.Unix(4e9, 0),
	}, []byte("key"))
}

func swap(entry fleet.EntryID) *request.Request {
	return &request.Request{
		ID: "swap-1", Account: "newsroom", Service: "shifts", Type: "swap", Ticket: ticketOf(entry),
		Deadline: clock.Real().Now().Add(time.Minute),
	}
}

// Guards against messages between entries that are lost, altered or passed to the wrong duty.
func TestLinkCarriesEachMessage(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	a, b := pair(ctx, t)

	rows, err := a.rows.Pop(ctx) // a has no configuration and requests it
	is.NoErr(err)
	is.Equal(len(rows.Rows), 3) // pool, VM and head

	reply := ring.New[request.Outcome]("reply", 1)
	is.True(a.forwarder.Forward(swap("b"), reply))
	submitted := next[dispatch.Submitted](ctx, is, b)
	is.Equal(submitted.Request.Account, fleet.ClientAccountID("newsroom"))
	answer := request.Answered(request.AnswerStatusOK, bytes.Repeat([]byte("x"), 1<<20))
	is.NoErr(submitted.Reply.Push(answer))
	is.NoErr(submitted.Reply.Push(request.Unknown(request.ReasonTimeout))) // a second outcome is dropped
	outcome, err := reply.Pop(ctx)
	is.NoErr(err)
	is.Equal(outcome, answer)

	is.NoErr(a.forwarder.Cancel(dispatch.CancellationRequested{Account: "newsroom", Group: "night"}))
	is.Equal(next[dispatch.CancellationRequested](ctx, is, b).Group, fleet.RequestGroup("night"))
	is.NoErr(b.forwarder.Lend("a", dispatch.SlotLoan{ID: 7, Report: 1, Duration: time.Second, Endpoints: map[fleet.EndpointID]fleet.Slots{"vm-1": 2}}))
	loan := next[dispatch.SlotsLent](ctx, is, a)
	is.Equal(loan.Loan.Endpoints["vm-1"], fleet.Slots(2))
	is.NoErr(a.forwarder.Return("b", 7, loan.Loan.Endpoints))
	is.Equal(next[dispatch.SlotsReturned](ctx, is, b).Loan, dispatch.LoanID(7))

	done := ring.New[peer.HandOverResult]("done", 1)
	is.NoErr(b.forwarder.HandOver(incarnations(), done))
	handed := next[dispatch.TicketsHandedOver](ctx, is, a)
	is.Equal(handed.Incarnations[0].Key, []byte("key"))
	total := 0
	for _, s := range handed.Incarnations {
		total += len(s.Records)
	}
	is.Equal(total, 40)
	is.NoErr(handed.Reply.Push([]fleet.Incarnation{"incarnation-b"}))
	result, err := done.Pop(ctx)
	is.NoErr(err)
	is.Equal(result.To, fleet.EntryID("a"))
	holder, _ := b.directory.Get().Tickets.Holder(ticketOf("b"))
	is.Equal(holder, fleet.EntryID("a")) // the old issuer forwards its tickets from now on
}

func incarnations() []ticket.IncarnationState {
	s := ticket.IncarnationState{Incarnation: "incarnation-b", Key: []byte("key"), Watermark: time.Unix(5, 0).UTC()}
	for i := range 40 {
		s.Records = append(s.Records, ticket.Record{
			Sequence: fleet.TicketSequence(i + 1), Outcome: request.Answered(request.AnswerStatusOK, make([]byte, 50<<10)),
		})
	}
	return []ticket.IncarnationState{s}
}

// Guards against a caller that waits forever, or gets the outcome not-run, when the issuer dies.
func TestForwardedRequestIsUnknownWhenTheLinkBreaks(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	a, b := pair(ctx, t)
	reply := ring.New[request.Outcome]("reply", 1)
	is.True(a.forwarder.Forward(swap("b"), reply))
	next[dispatch.Submitted](ctx, is, b)
	b.stop()
	outcome, err := reply.Pop(ctx)
	is.NoErr(err)
	is.Equal(outcome.Kind, request.OutcomeUnknown)
	is.True(a.forwarder.Forward(swap("b"), reply)) // with the link down
	outcome, err = reply.Pop(ctx)
	is.NoErr(err)
	is.Equal(outcome.Reason, request.ReasonIssuerUnreachable)
	is.Equal(a.forwarder.Waiting(), 0)
}

// Guards against an entry that impersonates another one with its own certificate.
func TestSocketVerifiesPeerIdentity(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	trusted, untrusted := newAuthority(is), newAuthority(is)
	server, err := peer.Listen("127.0.0.1:0", trusted.source(is, "server"))
	is.NoErr(err)
	defer server.Close()
	client, err := peer.Listen("127.0.0.1:0", trusted.source(is, "client"))
	is.NoErr(err)
	defer client.Close()
	conn, err := client.Dial(ctx, "server", server.Address())
	is.NoErr(err)
	_, err = conn.Write([]byte("x"))
	is.NoErr(err)
	in, err := server.Accept(ctx)
	is.NoErr(err)
	is.True(in.Certifies("client"))
	is.True(!in.Certifies("server"))
	_, err = client.Dial(ctx, "someone-else", server.Address())
	is.True(err != nil) // the server has no certificate for that name
	stranger, err := peer.Listen("127.0.0.1:0", untrusted.source(is, "client"))
	is.NoErr(err)
	defer stranger.Close()
	_, err = stranger.Dial(ctx, "server", server.Address())
	is.True(err != nil)
}

// Guards against malformed frames that the reader accepts or allocates memory for.
func TestReadFrame(t *testing.T) {
	encoded, err := peer.EncodeFrame(&peerv1.Frame{Message: &peerv1.Frame_Hello{Hello: &peerv1.Hello{Entry: "a"}}})
	is.New(t).NoErr(err)
	cases := []struct {
		name string
		data []byte
		want error
	}{
		{"closed before the frame", nil, io.EOF},
		{"closed within the length", encoded[:2], io.ErrUnexpectedEOF},
		{"closed within the body", encoded[:len(encoded)-1], io.ErrUnexpectedEOF},
		{"above the limit", []byte{0xff, 0, 0, 0}, &peer.FrameError{}},
		{"not a message", []byte{0, 0, 0, 1, 0xff}, &peer.FrameError{}},
		{"whole", encoded, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := peer.ReadFrame(bytes.NewReader(c.data))
			var problem *peer.FrameError
			if errors.As(c.want, &problem) {
				is.True(errors.As(err, &problem))
				return
			}
			is.True(errors.Is(err, c.want))
		})
	}
	_, err = peer.EncodeFrame(&peerv1.Frame{Message: &peerv1.Frame_HandOver{HandOver: &peerv1.HandOver{Key: make([]byte, peer.MaxFrameBytes)}}})
	var problem *peer.FrameError
	is.New(t).True(errors.As(err, &problem))
}
