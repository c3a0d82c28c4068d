package peer

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	peerv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/peer/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Bounds of a link.
const (
	// linkRingItems and linkRingBytes bound what waits to be sent to one peer.
	linkRingItems             = 4096
	linkRingBytes fleet.Bytes = 32 << 20
	// linkTick is how often a link looks for forwarded requests whose outcome is overdue.
	linkTick = 100 * time.Millisecond
	// forwardGrace is how long the outcome of a forwarded request may take after its deadline. The
	// issuer answers at the deadline; the rest is for the way back.
	forwardGrace = time.Second
	// backOffBase and backOffMax bound the wait before a link is opened again.
	backOffBase = 50 * time.Millisecond
	backOffMax  = 2 * time.Second
)

// Dialer opens connections to peers.
type Dialer interface {
	Dial(ctx context.Context, peer fleet.EntryID, address fleet.Address) (Outgoing, error)
}

// Link is the duty that sends frames to one peer. It owns the requests that were forwarded to the
// peer and still wait for their outcomes.
type Link struct {
	// The fields are set before Run.
	Peer    fleet.EntryID
	Address *ring.Latest[fleet.Address]
	Hello   *ring.Latest[*peerv1.Hello]
	Dialer  Dialer
	Clock   clock.Clock
	Log     *zap.Logger
	// Rate bounds the bytes sent per second.
	Rate fleet.BytesPerSecond

	inbox   *ring.Ring[linkEvent]
	queued  atomic.Int64
	waiting atomic.Int64
	pending map[uint64]forward
	last    uint64
	limiter *rate.Limiter
}

// linkEvent is an input of a link; one of the fields is set.
type linkEvent struct {
	frame   *peerv1.Frame
	forward *forward
	outcome *peerv1.Forwarded
	size    fleet.Bytes
}

// forward is a request that the peer runs for a caller of this entry.
type forward struct {
	request *request.Request
	reply   dispatch.OutcomeReceiver
}

// Prepare makes the ring of the link; it is called once before Run and before the first Send.
func (l *Link) Prepare() {
	l.inbox = ring.New[linkEvent](ring.Name("peer-link-"+l.Peer), linkRingItems)
	l.limiter = rate.NewLimiter(rate.Limit(l.Rate), int(MaxFrameBytes)+prefixBytes)
	l.pending = map[uint64]forward{}
}

// Name implements duty.Duty.
func (l *Link) Name() fleet.DutyName { return fleet.DutyName("peer-link-" + l.Peer) }

// Send queues a frame. It returns *ring.FullError when too much waits. A frame is lost when the link
// is broken.
func (l *Link) Send(f *peerv1.Frame) error {
	return l.push(linkEvent{frame: f, size: fleet.Bytes(proto.Size(f))})
}

// Forward passes a ticketed request to the peer. The reply gets exactly one outcome unless an error
// is returned: *ring.FullError when too much waits.
func (l *Link) Forward(r *request.Request, reply dispatch.OutcomeReceiver) error {
	l.waiting.Add(1)
	err := l.push(linkEvent{forward: &forward{request: r, reply: reply}, size: fleet.Bytes(len(r.Body))})
	if err != nil {
		l.waiting.Add(-1)
	}
	return trace.Wrap(err)
}

// Waiting returns how many forwarded requests wait for their outcome.
func (l *Link) Waiting() int { return int(l.waiting.Load()) }

// Resolve takes the outcome of a forwarded request from the peer.
func (l *Link) Resolve(m *peerv1.Forwarded) error {
	return l.push(linkEvent{outcome: m, size: fleet.Bytes(proto.Size(m))})
}

func (l *Link) push(ev linkEvent) error {
	if l.queued.Add(int64(ev.size)) > int64(linkRingBytes) {
		l.queued.Add(-int64(ev.size))
		return trace.Wrap(&ring.FullError{Ring: l.inbox.Name(), Capacity: int(linkRingBytes)})
	}
	err := l.inbox.Push(ev)
	if err != nil {
		l.queued.Add(-int64(ev.size))
	}
	return trace.Wrap(err)
}

// Run implements duty.Duty. It keeps the link open and opens it again after a back-off with full
// jitter.
func (l *Link) Run(ctx context.Context) error {
	failures := 0
	for {
		if l.serve(ctx) {
			failures = 0
		}
		l.fail()
		if ctx.Err() != nil {
			return trace.Wrap(ctx.Err())
		}
		limit := min(backOffMax, backOffBase<<min(failures, 10))
		failures++
		if err := l.pause(ctx, time.Duration(rand.Int64N(int64(limit)))); err != nil {
			return trace.Wrap(err)
		}
	}
}

