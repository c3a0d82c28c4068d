package dispatch

import (
	"time"

	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/internal/ticket"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// lateGrace is how long the call of a ticketed request stays open after the deadline of its caller,
// so that a late answer is kept for the ticket.
const lateGrace = 30 * time.Second

// redeem uses up the ticket of the request, if it has one. It returns false when the request has got
// its outcome or joined another one. A request with another reason to be refused needs no ticket.
func (e *Engine) redeem(now time.Time, w *request.Work, refusal request.Reason) bool {
	if len(w.Request.Ticket) == 0 {
		if w.Request.Repeatable || refusal != "" {
			return true
		}
		o := request.NotRun(request.ReasonTicketRequired, 0)
		o.FreshTicket = e.Tickets.Issue(now, w.Request.Account)
		e.end(w, request.EventRefuse, o)
		return false
	}
	verdict, name, outcome := e.Tickets.Redeem(now, w.Request.Ticket, w.Request.Account)
	switch verdict {
	case ticket.VerdictRun:
		w.Incarnation, w.Sequence = name.Incarnation, name.Sequence
		e.tickets[name] = w
		e.overdue.set(w, w.Request.Deadline)
		return true
	case ticket.VerdictJoin:
		running := e.tickets[name]
		running.Replies = append(running.Replies, w.Replies...)
	case ticket.VerdictEnded:
		e.reply(w.Replies, outcome)
	case ticket.VerdictExpired:
		e.reply(w.Replies, request.Unknown(request.ReasonTicketExpired))
	case ticket.VerdictForeign:
		e.reply(w.Replies, request.Unknown(request.ReasonIssuerGone))
	default:
		// No entry runs a request of this account under this ticket.
		o := request.NotRun(request.ReasonTicketInvalid, 0)
		o.FreshTicket = e.Tickets.Issue(now, w.Request.Account)
		e.reply(w.Replies, o)
	}
	return false
}

// endTicket remembers the outcome of a ticketed request and returns it as the callers get it.
func (e *Engine) endTicket(w *request.Work, o request.Outcome) request.Outcome {
	name := ticket.Name{Incarnation: w.Incarnation, Sequence: w.Sequence}
	if w.Sequence == 0 || e.tickets[name] != w {
		return o
	}
	delete(e.tickets, name)
	e.overdue.remove(w)
	return e.Tickets.End(name, o)
}

// callTimeout is how long an attempt may take.
func callTimeout(now time.Time, w *request.Work) time.Duration {
	timeout := w.Request.Deadline.Sub(now)
	if w.Sequence != 0 {
		timeout += lateGrace
	}
	return timeout
}

// loseOverdue ends the wait for ticketed requests that still run after their deadline. Their calls
// stay open for a late answer.
func (e *Engine) loseOverdue(now time.Time) {
	for w := e.overdue.due(now); w != nil; w = e.overdue.due(now) {
		if w.State != request.StateRunning {
			// A queued request ends at its own timer.
			continue
		}
		e.fire(w, request.EventLose)
		e.timers.remove(w)
		name := ticket.Name{Incarnation: w.Incarnation, Sequence: w.Sequence}
		e.reply(w.Replies, e.Tickets.End(name, request.Unknown(request.ReasonTimeout)))
		w.Replies = nil
	}
}

// takeLate takes the result of a request whose callers were told that its outcome is unknown. An
// answer is kept for the ticket.
func (e *Engine) takeLate(w *request.Work, result request.Result) {
	switch result.Kind {
	case request.ResultAnswered:
		e.end(w, request.EventAnswer, request.Answered(request.AnswerStatusOK, result.Body))
		return
	case request.ResultFailed:
		e.end(w, request.EventAnswer, request.Answered(request.AnswerStatusFailed, []byte(result.Detail)))
		return
	}
	// Callers were told unknown once, so nothing but an answer replaces it.
	e.unregister(w)
	e.endTicket(w, request.Unknown(request.ReasonTimeout))
}

// IssueTickets returns fresh tickets for an account.
func (e *Engine) IssueTickets(now time.Time, account fleet.ClientAccountID, count int) [][]byte {
	var list [][]byte
	for range count {
		list = append(list, e.Tickets.Issue(now, account))
	}
	return list
}

// HandOver stops redeeming and returns the tickets for a peer.
func (e *Engine) HandOver() []ticket.Shelf { return e.Tickets.Close() }

// Adopt takes the tickets of a peer that stops. It returns false when this entry is stopping too.
func (e *Engine) Adopt(s ticket.Shelf) bool { return !e.stopping && e.Tickets.Adopt(s) }
