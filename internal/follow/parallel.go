package follow

import (
	"context"
	"sync"

	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/rowstore"
)

// parallelScan reads parts of one table, several at a time: a slow store takes a quarter of a second for each page,
// whatever is in it.
type parallelScan struct {
	scans []*Scan
	// added is the number of parts that were handed to the scans.
	added int
}

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

// next reads a page with each scan that has parts left, and returns the error of one that failed.
func (p *parallelScan) next(ctx context.Context) error {
	var pages sync.WaitGroup
	failed := make([]error, len(p.scans))
	for n, s := range p.scans {
		if len(s.Parts) > 0 {
			pages.Go(func() { failed[n] = s.next(ctx) })
		}
	}
	pages.Wait()
	for _, err := range failed {
		if err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}
