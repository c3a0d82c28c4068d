package ticket

import (
	"time"

	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// RecordState is what became of a ticket.
type RecordState string

// States of a redeemed ticket.
const (
	RecordStateRunning RecordState = "running"
	RecordStateEnded   RecordState = "ended"
)

// Record remembers a redeemed ticket until it expires.
type Record struct {
	Account fleet.ClientAccountID
	Expires time.Time
	State   RecordState
	// Outcome is set when State is RecordStateEnded. An unknown outcome may become an answer later.
	Outcome request.Outcome
}

// Book issues the tickets of one incarnation of an entry and remembers what became of them. One
// goroutine owns it.
type Book struct {
	// Issuer, Incarnation, Key and Lifetime are set before use.
	Issuer      fleet.EntryID
	Incarnation fleet.Incarnation
	Key         []byte
	Lifetime    time.Duration

	next    fleet.TicketSequence
	records map[fleet.TicketSequence]*Record
}

// Issue returns a fresh ticket for an account.
func (b *Book) Issue(now time.Time, account fleet.ClientAccountID) []byte {
	b.next++
	return Encode(Ticket{
		Issuer: b.Issuer, Incarnation: b.Incarnation, Sequence: b.next, Account: account, Expires: now.Add(b.Lifetime),
	}, b.Key)
}

// Verdict is what to do with a ticket that was presented.
type Verdict string

// Verdicts.
const (
	// VerdictRun means that the ticket is redeemed now and its request may run.
	VerdictRun Verdict = "run"
	// VerdictJoin means that the request of the ticket is under way.
	VerdictJoin Verdict = "join"
	// VerdictEnded means that the outcome of the ticket is known.
	VerdictEnded Verdict = "ended"
	// VerdictExpired means that the ticket is too old to tell what became of it.
	VerdictExpired Verdict = "expired"
	// VerdictInvalid means that the ticket was not issued to the account by this book.
	VerdictInvalid Verdict = "invalid"
)

// Redeem decides on a ticket presented by an account. Each ticket gets VerdictRun at most once.
func (b *Book) Redeem(now time.Time, data []byte, account fleet.ClientAccountID) (Verdict, Ticket, request.Outcome) {
	t, err := Decode(data)
	if err != nil || !Verify(data, b.Key) || t.Account != account || t.Incarnation != b.Incarnation {
		return VerdictInvalid, Ticket{}, request.Outcome{}
	}
	if r := b.records[t.Sequence]; r != nil {
		if r.State == RecordStateRunning {
			return VerdictJoin, t, request.Outcome{}
		}
		return VerdictEnded, t, r.Outcome
	}
	if !now.Before(t.Expires) {
		return VerdictExpired, t, request.Outcome{}
	}
	if b.records == nil {
		b.records = map[fleet.TicketSequence]*Record{}
	}
	b.records[t.Sequence] = &Record{Account: account, Expires: t.Expires, State: RecordStateRunning}
	return VerdictRun, t, request.Outcome{}
}

// End remembers the outcome of a ticket.
func (b *Book) End(sequence fleet.TicketSequence, o request.Outcome) {
	if r := b.records[sequence]; r != nil {
		r.State, r.Outcome = RecordStateEnded, o
	}
}

// Expire forgets ended tickets that can no longer be redeemed.
func (b *Book) Expire(now time.Time) {
	for sequence, r := range b.records {
		if r.State == RecordStateEnded && !now.Before(r.Expires) {
			delete(b.records, sequence)
		}
	}
}
