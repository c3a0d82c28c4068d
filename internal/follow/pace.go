package follow

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

// pace is what the readers of one table know of how fast the store answers.
type pace struct {
	// slowest is the longest time in nanoseconds that a page took, 0 before one was read.
	slowest atomic.Int64
}

// Above maxPatience the store's own bound is about as short, and counts from the last progress.
const (
	minPatience = 400 * time.Millisecond
	maxPatience = time.Second
)

// readOn reads pages with one scan.
func (p *pace) readOn(ctx context.Context, s *Scan) error {
	began := s.Clock.Now()
	for len(s.Parts) > 0 {
		if s.Reducer != nil {
			awaitReducer(ctx, s, began)
		}
		sent := s.Clock.Now()
		if sent.Sub(began) >= followDuringLoad {
			return nil // The changes are due to be read.
		}
		swallowed, err := nextWithin(ctx, s, p.patience())
		switch {
		case err == nil:
			p.answered(s.Clock.Now().Sub(sent))
		case !swallowed:
			return trace.Wrap(err)
		}
	}
	return nil
}

// awaitReducer waits until another page may be read, or the changes are due to be read.
func awaitReducer(ctx context.Context, s *Scan, began time.Time) {
	ctx, cancel := context.WithTimeout(ctx, max(0, began.Add(followDuringLoad).Sub(s.Clock.Now())))
	defer cancel()
	s.Reducer.Await(ctx)
}

// nextWithin reads a page and reports whether it got no answer within the patience. Without a patience the store's own
// bound holds.
func nextWithin(ctx context.Context, s *Scan, patience time.Duration) (swallowed bool, err error) {
	if patience == 0 {
		return false, trace.Wrap(s.next(ctx))
	}
	bounded, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	err = s.next(bounded)
	return err != nil && bounded.Err() != nil && ctx.Err() == nil, trace.Wrap(err)
}

// patience returns how long a page may take, or 0 for as long as the store lets it take. The store may swallow the calls
// for some parts while it answers those for others, so the time that answers take tells how long to wait. A slow store
// is not asked again.
func (p *pace) patience() time.Duration {
	d := max(minPatience, 8*time.Duration(p.slowest.Load()))
	if p.slowest.Load() == 0 || d > maxPatience {
		return 0
	}
	return d
}

// answered records how long a page took.
func (p *pace) answered(took time.Duration) {
	for {
		slowest := p.slowest.Load()
		if int64(took) <= slowest || p.slowest.CompareAndSwap(slowest, int64(took)) {
			return
		}
	}
}
