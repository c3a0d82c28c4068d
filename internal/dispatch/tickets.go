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

// redeem redeems the ticket of the request, if it has one. It returns false when the request has got its
// outcome or joined the request that runs under the same ticket. A request with another reason to be
// refused needs no ticket.
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
	verdict, id, outcome := e.Tickets.Redeem(now, w.Request.Ticket, w.Request.Account)
	switch verdict {
	case ticket.VerdictRun:
		w.Incarnation, w.Sequence = id.Incarnation, id.Sequence
		e.tickets[id] = w
		e.ticketDeadlines.set(w, w.Request.Deadline)
		return true
	case ticket.VerdictJoin:
		running := e.tickets[id]
		running.Replies = append(running.Replies, w.Replies...)
	case ticket.VerdictEnded:
		e.reply(w.Replies, outcome)
	case ticket.VerdictExpired:
		e.reply(w.Replies, request.Unknown(request.ReasonTicketExpired))
	case ticket.VerdictForeign:
		reason := request.ReasonIssuerGone
		if e.Tickets.IsHandedOver(id.Incarnation) {
			reason = request.ReasonHandingOver
		}
		e.reply(w.Replies, request.Unknown(reason))
	default:
		// No entry runs a request of this account under this ticket.
		o := request.NotRun(request.ReasonTicketInvalid, 0)
		o.FreshTicket = e.Tickets.Issue(now, w.Request.Account)
		e.reply(w.Replies, o)
	}
	return false
}

// endTicket records the outcome of a ticketed request and returns the outcome for its callers.
func (e *Engine) endTicket(w *request.Work, o request.Outcome) request.Outcome {
	id := ticket.ID{Incarnation: w.Incarnation, Sequence: w.Sequence}
	if w.Sequence == 0 || e.tickets[id] != w {
		return o
	}
	delete(e.tickets, id)
	e.ticketDeadlines.remove(w)
	return e.Tickets.End(id, o)
}

// callTimeout is how long an attempt may take.
func callTimeout(now time.Time, w *request.Work) time.Duration {
	timeout := w.Request.Deadline.Sub(now)
	if w.Sequence != 0 {
		timeout += lateGrace
	}
	return timeout
}

// timeOutTicketed ends ticketed requests that still run after their deadline as unknown. Their calls stay
// open for a late answer.
func (e *Engine) timeOutTicketed(now time.Time) {
	for w := e.ticketDeadlines.due(now); w != nil; w = e.ticketDeadlines.due(now) {
		if w.State != request.StateRunning {
			// A queued request is ended by its own timer.
			continue
		}
		e.fire(w, request.EventLose)
		e.timers.remove(w)
		id := ticket.ID{Incarnation: w.Incarnation, Sequence: w.Sequence}
		e.reply(w.Replies, e.Tickets.End(id, request.Unknown(request.ReasonTimeout)))
		w.Replies = nil
	}
}

// handleLate handles the result of a request whose callers were told that its outcome is unknown. An
// answer is kept for the ticket.
func (e *Engine) handleLate(w *request.Work, result request.Result) {
	switch result.Kind {
	case request.ResultAnswered:
		e.end(w, request.EventAnswer, request.Answered(request.AnswerStatusOK, result.Body))
		return
	case request.ResultFailed:
		e.end(w, request.EventAnswer, request.Answered(request.AnswerStatusFailed, []byte(result.Detail)))
		return
	}
	// The callers were told that the outcome is unknown, and only an answer replaces that.
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

// HandOver stops redeeming tickets and returns those to hand over to a peer.
func (e *Engine) HandOver() []ticket.IncarnationState { return e.Tickets.Close() }

// Adopt takes over the tickets of a peer that stops. It returns false when this entry is stopping too.
func (e *Engine) Adopt(s ticket.IncarnationState) bool { return !e.stopping && e.Tickets.Adopt(s) }
