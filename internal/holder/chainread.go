package holder

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/rowstore"
)

// Probe asks the store for the chain row of the duty. It returns *rowstore.RefusedError or *rowstore.UnknownError.
func (c *Chain) Probe(ctx context.Context) error {
	_, err := c.scan(ctx, rowstore.Only(tableChain, dutyPart(c.Duty), keyChain))
	return trace.Wrap(err)
}

// scan reads few rows of the duty. An entry takes one lease at a time, so a call that the store has swallowed must not
// keep it from the next claim for as long as an attempt to take a lease may last.
func (c *Chain) scan(ctx context.Context, r rowstore.Range) (rowstore.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout(0))
	defer cancel()
	page, err := c.Store.Scan(ctx, r)
	return page, trace.Wrap(err)
}
