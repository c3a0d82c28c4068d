package follow

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/rowstore"
)

// parallelScan reads parts of one table, several at a time: a slow store takes a quarter of a second for each page,
// whatever is in it.
type parallelScan struct {
	scans []*Scan
	// added is the number of parts that were handed to the scans.
	added int
	// slowest is the longest time in nanoseconds that a page took, 0 before one was read.
	slowest atomic.Int64
}

// Above maxPatience the store's own bound is about as short, and counts from the last progress.
const (
	minPatience = 400 * time.Millisecond
	maxPatience = time.Second
)

// add hands parts to the scans in turn.
func (p *parallelScan) add(parts []rowstore.Part) {
	for _, part := range parts {
		s := p.scans[p.added%len(p.scans)]
		s.Parts = append(s.Parts, part)
		p.added++
	}
}

// left returns the number of parts that are not read in full.
func (p *parallelScan) left() int {
	n := 0
	for _, s := range p.scans {
		n += len(s.Parts)
	}
	return n
}

// rows returns what was read so far.
func (p *parallelScan) rows() []rowstore.Row {
	var list []rowstore.Row
	for _, s := range p.scans {
		list = append(list, s.Rows()...)
	}
	return list
}

// version returns the earliest version of a page: changes after it may be missing from the rows. It is 0 before a page
// was read.
func (p *parallelScan) version() rowstore.Version {
	var first rowstore.Version
	for _, s := range p.scans {
		if v := s.Version(); v > 0 && (first == 0 || v < first) {
			first = v
		}
	}
	return first
}

// next reads pages with each scan until its parts are read, a page fails, or the changes are due to be read, and returns the error
// of a scan that failed. A part that does not answer delays only the parts of its own scan.
func (p *parallelScan) next(ctx context.Context) error {
	var readers sync.WaitGroup
	failed := make([]error, len(p.scans))
	for n, s := range p.scans {
		readers.Go(func() { failed[n] = p.read(ctx, s) })
	}
	readers.Wait()
	for _, err := range failed {
		if err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// read reads pages with one scan.
func (p *parallelScan) read(ctx context.Context, s *Scan) error {
	began := s.Clock.Now()
	for len(s.Parts) > 0 {
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
func (p *parallelScan) patience() time.Duration {
	d := max(minPatience, 8*time.Duration(p.slowest.Load()))
	if len(p.scans) == 1 || p.slowest.Load() == 0 || d > maxPatience {
		return 0
	}
	return d
}

// answered records how long a page took.
func (p *parallelScan) answered(took time.Duration) {
	for {
		slowest := p.slowest.Load()
		if int64(took) <= slowest || p.slowest.CompareAndSwap(slowest, int64(took)) {
			return
		}
	}
}
