package holder

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Writer is the duty that writes the rows of one duty.
type Writer struct {
	// The fields are set before Run.
	Chain *Chain
	Inbox *ring.Ring[Write]
	// Done receives the outcomes. It must not block.
	Done func(Written)
}

// Name implements duty.Duty.
func (w *Writer) Name() fleet.DutyName { return "writer-" + w.Chain.Duty }

// Run implements duty.Duty.
func (w *Writer) Run(ctx context.Context) error {
	for {
		write, err := w.Inbox.Pop(ctx)
		if err != nil {
			return trace.Wrap(err)
		}
		sent, err := w.Chain.WriteAt(ctx, write)
		if ctx.Err() != nil {
			return trace.Wrap(ctx.Err())
		}
		w.Done(Written{Duty: w.Chain.Duty, Epoch: w.Chain.Epoch, SentAt: sent, Err: err})
	}
}
