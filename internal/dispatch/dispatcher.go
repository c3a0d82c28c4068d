package dispatch

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// tickInterval is how often the dispatcher looks at deadlines.
const tickInterval = 20 * time.Millisecond

// Sender carries out attempts and controls. Push returns *ring.FullError when there is no room.
type Sender interface {
	Send(Send) error
	Control(Control) error
}

// Status is what the dispatcher publishes about itself.
type Status struct {
	Acknowledged fleet.TableRevision
	// History is the history of the table to which Acknowledged belongs.
	History  fleet.TableHistory
	InFlight int
	Stopping bool
	// Services is the load of each service, for the peers.
	Services []ServiceLoad
	// Leaving holds the VMs that this entry heard to be leaving.
	Leaving []fleet.VMID
}

// Dispatcher is the duty that owns the engine.
type Dispatcher struct {
	// The fields are set before Run.
	Engine *Engine
	Inbox  *ring.Ring[Event]
	Sender Sender
	Clock  clock.Clock
	Log    *zap.Logger
	View   *ring.Latest[*fleet.View]
	// EntriesInZone counts the entries that share the endpoints of the entry's zone.
	EntriesInZone int
	Status        *ring.Latest[Status]

	replies   map[request.ReplyID]OutcomeReceiver
	lastReply request.ReplyID
	stopping  bool
}

// Name implements duty.Duty.
func (*Dispatcher) Name() fleet.DutyName { return "dispatcher" }

// Run implements duty.Duty.
func (d *Dispatcher) Run(ctx context.Context) error {
	d.replies = map[request.ReplyID]OutcomeReceiver{}
	timer := d.Clock.NewTimer(tickInterval)
	defer timer.Stop()
	for {
		ev, ok, err := d.Inbox.PopUntil(ctx, timer.Chan())
		if err != nil {
			return trace.Wrap(err)
		}
		now := d.Clock.Now()
		if ok {
			d.handle(now, ev)
		} else {
			d.Engine.Tick(now)
			timer.Reset(tickInterval)
		}
		d.carryOut(now)
		d.publish()
	}
}

func (d *Dispatcher) handle(now time.Time, ev Event) {
	switch v := ev.(type) {
	case Submitted:
		d.lastReply++
		d.replies[d.lastReply] = v.Reply
		d.Engine.Submit(now, v.Request, d.lastReply)
	case Called:
		d.Engine.Called(now, v.Call, v.Result)
	case TicketsWanted:
		_ = v.Reply.Push(d.Engine.IssueTickets(now, v.Account, v.Count))
	case Cancelled:
		count := d.Engine.Cancel(v.Account, v.IDs, v.Group)
		if v.Reply != nil {
			_ = v.Reply.Push(count)
		}
	case ViewChanged:
		if view := d.View.Get(); view != nil {
			d.Engine.SetView(now, view, d.EntriesInZone)
		}
	case EndpointReported:
		d.Engine.Reported(now, v.Endpoint, v.Load)
	case CallerLeft:
		d.Engine.Abandon(v.Account, v.ID)
	case StopRequested:
		d.stopping = true
		d.Engine.Stop()
	default:
		d.handlePeer(now, ev)
	}
}

// handlePeer handles what concerns other entries.
func (d *Dispatcher) handlePeer(now time.Time, ev Event) {
	switch v := ev.(type) {
	case EntriesChanged:
		d.Engine.SetEntries(now, v.Zone, v.Total)
	case LoanReportWanted:
		_ = v.Reply.Push(d.Engine.LoanReport())
	case LoanAsked:
		_ = v.Reply.Push(d.Engine.Lend(now, v.Ask))
	case LoansGranted:
		d.Engine.LoansGranted(now, v.Asked, v.Loans)
	case LoanReturned:
		d.Engine.LoanReturned(now, v.Loan)
	default:
		d.handleTickets(now, ev)
	}
}

// carryOut executes decisions until the engine has no more.
func (d *Dispatcher) carryOut(now time.Time) {
	for {
		actions := d.Engine.Take()
		if len(actions.Sends)+len(actions.Controls)+len(actions.Replies) == 0 {
			return
		}
		for _, r := range actions.Replies {
			if reply := d.replies[r.ID]; reply != nil {
				delete(d.replies, r.ID)
				// The reply ring has room for the one outcome.
				_ = reply.Push(r.Outcome)
			}
		}
		for _, c := range actions.Controls {
			if err := d.Sender.Control(c); err != nil {
				d.Log.Warn("dispatch: control was not sent", zap.String("request", string(c.Request)), zap.Error(err))
			}
		}
		for _, s := range actions.Sends {
			if err := d.Sender.Send(s); err != nil {
				// The entry itself has no room, which says nothing about the endpoint.
				d.Engine.Called(now, s.Call, request.Result{Kind: request.ResultNotRun, Refusal: request.RefusalBusy})
			}
		}
	}
}

func (d *Dispatcher) publish() {
	d.Status.Set(Status{
		Acknowledged: d.Engine.AcknowledgedRevision(),
		History:      d.Engine.view.History,
		InFlight:     d.Engine.InFlight(),
		Stopping:     d.stopping,
		Leaving:      d.Engine.LeavingVMs(),
	})
}
