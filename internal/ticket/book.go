package ticket

import (
	"cmp"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// DefaultMaxBytes bounds the memory of a book whose MaxBytes is 0. A book of this size can be handed over
// within seconds at the usual rate between entries.
const DefaultMaxBytes fleet.Bytes = 16 << 20

// Book issues the tickets of one incarnation of an entry. It records the outcomes of these tickets and of
// the tickets of other incarnations that were handed over to it. It is not safe for concurrent use.
type Book struct {
	// Issuer, Incarnation, Key, Lifetime and MaxBytes are set before use.
	Issuer      fleet.EntryID
	Incarnation fleet.Incarnation
	Key         []byte
	Lifetime    time.Duration
	// MaxBytes bounds the memory of ended tickets; 0 means DefaultMaxBytes.
	MaxBytes fleet.Bytes

	lastSequence fleet.TicketSequence
	now          time.Time
	closed       bool
	incarnations map[fleet.Incarnation]*incarnationRecords
	// adopted lists the incarnations that were handed over to the book, the oldest first.
	adopted []fleet.Incarnation
	cache   outcomeCache
}

// ID identifies a ticket among those of all incarnations.
type ID struct {
	Incarnation fleet.Incarnation
	Sequence    fleet.TicketSequence
}

// incarnationRecords holds the key and the records of one incarnation.
type incarnationRecords struct {
	key     []byte
	records map[fleet.TicketSequence]*record
	// watermark is the latest expiry of an evicted record. A ticket without a record that expires at or
	// before it may have run, even if the wall clock was stepped back before the expiry.
	watermark time.Time
}

// Issue returns a new ticket for an account.
func (b *Book) Issue(now time.Time, account fleet.ClientAccountID) []byte {
	b.now = now
	own := b.state(b.Incarnation)
	expires := now.Add(b.Lifetime)
	if !expires.After(own.watermark.Add(time.Millisecond)) {
		// The clock was stepped back. A ticket that expires at or before the watermark is never redeemed.
		expires = own.watermark.Add(b.Lifetime)
	}
	b.lastSequence++
	return Encode(Ticket{
		Issuer: b.Issuer, Incarnation: b.Incarnation, Sequence: b.lastSequence, Account: account, Expires: expires,
	}, b.Key)
}

// Verdict is the decision on a presented ticket.
type Verdict string

// Verdicts.
const (
	// VerdictRun means that the ticket is redeemed now and its request may run.
	VerdictRun Verdict = "run"
	// VerdictJoin means that the request of the ticket is in progress.
	VerdictJoin Verdict = "join"
	// VerdictEnded means that the outcome of the ticket is known.
	VerdictEnded Verdict = "ended"
	// VerdictExpired means that the ticket has no record and has expired, or is so old that its record may
	// have been evicted.
	VerdictExpired Verdict = "expired"
	// VerdictForeign means that this book does not redeem the tickets of the issuing incarnation.
	VerdictForeign Verdict = "foreign"
	// VerdictInvalid means that no book redeems the ticket for the account.
	VerdictInvalid Verdict = "invalid"
)

// Redeem decides on a ticket presented by an account. Each ticket gets VerdictRun at most once.
func (b *Book) Redeem(now time.Time, data []byte, account fleet.ClientAccountID) (Verdict, ID, request.Outcome) {
	b.now = now
	t, err := Decode(data)
	if err != nil || t.Account != account {
		return VerdictInvalid, ID{}, request.Outcome{}
	}
	id := ID{t.Incarnation, t.Sequence}
	b.state(b.Incarnation)
	s := b.incarnations[t.Incarnation]
	if s == nil || b.closed {
		return VerdictForeign, id, request.Outcome{}
	}
	if !Verify(data, s.key) {
		return VerdictInvalid, ID{}, request.Outcome{}
	}
	if r := s.records[t.Sequence]; r != nil {
		if r.state == recordStateRunning {
			return VerdictJoin, id, request.Outcome{}
		}
		return VerdictEnded, id, r.outcome
	}
	if !now.Before(t.Expires) || !t.Expires.After(s.watermark) {
		return VerdictExpired, id, request.Outcome{}
	}
	r := &record{id: id, account: account, expires: t.Expires, state: recordStateRunning}
	s.records[t.Sequence] = r
	b.cache.bytes += r.size()
	b.enforceLimit()
	return VerdictRun, id, request.Outcome{}
}

// End records the outcome of a ticket and returns the outcome to report to callers: a refusal carries a
// fresh ticket. An answer may replace an unknown outcome later; a refusal and an answer are final.
func (b *Book) End(id ID, o request.Outcome) request.Outcome {
	s := b.incarnations[id.Incarnation]
	if s == nil || s.records[id.Sequence] == nil {
		return o
	}
	r := s.records[id.Sequence]
	if r.state == recordStateEnded && (r.outcome.Kind != request.OutcomeUnknown || o.Kind != request.OutcomeAnswer) {
		return r.outcome
	}
	if o.Kind == request.OutcomeNotRun {
		o.FreshTicket = b.Issue(b.now, r.account)
	}
	b.cache.bytes -= r.size()
	first := r.state == recordStateRunning
	r.state, r.outcome = recordStateEnded, o
	b.cache.bytes += r.size()
	b.cache.add(r, first)
	b.enforceLimit()
	return o
}

// Expire evicts the records of ended tickets that have expired.
func (b *Book) Expire(now time.Time) {
	b.now = now
	for len(b.cache.ended) > 0 && !now.Before(b.cache.ended[0].expires) {
		b.evictOldest()
	}
}

// Bytes returns the estimated memory of all records.
func (b *Book) Bytes() fleet.Bytes { return b.cache.bytes }

func (b *Book) state(incarnation fleet.Incarnation) *incarnationRecords {
	if b.incarnations == nil {
		b.incarnations = map[fleet.Incarnation]*incarnationRecords{
			b.Incarnation: {key: b.Key, records: map[fleet.TicketSequence]*record{}},
		}
	}
	return b.incarnations[incarnation]
}

// enforceLimit evicts until the memory is within MaxBytes: first the bodies of answers, then whole records.
// The watermark prevents tickets whose records were evicted from running again.
func (b *Book) enforceLimit() {
	limit := cmp.Or(b.MaxBytes, DefaultMaxBytes)
	for b.cache.bytes > limit {
		if !b.cache.dropBody() && !b.evictOldest() {
			return
		}
	}
}

// evictOldest evicts the record of the ended ticket that expires first. It returns false when there is none.
func (b *Book) evictOldest() bool {
	if len(b.cache.ended) == 0 {
		return false
	}
	r := b.cache.ended[0]
	b.cache.ended[0], b.cache.ended = nil, b.cache.ended[1:]
	b.cache.bytes -= r.size()
	r.evicted = true
	s := b.incarnations[r.id.Incarnation]
	if s == nil {
		return true
	}
	delete(s.records, r.id.Sequence)
	if r.expires.After(s.watermark) {
		s.watermark = r.expires
	}
	return true
}
