package holder

import (
	"context"
	"strconv"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Announcer is one of the duties that notify the holders of services of what was stored, before their next read.
type Announcer struct {
	// The fields are set before Run.
	Inbox     *ring.Ring[Announcement]
	Scheduler *ring.Ring[Event]
	Peers     Peers
	Clock     clock.Clock
	Log       *zap.Logger
	Number    int
}

// Name implements duty.Duty.
func (a *Announcer) Name() fleet.DutyName {
	return fleet.DutyName("announcer-" + strconv.Itoa(a.Number))
}

// Run implements duty.Duty.
func (a *Announcer) Run(ctx context.Context) error {
	for {
		m, err := a.Inbox.Pop(ctx)
		if err != nil {
			return trace.Wrap(err)
		}
		a.announce(ctx, Query{Kind: QueryAnnounce, Service: m.Service, Job: m.ID, Accepted: m.Job, Cancelled: m.Cancelled})
	}
}

func (a *Announcer) announce(ctx context.Context, q Query) {
	// The local scheduler is the holder's, or names the holder.
	reply := ring.New[Answer]("answer", 1)
	local := q
	local.Reply = func(x Answer) { _ = reply.Push(x) } // The ring has room for the only answer.
	if err := a.Scheduler.Push(Event{Query: &local}); err != nil {
		a.leave(q, "scheduler busy")
		return
	}
	timer := a.Clock.NewTimer(schedulerTimeout)
	defer timer.Stop()
	answer, ok, err := reply.PopUntil(ctx, timer.Chan())
	switch {
	case err != nil || answer.Held:
		return
	case !ok:
		a.leave(q, "scheduler busy")
		return
	case answer.Holder == "":
		a.leave(q, "no holder known")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if _, err := a.Peers.Query(ctx, answer.Holder, q); err != nil {
		a.Log.Warn("announcer: holder does not answer", zap.String("job", string(q.Job)), zap.Bool("cancelled", q.Cancelled),
			zap.String("holder", string(answer.Holder)), zap.Error(trace.Unwrap(err)))
	}
}

// leave leaves it to the holder's next read of its jobs to bring what was stored.
func (a *Announcer) leave(q Query, reason string) {
	a.Log.Info("announcer: not announced", zap.String("job", string(q.Job)), zap.Bool("cancelled", q.Cancelled), zap.String("reason", reason))
}
