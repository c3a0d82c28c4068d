package ticket_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/internal/ticket"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

const account fleet.ClientAccountID = "newsroom"

var start = time.Unix(1e9, 0)

func newBook(incarnation fleet.Incarnation, maxBytes fleet.Bytes) *ticket.Book {
	return &ticket.Book{
		Issuer: "entry", Incarnation: incarnation, Key: []byte("key of " + incarnation), Lifetime: time.Minute, MaxBytes: maxBytes,
	}
}

// Guards against a ticket that runs again after its record was evicted or its request refused.
func TestRedeem(t *testing.T) {
	refused := request.NotRun(request.ReasonQueueFull, 0)
	answer := request.Answered(request.AnswerStatusOK, []byte("done"))
	cases := []struct {
		name    string
		prepare func(b *ticket.Book, data []byte, id ticket.ID)
		account fleet.ClientAccountID
		at      time.Duration
		want    ticket.Verdict
		kind    request.OutcomeKind
	}{
		{"joins while it runs", func(*ticket.Book, []byte, ticket.ID) {}, account, 0, ticket.VerdictJoin, ""},
		{"joins after its expiry", func(b *ticket.Book, _ []byte, _ ticket.ID) { b.Expire(start.Add(time.Hour)) }, account, time.Hour, ticket.VerdictJoin, ""},
		{"remembers", func(b *ticket.Book, _ []byte, id ticket.ID) { b.End(id, answer) }, account, 0, ticket.VerdictEnded, request.OutcomeAnswer},
		{"keeps a refusal", func(b *ticket.Book, _ []byte, id ticket.ID) { b.End(id, refused); b.End(id, answer) }, account, 0, ticket.VerdictEnded, request.OutcomeNotRun},
		{"keeps an answer", func(b *ticket.Book, _ []byte, id ticket.ID) {
			b.End(id, answer)
			b.End(id, request.Unknown(request.ReasonTimeout))
		}, account, 0, ticket.VerdictEnded, request.OutcomeAnswer},
		{"takes a late answer", func(b *ticket.Book, _ []byte, id ticket.ID) {
			b.End(id, request.Unknown(request.ReasonTimeout))
			b.End(id, answer)
		}, account, 0, ticket.VerdictEnded, request.OutcomeAnswer},
		{"expires after the clock stepped back", func(b *ticket.Book, _ []byte, id ticket.ID) {
			b.End(id, answer)
			b.Expire(start.Add(time.Hour))
		}, account, 0, ticket.VerdictExpired, ""},
		{"refuses another account", func(*ticket.Book, []byte, ticket.ID) {}, "other", 0, ticket.VerdictInvalid, ""},
		{"refuses an altered ticket", func(_ *ticket.Book, data []byte, _ ticket.ID) { data[len(data)-1] ^= 1 }, account, 0, ticket.VerdictInvalid, ""},
		{"is foreign after the hand-over", func(b *ticket.Book, _ []byte, _ ticket.ID) { b.Close() }, account, 0, ticket.VerdictForeign, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newBook("one", 0)
			data := b.Issue(start, account)
			verdict, id, _ := b.Redeem(start, data, account)
			is.Equal(verdict, ticket.VerdictRun)
			c.prepare(b, data, id)
			verdict, _, outcome := b.Redeem(start.Add(c.at), data, c.account)
			is.Equal(verdict, c.want)
			is.Equal(outcome.Kind, c.kind)
		})
	}
}

// Guards against memory that grows with the number and size of outcomes, and against a ticket that runs again
// after its outcome was evicted.
func TestOutcomeMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	const limit = 20_000
	b := newBook("one", limit)
	var list [][]byte
	for i := range 300 {
		data := b.Issue(start.Add(time.Duration(i)*time.Millisecond), account)
		list = append(list, data)
		_, id, _ := b.Redeem(start, data, account)
		b.End(id, request.Answered(request.AnswerStatusOK, bytes.Repeat([]byte("x"), 1000)))
		is.True(b.Bytes() <= limit)
	}
	seen := map[ticket.Verdict]int{}
	for _, data := range list {
		verdict, _, _ := b.Redeem(start, data, account)
		seen[verdict]++
	}
	is.Equal(seen[ticket.VerdictRun], 0)
	is.True(seen[ticket.VerdictEnded] > 0 && seen[ticket.VerdictExpired] > 0)
	fresh := b.Issue(start.Add(-time.Minute), account) // the clock was stepped back below the watermark
	verdict, _, _ := b.Redeem(start.Add(-time.Minute), fresh, account)
	is.Equal(verdict, ticket.VerdictRun)
}

// Guards against a hand-over that loses outcomes, lets a ticket run again or merges two books incorrectly.
func TestHandOverMergesBooks(t *testing.T) {
	is := is.New(t)
	old, successor := newBook("one", 0), newBook("two", 0)
	ended, unused, own := old.Issue(start, account), old.Issue(start, account), successor.Issue(start, account)
	_, id, _ := old.Redeem(start, ended, account)
	old.End(id, request.Answered(request.AnswerStatusOK, []byte("done")))
	for _, s := range old.Close() {
		is.True(successor.Adopt(s))
		is.True(successor.Adopt(s)) // a repeated hand-over changes nothing
	}
	is.Equal(successor.Adopted(), []fleet.Incarnation{"one"})
	for _, data := range [][]byte{unused, own} {
		verdict, _, _ := successor.Redeem(start, data, account)
		is.Equal(verdict, ticket.VerdictRun)
		verdict, _, _ = old.Redeem(start, data, account)
		is.Equal(verdict, ticket.VerdictForeign)
	}
	verdict, _, outcome := successor.Redeem(start, ended, account)
	is.Equal(verdict, ticket.VerdictEnded)
	is.Equal(string(outcome.Body), "done")
	next := newBook("three", 0) // the successor stops too and hands over both incarnations
	for _, s := range successor.Close() {
		is.True(next.Adopt(s))
	}
	verdict, _, _ = next.Redeem(start, ended, account)
	is.Equal(verdict, ticket.VerdictEnded)
}

// Guards against untrusted bytes that make the decoder panic or are redeemed as a ticket.
func FuzzDecode(f *testing.F) {
	f.Add(newBook("one", 0).Issue(start, account))
	f.Add([]byte{1})
	f.Fuzz(func(t *testing.T, data []byte) {
		if decoded, err := ticket.Decode(data); err == nil {
			is.New(t).True(len(decoded.Account) <= len(data))
			verdict, _, _ := newBook("one", 0).Redeem(start, data, "nobody")
			is.New(t).True(verdict != ticket.VerdictRun)
		}
	})
}
