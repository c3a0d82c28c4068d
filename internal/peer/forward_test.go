package peer_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/ticket"
)

// Guards against an entry that has just started and reports the issuer of a ticket as gone because it does
// not know the issuer's incarnation yet.
func TestTicketOfAnUnknownIncarnationGoesToItsIssuer(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	a, b := pair(ctx, t)
	r := swap("b")
	r.Ticket = ticket.Encode(ticket.Ticket{Issuer: "b", Incarnation: "unheard", Account: r.Account, Sequence: 1, Expires: time.Unix(4e9, 0)}, []byte("key"))
	reply := ring.New[request.Outcome]("reply", 1)
	is.True(a.forwarder.Forward(r, reply))
	submitted := next[dispatch.Submitted](ctx, is, b)
	is.Equal(submitted.Request.Ticket, r.Ticket)
	is.True(!b.forwarder.Forward(r, reply)) // the issuer itself decides
}
