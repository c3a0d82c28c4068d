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
	// linkRingItems and linkRingBytes bound the queue of frames to one peer.
	linkRingItems             = 4096
	linkRingBytes fleet.Bytes = 32 << 20
	// overdueCheckInterval is how often a link checks for forwarded requests whose outcome is overdue.
	overdueCheckInterval = 100 * time.Millisecond
	// forwardGrace is how long after its deadline the outcome of a forwarded request may arrive. The
	// issuer answers by the deadline; the grace covers the transfer of the answer.
	forwardGrace = time.Second
	// backOffBase and backOffMax bound the backoff before a link is reopened.
	backOffBase = 50 * time.Millisecond
	backOffMax  = 2 * time.Second
)

// Dialer opens connections to peers.
type Dialer interface {
	Dial(ctx context.Context, peer fleet.EntryID, address fleet.Address) (Outgoing, error)
}

// Link is the duty that sends frames to one peer. It owns the requests that were forwarded to the peer and
// have no outcome yet.
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

	inbox       *ring.Ring[linkEvent]
	queuedBytes atomic.Int64
	waiting     atomic.Int64
	pending     map[uint64]forward
	lastCall    uint64
	limiter     *rate.Limiter
}

// linkEvent is an input of a link; one of the fields is set.
type linkEvent struct {
	frame   *peerv1.Frame
	forward *forward
	outcome *peerv1.Forwarded
	size    fleet.Bytes
}

// forward is a request that is forwarded to the peer for a caller of this entry.
type forward struct {
	request *request.Request
	reply   dispatch.OutcomeReceiver
}

// Prepare creates the ring of the link. It is called once, before Run and the first Send.
func (l *Link) Prepare() {
	l.inbox = ring.New[linkEvent](ring.Name("peer-link-"+l.Peer), linkRingItems)
	l.limiter = rate.NewLimiter(rate.Limit(l.Rate), int(MaxFrameBytes)+prefixBytes)
	l.pending = map[uint64]forward{}
}

// Name implements duty.Duty.
func (l *Link) Name() fleet.DutyName { return fleet.DutyName("peer-link-" + l.Peer) }

// Send queues a frame. It returns *ring.FullError if the queue is full. A queued frame is lost if the link
// breaks.
func (l *Link) Send(f *peerv1.Frame) error {
	return l.push(linkEvent{frame: f, size: fleet.Bytes(proto.Size(f))})
}

// Forward forwards a ticketed request to the peer. The reply gets exactly one outcome unless an error is
// returned: *ring.FullError if the queue is full.
func (l *Link) Forward(r *request.Request, reply dispatch.OutcomeReceiver) error {
	l.waiting.Add(1)
	err := l.push(linkEvent{forward: &forward{request: r, reply: reply}, size: fleet.Bytes(len(r.Body))})
	if err != nil {
		l.waiting.Add(-1)
	}
	return trace.Wrap(err)
}

// Waiting returns the number of forwarded requests that have no outcome yet.
func (l *Link) Waiting() int { return int(l.waiting.Load()) }

// Resolve queues the outcome that the peer sent for a forwarded request. It returns *ring.FullError if the
// queue is full.
func (l *Link) Resolve(m *peerv1.Forwarded) error {
	return l.push(linkEvent{outcome: m, size: fleet.Bytes(proto.Size(m))})
}

func (l *Link) push(ev linkEvent) error {
	if l.queuedBytes.Add(int64(ev.size)) > int64(linkRingBytes) {
		l.queuedBytes.Add(-int64(ev.size))
		return trace.Wrap(&ring.FullError{Ring: l.inbox.Name(), Capacity: int(linkRingBytes)})
	}
	err := l.inbox.Push(ev)
	if err != nil {
		l.queuedBytes.Add(-int64(ev.size))
	}
	return trace.Wrap(err)
}

// Run implements duty.Duty. It keeps the link open and reopens it after a backoff with full jitter.
func (l *Link) Run(ctx context.Context) error {
	failures := 0
	for {
		if l.serve(ctx) {
			failures = 0
		}
		l.failAll()
		if ctx.Err() != nil {
			return trace.Wrap(ctx.Err())
		}
		limit := min(backOffMax, backOffBase<<min(failures, 10))
		failures++
		if err := l.backOff(ctx, time.Duration(rand.Int64N(int64(limit)))); err != nil {
			return trace.Wrap(err)
		}
	}
}

