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

// tickInterval is how often the dispatcher checks deadlines and other timers.
const tickInterval = 20 * time.Millisecond

// Sender sends attempts and controls to endpoints. Both methods return an error that wraps
// *ring.FullError when there is no room.
type Sender interface {
	Send(Send) error
	Control(Control) error
}

// Status is the published state of the dispatcher.
type Status struct {
	Acknowledged fleet.TableRevision
	// History is the history of the table to which Acknowledged belongs.
	History  fleet.TableHistory
	InFlight int
	Stopping bool
	// Services is the load of each service at this entry.
	Services []ServiceStatus
	// Leaving lists the VMs whose endpoints reported to this entry that they are leaving.
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
	// Peers and Fleet may be nil.
	Peers LoanSender
	Fleet FleetLoadReceiver

	// Observer may be nil.
	Observer Observer

	countedAt time.Time
	replies   map[request.ReplyID]OutcomeReceiver
	lastReply request.ReplyID
	stopping  bool
	// reportPending is set while a requested early report has not been made yet.
	reportPending bool
	// services is the load at measuredAt. It is published until the next measurement, loadInterval later.
	services   []ServiceStatus
	measuredAt time.Time
}

// LoanSender sends loans and returns of slots to peers.
type LoanSender interface {
	Lend(borrower fleet.EntryID, l SlotLoan) error
	Return(lender fleet.EntryID, loan LoanID, endpoints map[fleet.EndpointID]fleet.Slots) error
	// ReportSoon requests a report before the next one is due.
	ReportSoon() error
}

// FleetLoadReceiver receives the load of the fleet.
type FleetLoadReceiver interface {
	Set(FleetLoad)
}

// loadInterval is how often the load is published. Its readers make decisions far less often.
const loadInterval = 500 * time.Millisecond

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
			d.count(now)
			d.measure(now)
			timer.Reset(tickInterval)
		}
		d.execute(now)
		d.publish()
	}
}

func (d *Dispatcher) handle(now time.Time, ev Event) {
	switch v := ev.(type) {
	case Submitted:
		d.lastReply++
		d.replies[d.lastReply] = v.Reply
		d.Engine.Submit(now, v.Request, d.lastReply)
	case AttemptEnded:
		d.Engine.AttemptEnded(now, v.Call, v.Result)
	case TicketsRequested:
		_ = v.Reply.Push(d.Engine.IssueTickets(now, v.Account, v.Count))
	case CancellationRequested:
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

// handlePeer handles the events that concern other entries.
func (d *Dispatcher) handlePeer(now time.Time, ev Event) {
	switch v := ev.(type) {
	case EntriesChanged:
		d.Engine.SetLive(now, v.Live)
	case LoanReportRequested:
		d.reportPending = false
		_ = v.Reply.Push(d.Engine.LoanReport())
	case PeerReported:
		d.Engine.PeerReported(now, v)
	case SlotsLent:
		d.Engine.LoansGranted(now, v.ReportedAt, toLoans(v.Lender, d.Engine.Router.Entry, v.Loan.ID, v.Loan.Duration, v.Loan.Endpoints))
	case SlotsReturned:
		for _, l := range toLoans(d.Engine.Router.Entry, v.Borrower, v.Loan, 0, v.Endpoints) {
			d.Engine.LoanReturned(now, l)
		}
	default:
		d.handleTickets(now, ev)
	}
}

// execute carries out the engine's decisions until it makes no further sends, controls or replies.
func (d *Dispatcher) execute(now time.Time) {
	for {
		actions := d.Engine.Take()
		d.sendLoans(actions)
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
				d.Log.Warn("dispatch: control not sent", zap.String("request", string(c.Request)), zap.Error(err))
			}
		}
		for _, s := range actions.Sends {
			d.observe(now, s)
			if err := d.Sender.Send(s); err != nil {
				// The entry's own ring is full, which is no failure of the endpoint.
				d.Engine.AttemptEnded(now, s.Call, request.Result{Kind: request.ResultNotRun, Refusal: request.RefusalBusy})
			}
		}
	}
}

// sendLoans sends loans and returns to peers. A message lost because a ring is full is not sent again: a
// loan expires at the end of its duration, and reports are sent periodically.
func (d *Dispatcher) sendLoans(actions Actions) {
	if d.Peers == nil {
		return
	}
	for _, l := range actions.Grants {
		_ = d.Peers.Lend(l.Borrower, toSlotLoan(l))
	}
	for _, l := range actions.Returns {
		_ = d.Peers.Return(l.Lender, LoanID(l.Number), map[fleet.EndpointID]fleet.Slots{l.Endpoint: l.Slots})
	}
	if actions.ReportSoon && !d.reportPending {
		d.reportPending = d.Peers.ReportSoon() == nil
	}
}

// measure updates the load that is published once per loadInterval.
func (d *Dispatcher) measure(now time.Time) {
	if now.Sub(d.measuredAt) < loadInterval {
		return
	}
	d.measuredAt, d.services = now, d.Engine.ServiceStatuses()
	if d.Fleet != nil {
		d.Fleet.Set(d.Engine.FleetLoad(now))
	}
}

func (d *Dispatcher) publish() {
	d.Status.Set(Status{
		Acknowledged: d.Engine.AcknowledgedRevision(),
		History:      d.Engine.view.History,
		InFlight:     d.Engine.InFlight(),
		Stopping:     d.stopping,
		Services:     d.services,
		Leaving:      d.Engine.LeavingVMs(),
	})
}
