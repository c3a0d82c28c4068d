package load

import (
	"context"

	"connectrpc.com/connect"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	callerv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/caller/v1"
)

// sendTicketed sends a request with a ticket, each time through a random ready entry, until its outcome is
// certain or the attempts are used up.
func (w *worker) sendTicketed(ctx context.Context, p profile) {
	t, ok := w.ticket(ctx)
	if !ok {
		w.tally.Outcomes["no-ticket"]++
		return
	}
	m := w.message(p, t)
	if w.random.IntN(100) < abandonPercent {
		w.send(ctx, m, shortTimeout)
	}
	var last attempt
	for range maxAttempts {
		last = w.sendTimed(ctx, p, m)
		if last.Kind == attemptAnswered || last.Kind == attemptWrong || last.Kind == attemptNotRun {
			break
		}
		if clock.Wait(ctx, w.clock, retryDelay) != nil {
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

// repeat sends an answered request once more: it must not run again, and no entry may report that it did
// not run.
func (w *worker) repeat(ctx context.Context, m *callerv1.SubmitRequest) {
	if a := w.send(ctx, m, callTimeout); a.Kind == attemptNotRun {
		w.tally.addFinding(FindingFalseNotRun, m.GetRequestId()+": not-run "+string(a.Reason)+" after its answer, by "+string(a.Entry))
	}
}

// ticket returns a ticket. It requests new ones from an entry when there is none left.
func (w *worker) ticket(ctx context.Context) ([]byte, bool) {
	for range maxAttempts {
		if n := len(w.tickets); n > 0 {
			t := w.tickets[0]
			w.tickets = w.tickets[1:]
			return t, true
		}
		if e, ok := w.pickEntry(); ok {
			bounded, cancel := context.WithTimeout(ctx, callTimeout)
			response, err := w.clients[e.ID].IssueTickets(bounded, connect.NewRequest(&callerv1.IssueTicketsRequest{Count: ticketsPerCall}))
			cancel()
			if err == nil {
				w.tickets = response.Msg.GetTickets()
				continue
			}
		}
		if clock.Wait(ctx, w.clock, retryDelay) != nil {
			return nil, false
		}
	}
	return nil, false
}
