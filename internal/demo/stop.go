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

// exportsInFlight is how many long requests run when the entry is asked to stop.
const exportsInFlight = 6

// sender is the duty of one caller who waits for one long request.
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

// keptTickets are tickets of the entry that stops.
type keptTickets struct {
	used, unused []byte
}

var keptBody = []byte("a swap before the stop")

// stopEntry stops an entry while long requests run and checks that each of them is answered.
func stopEntry(ctx context.Context, f *site) (string, error) {
	e := f.entries[1]
	tickets, err := issueTickets(ctx, e, 2)
	if err != nil {
		return "", trace.Wrap(err)
	}
	f.kept = keptTickets{used: tickets[0], unused: tickets[1]}
	if err := submit(ctx, e, typeSwap, keptBody, f.kept.used); err != nil {
		return "", trace.Wrap(err)
	}
	sending, cancel := context.WithCancel(ctx)
	defer cancel()
	results := ring.New[error]("demo-results", exportsInFlight)
	for i := range exportsInFlight {
		f.group.Start(sending, &sender{number: i, entry: e, result: results})
	}
	if err := f.waitRunning(ctx, exportsInFlight); err != nil {
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

// waitRunning waits until the endpoints run that many requests.
func (f *site) waitRunning(ctx context.Context, want int) error {
	return eventually(ctx, func() (bool, error) {
		running := 0
		for _, e := range f.endpoints {
			o, err := e.Observe(ctx)
			if err != nil {
				return false, trace.Wrap(err)
			}
			running += int(o.Running)
		}
		return running >= want, nil
	})
}

// askStoppedTicket redeems the tickets of the stopped entry through the other one.
func askStoppedTicket(ctx context.Context, f *site) (string, error) {
	err := f.expectRuns(ctx, 1, func() error {
		for _, t := range [][]byte{f.kept.used, f.kept.unused, f.kept.unused} {
			if err := submit(ctx, f.entries[0], typeSwap, keptBody, t); err != nil {
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

// expectRuns checks how many requests the endpoints start during an action.
func (f *site) expectRuns(ctx context.Context, want int, action func() error) error {
	before, err := f.runs(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := action(); err != nil {
		return trace.Wrap(err)
	}
	after, err := f.runs(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	if after-before != want {
		return trace.Wrap(&MismatchError{Want: fmt.Sprintf("%d runs", want), Got: fmt.Sprintf("%d runs", after-before)})
	}
	return nil
}
