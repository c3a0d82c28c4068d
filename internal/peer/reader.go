package peer

import (
	"context"
	"fmt"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/control"
	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/ticket"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	peerv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/peer/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// frameTimeout bounds the time between two frames. Peers report far more often.
const frameTimeout = 15 * time.Second

// maxHandOverBytes bounds the size of the tickets that one peer hands over.
const maxHandOverBytes fleet.Bytes = 64 << 20

// Acceptor accepts connections of peers.
type Acceptor interface {
	Accept(ctx context.Context) (Incoming, error)
}

// DispatcherInbox receives events for the dispatcher.
type DispatcherInbox interface {
	Push(dispatch.Event) error
}

// PollerInbox receives rows for the poller.
type PollerInbox interface {
	Push(control.PollerEvent) error
}

// HubInbox receives events for the hub.
type HubInbox interface {
	Push(HubEvent) error
}

// IdentityError reports a peer that claims to be an entry for which it has no certificate.
type IdentityError struct {
	Entry fleet.EntryID
}

// Error implements error.
func (e *IdentityError) Error() string {
	return "peer has no certificate for entry " + string(e.Entry)
}

// ProtocolError reports a frame that is not allowed at this point.
type ProtocolError struct {
	Problem string
}

// Error implements error.
func (e *ProtocolError) Error() string { return "peer protocol: " + e.Problem }

// Reader is a duty that serves one connection at a time and passes its frames to the duties that own them.
type Reader struct {
	// The fields are set before Run.
	Number         int
	Own            fleet.EntryID
	Acceptor       Acceptor
	Dispatcher     DispatcherInbox
	Poller         PollerInbox
	Hub            HubInbox
	Directory      *ring.Latest[*Directory]
	Clock          clock.Clock
	Log            *zap.Logger
	DefaultTimeout time.Duration

	// The fields below belong to the current connection.
	hello        *peerv1.Hello
	incarnations []ticket.IncarnationState
	handOverSize fleet.Bytes
}

// Name implements duty.Duty.
func (r *Reader) Name() fleet.DutyName {
	return fleet.DutyName(fmt.Sprintf("peer-reader-%d", r.Number))
}

// Run implements duty.Duty.
func (r *Reader) Run(ctx context.Context) error {
	for {
		conn, err := r.Acceptor.Accept(ctx)
		if ctx.Err() != nil {
			return trace.Wrap(ctx.Err())
		}
		if err != nil {
			r.Log.Debug("peer: connection cannot be accepted", zap.Error(err))
			if err := clock.Wait(ctx, r.Clock, backOffBase); err != nil {
				return trace.Wrap(err)
			}
			continue
		}
		err = r.serve(ctx, conn)
		r.Log.Debug("peer: connection ended", zap.String("peer", r.hello.GetEntry()), zap.Error(err))
	}
}

func (r *Reader) serve(ctx context.Context, conn Incoming) error {
	defer conn.Close()
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	r.hello, r.incarnations, r.handOverSize = nil, nil, 0
	for {
		if err := conn.SetReadDeadline(r.Clock.Now().Add(frameTimeout)); err != nil {
			return trace.Wrap(err)
		}
		frame, err := ReadFrame(conn)
		if err != nil {
			return trace.Wrap(err)
		}
		if hello := frame.GetHello(); hello != nil {
			err = r.handleHello(conn, hello)
		} else {
			err = r.handle(frame)
		}
		if err != nil {
			return trace.Wrap(err)
		}
	}
}

func (r *Reader) handleHello(conn Incoming, m *peerv1.Hello) error {
	id := fleet.EntryID(m.GetEntry())
	if id == "" || id == r.Own || !conn.Certifies(id) || r.hello != nil && r.hello.GetEntry() != m.GetEntry() {
		return trace.Wrap(&IdentityError{Entry: id})
	}
	r.hello = m
	return trace.Wrap(r.Hub.Push(fromHello(m)))
}

// handle passes a frame to the duty that owns it. If a ring is full, the frame is dropped: the peer sends
// it again, the loan expires, or the request gets an unknown outcome.
func (r *Reader) handle(f *peerv1.Frame) error {
	if r.hello == nil {
		return trace.Wrap(&ProtocolError{Problem: "the first frame is not a hello"})
	}
	peer := fleet.EntryID(r.hello.GetEntry())
	switch m := f.GetMessage().(type) {
	case *peerv1.Frame_Report:
		_ = r.Hub.Push(reportReceived{hello: fromHello(r.hello), stopping: m.Report.GetStopping()})
		_ = r.Dispatcher.Push(fromReport(r.hello, m.Report))
	case *peerv1.Frame_Rows:
		_ = r.Poller.Push(control.PollerEvent{Rows: fromRows(m.Rows).Rows})
	case *peerv1.Frame_RowsWanted:
		_ = r.Hub.Push(rowsRequested{entry: peer})
	case *peerv1.Frame_Forward:
		r.handleForward(peer, m.Forward)
	case *peerv1.Frame_Forwarded:
		if link := r.Directory.Get().link(peer); link != nil {
			_ = link.Resolve(m.Forwarded)
		}
	case *peerv1.Frame_Cancel:
		_ = r.Dispatcher.Push(fromCancel(m.Cancel))
	case *peerv1.Frame_SlotLoan:
		_ = r.Hub.Push(loanReceived{entry: peer, loan: fromSlotLoan(m.SlotLoan)})
	case *peerv1.Frame_SlotReturn:
		_ = r.Dispatcher.Push(fromSlotReturn(peer, m.SlotReturn))
	case *peerv1.Frame_HandOver:
		return r.handleHandOver(peer, m.HandOver)
	case *peerv1.Frame_HandedOver:
		_ = r.Hub.Push(handedOver{entry: peer, accepted: m.HandedOver.GetIncarnation() != ""})
	}
	return nil
}

// handleForward submits a ticketed request that the peer has forwarded. Only the issuer's ticket book may
// answer not-run to a ticketed request, so that all failures here are answered with unknown.
func (r *Reader) handleForward(peer fleet.EntryID, m *peerv1.Forward) {
	reply := &forwardReply{directory: r.Directory, peer: peer, call: m.GetCall(), request: fleet.RequestID(m.GetRequest().GetRequestId())}
	if err := m.GetRequest().Check(); err != nil || len(m.GetRequest().GetTicket()) == 0 {
		_ = reply.Push(request.Unknown(request.ReasonMalformed))
		return
	}
	req := wire.FromSubmitRequest(r.Clock.Now(), fleet.ClientAccountID(m.GetAccount()), m.GetRequest(), r.DefaultTimeout)
	r.Log.Debug("peer: forwarded request received", zap.String("request", string(req.ID)), zap.String("account", string(req.Account)), zap.String("peer", string(peer)))
	if r.Dispatcher.Push(dispatch.Submitted{Request: req, Reply: reply}) != nil {
		_ = reply.Push(request.Unknown(request.ReasonOverloaded))
	}
}

// handleHandOver collects the tickets of a stopping peer. They are adopted with the last frame only, because
// a ticket whose record is missing could run again.
func (r *Reader) handleHandOver(peer fleet.EntryID, m *peerv1.HandOver) error {
	for _, t := range m.GetTickets() {
		r.handOverSize += fleet.Bytes(len(t.GetResponse().GetAnswer().GetBody()))
	}
	if r.handOverSize > maxHandOverBytes {
		return trace.Wrap(&ProtocolError{Problem: "handed-over tickets are too large"})
	}
	r.incarnations = append(r.incarnations, fromHandOver(m))
	if m.GetMore() {
		return nil
	}
	incarnations := r.incarnations
	r.incarnations, r.handOverSize = nil, 0
	return trace.Wrap(r.Dispatcher.Push(dispatch.TicketsHandedOver{Incarnations: incarnations, Reply: &adoptionReply{hub: r.Hub, from: peer}}))
}

// forwardReply returns the outcome of a forwarded request to the peer that forwarded it.
type forwardReply struct {
	directory *ring.Latest[*Directory]
	peer      fleet.EntryID
	call      uint64
	request   fleet.RequestID
}

// Push implements dispatch.OutcomeReceiver.
func (f *forwardReply) Push(o request.Outcome) error {
	link := f.directory.Get().link(f.peer)
	if link == nil {
		return trace.Wrap(&UnknownPeerError{Peer: f.peer})
	}
	return trace.Wrap(link.Send(&peerv1.Frame{Message: &peerv1.Frame_Forwarded{
		Forwarded: &peerv1.Forwarded{Call: f.call, Response: wire.SubmitResponse(f.request, o)},
	}}))
}

// adoptionReply reports to the hub which tickets the dispatcher adopted.
type adoptionReply struct {
	hub  HubInbox
	from fleet.EntryID
}

// Push implements dispatch.AdoptionReceiver.
func (a *adoptionReply) Push(adopted []fleet.Incarnation) error {
	return trace.Wrap(a.hub.Push(ticketsAdopted{from: a.from, incarnations: adopted}))
}
