package dispatch

import (
	"time"

	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/internal/ticket"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// redeem uses up the ticket of the request. It returns false when the request must not run.
func (e *Engine) redeem(now time.Time, w *request.Work) bool {
	if len(w.Request.Ticket) == 0 {
		e.refuse(w, request.ReasonTicketRequired, 0)
		return false
	}
	verdict, t, outcome := e.Tickets.Redeem(now, w.Request.Ticket, w.Request.Account)
	w.Sequence = t.Sequence
	switch verdict {
	case ticket.VerdictRun:
		e.tickets[t.Sequence] = w
		return true
	case ticket.VerdictJoin:
		running := e.tickets[t.Sequence]
		running.Replies = append(running.Replies, w.Replies...)
	case ticket.VerdictEnded:
		e.reply(w.Replies, outcome)
	case ticket.VerdictExpired:
		e.reply(w.Replies, request.Unknown(request.ReasonTicketExpired))
	default:
		// An altered ticket names no request that could have run, but a ticket of another
		// incarnation does; the caller adapter passes those to their issuer before they get here.
		e.reply(w.Replies, request.Unknown(request.ReasonIssuerGone))
	}
	return false
}

// IssueTickets returns fresh tickets for an account.
func (e *Engine) IssueTickets(now time.Time, account fleet.ClientAccountID, count int) [][]byte {
	var list [][]byte
	for range count {
		list = append(list, e.Tickets.Issue(now, account))
	}
	return list
}
