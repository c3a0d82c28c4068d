package load

import (
	"context"

	"connectrpc.com/connect"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	callerv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/caller/v1"
)

// once sends a request with a ticket, through another entry each time, until its outcome is certain or
// the attempts are used up.
func (w *worker) once(ctx context.Context, p part) {
	t, ok := w.ticket(ctx)
	if !ok {
		w.tally.Outcomes["no-ticket"]++
		return
	}
	m := w.message(p, t)
	if w.random.IntN(100) < impatientPercent {
		w.send(ctx, m, impatience)
	}
	var last attempt
	for range maxAttempts {
		last = w.measured(ctx, p, m)
		if last.Kind == attemptAnswered || last.Kind == attemptWrong || last.Kind == attemptNotRun {
			break
		}
		if clock.Wait(ctx, w.clock, pause) != nil {
			break
		}
	}
	if last.Kind == attemptNotRun && len(last.Ticket) > 0 {
		w.tickets = append(w.tickets, last.Ticket)
	}
	w.record(p, m, last)
	if last.Kind == attemptAnswered && w.random.IntN(100) < repeatPercent {
		w.repeat(ctx, m)
	}
}

// repeat sends an answered ticket once more: it must not run again, and nobody may say that it did not run.
func (w *worker) repeat(ctx context.Context, m *callerv1.SubmitRequest) {
	if a := w.send(ctx, m, callTimeout); a.Kind == attemptNotRun {
		w.tally.find(FindingLie, m.GetRequestId()+": not-run "+string(a.Reason)+" after its answer, by "+string(a.Entry))
	}
}

// ticket returns a ticket, asking an entry for some when there is none left.
func (w *worker) ticket(ctx context.Context) ([]byte, bool) {
	for range maxAttempts {
		if n := len(w.tickets); n > 0 {
			t := w.tickets[0]
			w.tickets = w.tickets[1:]
			return t, true
		}
		if e, ok := w.entry(); ok {
			bounded, cancel := context.WithTimeout(ctx, callTimeout)
			response, err := w.clients[e.ID].IssueTickets(bounded, connect.NewRequest(&callerv1.IssueTicketsRequest{Count: ticketsPerAsk}))
			cancel()
			if err == nil {
				w.tickets = response.Msg.GetTickets()
				continue
			}
		}
		if clock.Wait(ctx, w.clock, pause) != nil {
			return nil, false
		}
	}
	return nil, false
}