// serve opens the link and sends until it breaks. It returns whether it was open.
func (l *Link) serve(ctx context.Context) bool {
	dialing, cancel := context.WithTimeout(ctx, handshakeTimeout)
	conn, err := l.Dialer.Dial(dialing, l.Peer, l.Address.Get())
	cancel()
	if err != nil {
		l.Log.Debug("peer: no link", zap.String("peer", string(l.Peer)), zap.Error(err))
		return false
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	l.Log.Info("peer: link is open", zap.String("peer", string(l.Peer)))
	err = l.sendAll(conn)
	l.Log.Info("peer: link is broken", zap.String("peer", string(l.Peer)), zap.Error(err))
	return true
}

func (l *Link) sendAll(conn Outgoing) error {
	ctx := conn.Context()
	hello := &peerv1.Frame{Message: &peerv1.Frame_Hello{Hello: l.Hello.Get()}}
	if err := l.write(ctx, conn, hello); err != nil {
		return trace.Wrap(err)
	}
	timer := l.Clock.NewTimer(linkTick)
	defer timer.Stop()
	for {
		ev, ok, err := l.inbox.PopUntil(ctx, timer.Chan())
		if err != nil {
			return trace.Wrap(err)
		}
		if !ok {
			l.loseOverdue()
			timer.Reset(linkTick)
			continue
		}
		l.queued.Add(-int64(ev.size))
		if frame := l.take(ev); frame != nil {
			if err := l.write(ctx, conn, frame); err != nil {
				return trace.Wrap(err)
			}
		}
	}
}

// take returns the frame to send for an event, or nil.
func (l *Link) take(ev linkEvent) *peerv1.Frame {
	switch {
	case ev.forward != nil:
		l.last++
		l.pending[l.last] = *ev.forward
		r := ev.forward.request
		l.Log.Debug("peer: request forwarded", zap.String("request", string(r.ID)), zap.String("account", string(r.Account)), zap.String("peer", string(l.Peer)))
		return &peerv1.Frame{Message: &peerv1.Frame_Forward{Forward: &peerv1.Forward{
			Call: l.last, Account: string(r.Account), Request: wire.SubmitRequest(l.Clock.Now(), r),
		}}}
	case ev.outcome != nil:
		l.resolve(ev.outcome.GetCall(), wire.FromSubmitResponse(ev.outcome.GetResponse()))
		return nil
	default:
		return ev.frame
	}
}

// resolve gives a forwarded request its outcome. A second outcome for a call is dropped.
func (l *Link) resolve(call uint64, o request.Outcome) {
	f, ok := l.pending[call]
	if !ok {
		return
	}
	delete(l.pending, call)
	l.waiting.Add(-1)
	// The reply has room for the one outcome.
	_ = f.reply.Push(o)
}

// write sends a frame within the rate. A frame above the limit is left out.
func (l *Link) write(ctx context.Context, conn Outgoing, f *peerv1.Frame) error {
	data, err := EncodeFrame(f)
	if err != nil {
		l.Log.Error("peer: frame was left out", zap.String("peer", string(l.Peer)), zap.Error(err))
		return nil
	}
	now := l.Clock.Now()
	if delay := l.limiter.ReserveN(now, len(data)).DelayFrom(now); delay > 0 {
		if err := clock.Wait(ctx, l.Clock, delay); err != nil {
			return trace.Wrap(err)
		}
	}
	_, err = conn.Write(data)
	return trace.Wrap(err)
}

// loseOverdue ends the wait for outcomes that did not come in time.
func (l *Link) loseOverdue() {
	now := l.Clock.Now()
	for call, f := range l.pending {
		if now.After(f.request.Deadline.Add(forwardGrace)) {
			l.resolve(call, request.Unknown(request.ReasonTimeout))
		}
	}
}

// fail ends the wait of all forwarded requests, which may or may not have run, and drops what waits
// to be sent.
func (l *Link) fail() {
	for {
		ev, ok := l.inbox.TryPop()
		if !ok {
			break
		}
		l.queued.Add(-int64(ev.size))
		l.take(ev)
	}
	for call := range l.pending {
		l.resolve(call, request.Unknown(request.ReasonIssuerUnreachable))
	}
}

// pause waits before the link is opened again. Requests that come meanwhile are answered at once.
func (l *Link) pause(ctx context.Context, d time.Duration) error {
	timer := l.Clock.NewTimer(d)
	defer timer.Stop()
	for {
		ev, ok, err := l.inbox.PopUntil(ctx, timer.Chan())
		if err != nil {
			return trace.Wrap(err)
		}
		if !ok {
			return nil
		}
		l.queued.Add(-int64(ev.size))
		l.take(ev)
		l.fail()
	}
}