// serve opens the link and sends until it breaks. It reports whether the link was open.
func (l *Link) serve(ctx context.Context) bool {
	dialCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	conn, err := l.Dialer.Dial(dialCtx, l.Peer, l.Address.Get())
	cancel()
	if err != nil {
		l.Log.Debug("peer: link cannot be opened", zap.String("peer", string(l.Peer)), zap.Error(err))
		return false
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	l.Log.Info("peer: link opened", zap.String("peer", string(l.Peer)))
	err = l.sendFrames(conn)
	l.Log.Info("peer: link broken", zap.String("peer", string(l.Peer)), zap.Error(err))
	return true
}

func (l *Link) sendFrames(conn Outgoing) error {
	ctx := conn.Context()
	hello := &peerv1.Frame{Message: &peerv1.Frame_Hello{Hello: l.Hello.Get()}}
	if err := l.write(ctx, conn, hello); err != nil {
		return trace.Wrap(err)
	}
	timer := l.Clock.NewTimer(overdueCheckInterval)
	defer timer.Stop()
	for {
		ev, ok, err := l.inbox.PopUntil(ctx, timer.Chan())
		if err != nil {
			return trace.Wrap(err)
		}
		if !ok {
			l.timeOutOverdue()
			timer.Reset(overdueCheckInterval)
			continue
		}
		l.queuedBytes.Add(-int64(ev.size))
		if frame := l.handle(ev); frame != nil {
			if err := l.write(ctx, conn, frame); err != nil {
				return trace.Wrap(err)
			}
		}
	}
}

// handle processes an event and returns the frame to send for it, or nil.
func (l *Link) handle(ev linkEvent) *peerv1.Frame {
	switch {
	case ev.forward != nil:
		l.lastCall++
		l.pending[l.lastCall] = *ev.forward
		r := ev.forward.request
		l.Log.Debug("peer: request forwarded", zap.String("request", string(r.ID)), zap.String("account", string(r.Account)), zap.String("peer", string(l.Peer)))
		return &peerv1.Frame{Message: &peerv1.Frame_Forward{Forward: &peerv1.Forward{
			Call: l.lastCall, Account: string(r.Account), Request: wire.SubmitRequest(l.Clock.Now(), r),
		}}}
	case ev.outcome != nil:
		l.resolve(ev.outcome.GetCall(), wire.FromSubmitResponse(ev.outcome.GetResponse()))
		return nil
	default:
		return ev.frame
	}
}

// resolve passes the outcome of a forwarded request to its caller. A second outcome for a call is dropped.
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

// write sends a frame within the rate limit. A frame that cannot be encoded is dropped.
func (l *Link) write(ctx context.Context, conn Outgoing, f *peerv1.Frame) error {
	data, err := EncodeFrame(f)
	if err != nil {
		l.Log.Error("peer: frame dropped", zap.String("peer", string(l.Peer)), zap.Error(err))
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

// timeOutOverdue resolves forwarded requests whose outcome is overdue as unknown.
func (l *Link) timeOutOverdue() {
	now := l.Clock.Now()
	for call, f := range l.pending {
		if now.After(f.request.Deadline.Add(forwardGrace)) {
			l.resolve(call, request.Unknown(request.ReasonTimeout))
		}
	}
}

// failAll drops all queued frames and resolves all forwarded requests as unknown, because they may or may
// not have run.
func (l *Link) failAll() {
	for {
		ev, ok := l.inbox.TryPop()
		if !ok {
			break
		}
		l.queuedBytes.Add(-int64(ev.size))
		l.handle(ev)
	}
	for call := range l.pending {
		l.resolve(call, request.Unknown(request.ReasonIssuerUnreachable))
	}
}

// backOff waits before the link is reopened. Requests that arrive meanwhile are resolved as unknown at once.
func (l *Link) backOff(ctx context.Context, d time.Duration) error {
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
		l.queuedBytes.Add(-int64(ev.size))
		l.handle(ev)
		l.failAll()
	}
}
