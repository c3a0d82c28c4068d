package follow

import (
	"context"
	"strconv"

	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Starter starts a duty that runs until its context ends.
type Starter interface {
	Start(ctx context.Context, d duty.Duty)
}

// parallelScan reads parts of one table, several at a time: a slow store takes a quarter of a second for each page,
// whatever is in it.
type parallelScan struct {
	scans []*Scan
	// added is the number of parts that were handed to the scans.
	added int
	// pages holds the scans that a reader has to read pages of, read the results. A scan belongs to a
	// reader between the two rings. Both are nil where the follower reads the pages itself.
	pages *ring.Ring[*Scan]
	read  *ring.Ring[pageRead]
	// stop ends the readers.
	stop context.CancelFunc
	pace pace
}

// pageRead is the result of reading pages; Err is nil if none failed.
type pageRead struct{ Err error }

// startReaders starts a reader for each scan.
func (p *parallelScan) startReaders(ctx context.Context, follower fleet.DutyName, duties Starter) {
	ctx, p.stop = context.WithCancel(ctx)
	p.pages, p.read = ring.New[*Scan]("pages", len(p.scans)), ring.New[pageRead]("pages-read", len(p.scans))
	for n := range p.scans {
		duties.Start(ctx, &pageReader{name: fleet.DutyName("read-"+strconv.Itoa(n)+"-") + follower, pages: p.pages, read: p.read, pace: &p.pace})
	}
}

// close ends the readers, if any.
func (p *parallelScan) close() {
	if p.stop != nil {
		p.stop()
	}
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

// next reads pages of each scan, with readers until its parts are read, a page fails, or the changes are due to be read.
// A part that does not answer delays only the parts of its own scan. It returns the error of one that failed. The scans belong to
// the follower again once it returns, unless the context has ended.
func (p *parallelScan) next(ctx context.Context) error {
	if p.pages == nil {
		return trace.Wrap(p.scans[0].next(ctx))
	}
	outstanding := 0
	for _, s := range p.scans {
		if len(s.Parts) == 0 {
			continue
		}
		if err := p.pages.Push(s); err != nil {
			return trace.Wrap(err)
		}
		outstanding++
	}
	var failed error
	for ; outstanding > 0; outstanding-- {
		page, err := p.read.Pop(ctx)
		if err != nil {
			return trace.Wrap(err)
		}
		if page.Err != nil && failed == nil {
			failed = page.Err
		}
	}
	return trace.Wrap(failed)
}

// pageReader is a duty that reads pages for a follower.
type pageReader struct {
	name  fleet.DutyName
	pages *ring.Ring[*Scan]
	read  *ring.Ring[pageRead]
	pace  *pace
}

// Name implements duty.Duty.
func (r *pageReader) Name() fleet.DutyName { return r.name }

// Run implements duty.Duty.
func (r *pageReader) Run(ctx context.Context) error {
	for {
		s, err := r.pages.Pop(ctx)
		if err != nil {
			return trace.Wrap(err)
		}
		_ = r.read.Push(pageRead{r.pace.readOn(ctx, s)}) // The ring has room for a page of each scan.
	}
}
