package door

import (
	"sync/atomic"
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

const (
	// MaxStall is how long a body or a connection may stand still while others need its room. Losses and cuts of a
	// caller's link last for less.
	MaxStall = 2 * time.Second
	// smallShare is the largest share that may use the reserve. Ordinary requests are below it.
	smallShare fleet.Bytes = 16 << 10
	// minShare is the least that a request holds.
	minShare fleet.Bytes = 4 << 10
)

// Budget bounds the bytes that requests make a process hold. It is safe for concurrent use.
type Budget struct {
	limit  fleet.Bytes
	held   atomic.Int64
	next   atomic.Uint32
	shares []atomic.Pointer[Share]
}

// NewBudget returns a budget of a number of bytes for a number of requests at the same time.
func NewBudget(limit fleet.Bytes, requests int) *Budget {
	return &Budget{limit: limit, shares: make([]atomic.Pointer[Share], requests)}
}

// Limit returns the bytes that all shares may hold.
func (b *Budget) Limit() fleet.Bytes { return b.limit }

// shareState says whether a share may be shed.
type shareState string

const (
	shareReading  shareState = "reading"
	shareComplete shareState = "complete"
	shareShed     shareState = "shed"
)

// Share is what one request holds of a budget. Its methods are called by the request's goroutine only.
type Share struct {
	budget *Budget
	index  int
	began  time.Time
	held   atomic.Int64
	// moved is the time from began to the last byte.
	moved atomic.Int64
	state atomic.Pointer[shareState]
	// interrupt ends the read of the body. It is called at most once, by the goroutine that needs the room.
	interrupt func()
}

// Held returns the bytes that all shares hold.
func (b *Budget) Held() fleet.Bytes { return fleet.Bytes(b.held.Load()) }

// Take returns a share of the budget, or *Refusal. Stalled bodies make way for it; interrupt ends the read of this one
// when it has to make way itself.
func (b *Budget) Take(now time.Time, size fleet.Bytes, interrupt func()) (*Share, error) {
	size = max(size, minShare)
	s := &Share{budget: b, began: now, interrupt: interrupt}
	reading := shareReading
	s.state.Store(&reading)
	if !b.reserve(now, s, size) || !b.enter(s) {
		b.give(s)
		return nil, &Refusal{Reason: ReasonBudgetShort, Size: size, Limit: b.limit}
	}
	return s, nil
}

// enter puts a share into the table. It returns false if the table is full.
func (b *Budget) enter(s *Share) bool {
	start := int(b.next.Add(1))
	for i := range b.shares {
		s.index = (start + i) % len(b.shares)
		if b.shares[s.index].CompareAndSwap(nil, s) {
			return true
		}
	}
	return false
}

// reserve adds bytes to a share. While there is no room, it sheds the stalled body that holds the most.
func (b *Budget) reserve(now time.Time, s *Share, size fleet.Bytes) bool {
	for !b.add(size, fleet.Bytes(s.held.Load())+size) {
		victim := b.victim(now, s)
		if victim == nil {
			return false
		}
		victim.shed()
	}
	s.held.Add(int64(size))
	if *s.state.Load() == shareShed {
		b.give(s) // The share was shed after it had been checked.
		return false
	}
	return true
}

// add takes bytes for a share that holds total with them. A quarter of the budget is left for small shares, unless
// nothing else is held.
func (b *Budget) add(size, total fleet.Bytes) bool {
	limit := int64(b.limit)
	if total > smallShare {
		limit -= limit / 4
	}
	for {
		held := b.held.Load()
		if held+int64(size) > limit && (held+int64(size) != int64(total) || total > b.limit) {
			return false
		}
		if b.held.CompareAndSwap(held, held+int64(size)) {
			return true
		}
	}
}

// victim returns the stalled body that holds the most, and of equal ones the one that has stalled the longest.
func (b *Budget) victim(now time.Time, asking *Share) *Share {
	var worst *Share
	var worstHeld int64
	var worstStall time.Duration
	for i := range b.shares {
		s := b.shares[i].Load()
		if s == nil || s == asking || *s.state.Load() != shareReading {
			continue
		}
		held, stall := s.held.Load(), now.Sub(s.began)-time.Duration(s.moved.Load())
		if stall >= MaxStall && held > 0 && (held > worstHeld || held == worstHeld && stall > worstStall) {
			worst, worstHeld, worstStall = s, held, stall
		}
	}
	return worst
}

// give returns what a share holds.
func (b *Budget) give(s *Share) { b.held.Add(-s.held.Swap(0)) }

// shed makes a share that is still reading return what it holds.
func (s *Share) shed() {
	if s.change(shareReading, shareShed) {
		s.budget.give(s)
		s.interrupt()
	}
}

func (s *Share) change(from, to shareState) bool {
	old := s.state.Load()
	return *old == from && s.state.CompareAndSwap(old, &to)
}

// Moved records that bytes of the body have arrived.
func (s *Share) Moved(now time.Time) { s.moved.Store(int64(now.Sub(s.began))) }

// IsShed reports whether the share had to make way. The request has to be refused then.
func (s *Share) IsShed() bool { return *s.state.Load() == shareShed }

// Grow adds bytes to the share. It returns *Refusal.
func (s *Share) Grow(now time.Time, size fleet.Bytes) error {
	if s.IsShed() {
		return &Refusal{Reason: ReasonBodyShed}
	}
	if !s.budget.reserve(now, s, size) {
		return &Refusal{Reason: ReasonBudgetShort, Size: fleet.Bytes(s.held.Load()) + size, Limit: s.budget.limit}
	}
	return nil
}

// Complete records that the body has been read, after which the share is not shed. It returns *Refusal if the share
// has been shed before.
func (s *Share) Complete() error {
	if !s.change(shareReading, shareComplete) {
		return &Refusal{Reason: ReasonBodyShed}
	}
	return nil
}

// Release returns the share to the budget.
func (s *Share) Release() {
	s.budget.shares[s.index].CompareAndSwap(s, nil)
	s.change(shareReading, shareComplete)
	s.budget.give(s)
}
