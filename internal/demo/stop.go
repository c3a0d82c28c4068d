package demo

import (
	"context"
	"fmt"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/ring"
	callerv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/caller/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// exportsInFlight is the number of long requests that run when the entry begins to stop.
const exportsInFlight = 6

// sender is the duty of a caller that submits one long request and waits for its answer.
type sender struct {
	number int
	entry  *entry
	result *ring.Ring[error]
}

// Name implements duty.Duty.
func (s *sender) Name() fleet.DutyName {
	return fleet.DutyName(fmt.Sprintf("demo-sender-%d", s.number))
}

// Run implements duty.Duty.
func (s *sender) Run(ctx context.Context) error {
	if err := s.result.Push(submit(ctx, s.entry, typeExport, fmt.Appendf(nil, "export %d", s.number), nil)); err != nil {
		return trace.Wrap(err)
	}
	<-ctx.Done()
	return trace.Wrap(ctx.Err())
}

// stoppedTickets are tickets issued by the entry that stops.
type stoppedTickets struct {
	used, unused []byte
}

var ticketBody = []byte("a swap before the stop")

// stopEntry stops an entry while long requests run and checks that all of them are answered.
func stopEntry(ctx context.Context, d *deployment) (string, error) {
	e := d.entries[1]
	tickets, err := issueTickets(ctx, e, 2)
	if err != nil {
		return "", trace.Wrap(err)
	}
	d.tickets = stoppedTickets{used: tickets[0], unused: tickets[1]}
	if err := submit(ctx, e, typeSwap, ticketBody, d.tickets.used); err != nil {
		return "", trace.Wrap(err)
	}
	sending, cancel := context.WithCancel(ctx)
	defer cancel()
	results := ring.New[error]("demo-results", exportsInFlight)
	for i := range exportsInFlight {
		d.group.Start(sending, &sender{number: i, entry: e, result: results})
	}
	if err := d.waitRunning(ctx, exportsInFlight); err != nil {
		return "", trace.Wrap(err)
	}
	e.stop()
	for range exportsInFlight {
		failed, err := results.Pop(ctx)
		if err != nil || failed != nil {
			return "", trace.NewAggregate(err, failed)
		}
	}
	if _, err := e.ended.Pop(ctx); err != nil {
		return "", trace.Wrap(err)
	}
	return fmt.Sprintf("%d answers, then %s ended", exportsInFlight, e.id), nil
}

// waitRunning waits until the endpoints run at least the wanted number of requests.
func (d *deployment) waitRunning(ctx context.Context, want int) error {
	return eventually(ctx, func() (bool, error) {
		running := 0
		for _, e := range d.endpoints {
			o, err := e.Observe(ctx)
			if err != nil {
				return false, trace.Wrap(err)
			}
			running += int(o.Running)
		}
		return running >= want, nil
	})
}

// redeemStoppedTickets redeems the tickets of the stopped entry through the other entry, where the unused
// one runs once.
func redeemStoppedTickets(ctx context.Context, d *deployment) (string, error) {
	err := d.expectRuns(ctx, 1, func() error {
		for _, t := range [][]byte{d.tickets.used, d.tickets.unused, d.tickets.unused} {
			if err := submit(ctx, d.entries[0], typeSwap, ticketBody, t); err != nil {
				return trace.Wrap(err)
			}
		}
		return nil
	})
	return "1 used and 1 unused ticket, 1 run", trace.Wrap(err)
}

func issueTickets(ctx context.Context, e *entry, n uint32) ([][]byte, error) {
	response, err := e.caller.IssueTickets(ctx, connect.NewRequest(&callerv1.IssueTicketsRequest{Count: n}))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if got := len(response.Msg.GetTickets()); got != int(n) {
		return nil, trace.Wrap(&MismatchError{Want: fmt.Sprintf("%d tickets", n), Got: fmt.Sprint(got)})
	}
	return response.Msg.GetTickets(), nil
}

// expectRuns checks the number of runs that the endpoints start during an action.
func (d *deployment) expectRuns(ctx context.Context, want int, action func() error) error {
	before, err := d.runs(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := action(); err != nil {
		return trace.Wrap(err)
	}
	after, err := d.runs(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	if after-before != want {
		return trace.Wrap(&MismatchError{Want: fmt.Sprintf("%d runs", want), Got: fmt.Sprintf("%d runs", after-before)})
	}
	return nil
}
