package ticket

import (
	"cmp"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// DefaultMaxBytes bounds the memory of a book whose MaxBytes is 0. It is small enough to be handed
// over within seconds at the usual rate between entries.
const DefaultMaxBytes fleet.Bytes = 16 << 20

// Book issues the tickets of one incarnation of an entry and remembers what became of them, and of
// the tickets of other incarnations that were handed over to it. One goroutine owns it.
type Book struct {
	// Issuer, Incarnation, Key, Lifetime and MaxBytes are set before use.
	Issuer      fleet.EntryID
	Incarnation fleet.Incarnation
	Key         []byte
	Lifetime    time.Duration
	// MaxBytes bounds the memory of ended tickets; 0 means DefaultMaxBytes.
	MaxBytes fleet.Bytes

	next    fleet.TicketSequence
	latest  time.Time
	closed  bool
	shelves map[fleet.Incarnation]*shelf
	// adopted lists the incarnations that were handed over, the oldest first.
	adopted []fleet.Incarnation
	memory  memory
}

// Name identifies a ticket among those of all incarnations.
type Name struct {
	Incarnation fleet.Incarnation
	Sequence    fleet.TicketSequence
}

// shelf holds the tickets of one incarnation.
type shelf struct {
	key     []byte
	records map[fleet.TicketSequence]*record
	// watermark is the latest expiry that was forgotten. A ticket without a record that expires at
	// or before it may have run, whatever the wall clock says after a step.
	watermark time.Time
}

// Issue returns a fresh ticket for an account.
func (b *Book) Issue(now time.Time, account fleet.ClientAccountID) []byte {
	b.latest = now
	own := b.shelf(b.Incarnation)
	expires := now.Add(b.Lifetime)
	if !expires.After(own.watermark.Add(time.Millisecond)) {
		// After the clock stepped back, a ticket below the watermark would never be redeemed.
		expires = own.watermark.Add(b.Lifetime)
	}
	b.next++
	return Encode(Ticket{
		Issuer: b.Issuer, Incarnation: b.Incarnation, Sequence: b.next, Account: account, Expires: expires,
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
	// VerdictForeign means that this book does not redeem the tickets of the issuing incarnation.
	VerdictForeign Verdict = "foreign"
	// VerdictInvalid means that no book redeems the ticket for the account.
	VerdictInvalid Verdict = "invalid"
)

// Redeem decides on a ticket presented by an account. Each ticket gets VerdictRun at most once.
func (b *Book) Redeem(now time.Time, data []byte, account fleet.ClientAccountID) (Verdict, Name, request.Outcome) {
	b.latest = now
	t, err := Decode(data)
	if err != nil || t.Account != account {
		return VerdictInvalid, Name{}, request.Outcome{}
	}
	name := Name{t.Incarnation, t.Sequence}
	b.shelf(b.Incarnation)
	s := b.shelves[t.Incarnation]
	if s == nil || b.closed {
		return VerdictForeign, name, request.Outcome{}
	}
	if !Verify(data, s.key) {
		return VerdictInvalid, Name{}, request.Outcome{}
	}
	if r := s.records[t.Sequence]; r != nil {
		if r.state == recordStateRunning {
			return VerdictJoin, name, request.Outcome{}
		}
		return VerdictEnded, name, r.outcome
	}
	if !now.Before(t.Expires) || !t.Expires.After(s.watermark) {
		return VerdictExpired, name, request.Outcome{}
	}
	r := &record{name: name, account: account, expires: t.Expires, state: recordStateRunning}
	s.records[t.Sequence] = r
	b.memory.bytes += r.size()
	b.enforce()
	return VerdictRun, name, request.Outcome{}
}

// End remembers the outcome of a ticket and returns it as it is to be told: a refusal carries a fresh
// ticket. An unknown outcome may become an answer later; a refusal and an answer are final.
func (b *Book) End(name Name, o request.Outcome) request.Outcome {
	s := b.shelves[name.Incarnation]
	if s == nil || s.records[name.Sequence] == nil {
		return o
	}
	r := s.records[name.Sequence]
	if r.state == recordStateEnded && (r.outcome.Kind != request.OutcomeUnknown || o.Kind != request.OutcomeAnswer) {
		return r.outcome
	}
	if o.Kind == request.OutcomeNotRun {
		o.FreshTicket = b.Issue(b.latest, r.account)
	}
	b.memory.bytes -= r.size()
	first := r.state == recordStateRunning
	r.state, r.outcome = recordStateEnded, o
	b.memory.bytes += r.size()
	b.memory.keep(r, first)
	b.enforce()
	return o
}

// Expire forgets ended tickets that can no longer be redeemed.
func (b *Book) Expire(now time.Time) {
	b.latest = now
	for len(b.memory.ended) > 0 && !now.Before(b.memory.ended[0].expires) {
		b.forgetOldest()
	}
}

// Bytes returns the memory that the book accounts for.
func (b *Book) Bytes() fleet.Bytes { return b.memory.bytes }

func (b *Book) shelf(incarnation fleet.Incarnation) *shelf {
	if b.shelves == nil {
		b.shelves = map[fleet.Incarnation]*shelf{
			b.Incarnation: {key: b.Key, records: map[fleet.TicketSequence]*record{}},
		}
	}
	return b.shelves[incarnation]
}

// enforce keeps the memory within its bound. Answer bodies go first, then whole records; the
// watermark keeps forgotten tickets from running again.
func (b *Book) enforce() {
	limit := cmp.Or(b.MaxBytes, DefaultMaxBytes)
	for b.memory.bytes > limit {
		if !b.memory.dropBody() && !b.forgetOldest() {
			return
		}
	}
}

// forgetOldest forgets the ended ticket that expires first.
func (b *Book) forgetOldest() bool {
	if len(b.memory.ended) == 0 {
		return false
	}
	r := b.memory.ended[0]
	b.memory.ended[0], b.memory.ended = nil, b.memory.ended[1:]
	b.memory.bytes -= r.size()
	r.forgotten = true
	s := b.shelves[r.name.Incarnation]
	if s == nil {
		return true
	}
	delete(s.records, r.name.Sequence)
	if r.expires.After(s.watermark) {
		s.watermark = r.expires
	}
	return true
}
