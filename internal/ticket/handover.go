package ticket

import (
	"maps"
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// maxAdopted bounds the incarnations whose tickets a book takes over. The oldest is given up first;
// its tickets then answer unknown.
const maxAdopted = 64

// Record is what became of one ticket, as it is handed over.
type Record struct {
	Sequence fleet.TicketSequence
	Account  fleet.ClientAccountID
	Expires  time.Time
	Outcome  request.Outcome
}

// Shelf is all that is needed to redeem the tickets of one incarnation elsewhere.
type Shelf struct {
	Incarnation fleet.Incarnation
	Key         []byte
	// Watermark is the latest expiry that was forgotten.
	Watermark time.Time
	Records   []Record
}

// Close stops redeeming for good and returns the tickets of each incarnation. A ticket whose request
// is still under way is handed over as unknown.
func (b *Book) Close() []Shelf {
	b.shelf(b.Incarnation)
	b.closed = true
	var list []Shelf
	for _, incarnation := range slices.Sorted(maps.Keys(b.shelves)) {
		s := b.shelves[incarnation]
		out := Shelf{Incarnation: incarnation, Key: s.key, Watermark: s.watermark}
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
// The book that takes them over redeems them then.
func (b *Book) IsHandedOver(incarnation fleet.Incarnation) bool {
	return b.closed && b.shelves[incarnation] != nil
}

// Adopt takes the tickets of another incarnation over. It returns false when this book cannot redeem
// them, because it has been closed or issued them itself.
func (b *Book) Adopt(in Shelf) bool {
	b.shelf(b.Incarnation)
	if b.closed || in.Incarnation == b.Incarnation {
		return false
	}
	s := b.shelves[in.Incarnation]
	if s == nil {
		b.giveUpOldest()
		s = &shelf{key: in.Key, records: map[fleet.TicketSequence]*record{}}
		b.shelves[in.Incarnation] = s
		b.adopted = append(b.adopted, in.Incarnation)
	}
	if in.Watermark.After(s.watermark) {
		s.watermark = in.Watermark
	}
	for _, r := range in.Records {
		if s.records[r.Sequence] != nil {
			continue
		}
		known := &record{
			name: Name{in.Incarnation, r.Sequence}, account: r.Account, expires: r.Expires,
			state: recordStateEnded, outcome: r.Outcome,
		}
		s.records[r.Sequence] = known
		b.memory.bytes += known.size()
		b.memory.keep(known, true)
	}
	b.enforce()
	return true
}

// Adopted returns the incarnations whose tickets were handed over to this book.
func (b *Book) Adopted() []fleet.Incarnation { return slices.Clone(b.adopted) }

func (b *Book) giveUpOldest() {
	if len(b.adopted) < maxAdopted {
		return
	}
	oldest := b.adopted[0]
	b.adopted = slices.Delete(b.adopted, 0, 1)
	delete(b.shelves, oldest)
	b.memory.ended = slices.DeleteFunc(b.memory.ended, func(r *record) bool {
		if r.name.Incarnation != oldest {
			return false
		}
		b.memory.bytes -= r.size()
		r.forgotten = true
		return true
	})
}
