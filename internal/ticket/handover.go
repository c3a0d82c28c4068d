package ticket

import (
	"maps"
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// maxAdopted bounds the number of adopted incarnations of a book. The oldest is dropped first; the outcome of
// its tickets is then reported as unknown.
const maxAdopted = 64

// Record is the outcome of one ticket in a hand-over.
type Record struct {
	Sequence fleet.TicketSequence
	Account  fleet.ClientAccountID
	Expires  time.Time
	Outcome  request.Outcome
}

// IncarnationState is the state that another book needs to redeem the tickets of one incarnation.
type IncarnationState struct {
	Incarnation fleet.Incarnation
	Key         []byte
	// Watermark is the latest expiry of an evicted record.
	Watermark time.Time
	Records   []Record
}

// Close stops redeeming permanently and returns the state of each incarnation. A ticket whose request is
// still in progress is handed over with an unknown outcome.
func (b *Book) Close() []IncarnationState {
	b.state(b.Incarnation)
	b.closed = true
	var list []IncarnationState
	for _, incarnation := range slices.Sorted(maps.Keys(b.incarnations)) {
		s := b.incarnations[incarnation]
		out := IncarnationState{Incarnation: incarnation, Key: s.key, Watermark: s.watermark}
		for _, sequence := range slices.Sorted(maps.Keys(s.records)) {
			r := s.records[sequence]
			o := r.outcome
			if r.state == recordStateRunning {
				o = request.Unknown(request.ReasonIssuerGone)
			}
			out.Records = append(out.Records, Record{Sequence: sequence, Account: r.account, Expires: r.expires, Outcome: o})
		}
		list = append(list, out)
	}
	return list
}

// IsHandedOver reports whether this book redeemed the tickets of an incarnation until it was closed.
// From then on, the book that adopts them redeems them.
func (b *Book) IsHandedOver(incarnation fleet.Incarnation) bool {
	return b.closed && b.incarnations[incarnation] != nil
}

// Adopt takes over the tickets of another incarnation. It returns false when this book cannot take them over
// because it is closed or issued them itself.
func (b *Book) Adopt(in IncarnationState) bool {
	b.state(b.Incarnation)
	if b.closed || in.Incarnation == b.Incarnation {
		return false
	}
	s := b.incarnations[in.Incarnation]
	if s == nil {
		b.dropOldestAdopted()
		s = &incarnationRecords{key: in.Key, records: map[fleet.TicketSequence]*record{}}
		b.incarnations[in.Incarnation] = s
		b.adopted = append(b.adopted, in.Incarnation)
	}
	if in.Watermark.After(s.watermark) {
		s.watermark = in.Watermark
	}
	for _, r := range in.Records {
		if s.records[r.Sequence] != nil {
			continue
		}
		adopted := &record{
			id: ID{in.Incarnation, r.Sequence}, account: r.Account, expires: r.Expires,
			state: recordStateEnded, outcome: r.Outcome,
		}
		s.records[r.Sequence] = adopted
		b.cache.bytes += adopted.size()
		b.cache.add(adopted, true)
	}
	b.enforceLimit()
	return true
}

// Adopted returns the incarnations whose tickets were handed over to this book, the oldest first.
func (b *Book) Adopted() []fleet.Incarnation { return slices.Clone(b.adopted) }

func (b *Book) dropOldestAdopted() {
	if len(b.adopted) < maxAdopted {
		return
	}
	oldest := b.adopted[0]
	b.adopted = slices.Delete(b.adopted, 0, 1)
	delete(b.incarnations, oldest)
	b.cache.ended = slices.DeleteFunc(b.cache.ended, func(r *record) bool {
		if r.id.Incarnation != oldest {
			return false
		}
		b.cache.bytes -= r.size()
		r.evicted = true
		return true
	})
}
