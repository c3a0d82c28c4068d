package holder

import (
	"context"
	"strconv"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// removal returns the call that removes the rows of jobs from the store. It is not retried: their holder requests it again
// while the rows exist.
func removal(s *Submission) StoreCall {
	part := IntakePart(s.Remove)
	table := JobTable(s.Service)
	t := rowstore.Transaction{Removes: []rowstore.Row{
		{Table: AcceptedTable, Part: part, Key: jobKey(s.Remove)}, {Table: table, Part: part, Key: jobKey(s.Remove)},
	}}
	switch {
	case s.Withdrawn:
		t.Removes[1].Key = cancelKey(s.Remove)
	case s.Cancelled:
		t.Removes = append(t.Removes, rowstore.Row{Table: table, Part: part, Key: cancelKey(s.Remove)})
	}
	for _, r := range s.Further {
		t.Removes = append(t.Removes,
			rowstore.Row{Table: AcceptedTable, Part: part, Key: jobKey(r.Job)}, rowstore.Row{Table: table, Part: part, Key: jobKey(r.Job)})
		if r.Cancelled {
			t.Removes = append(t.Removes, rowstore.Row{Table: table, Part: part, Key: cancelKey(r.Job)})
		}
	}
	return StoreCall{transaction: t, timeout: transactTimeout, removed: s.Remove, withdrawn: s.Withdrawn}
}

// IntakeWriter is the duty that makes the calls of one intake to the store, so that the intake can answer
// callers while the store is unresponsive.
type IntakeWriter struct {
	// The fields are set before Run.
	Number int
	Inbox  *ring.Ring[StoreCall]
	Intake *ring.Ring[IntakeEvent]
	Store  Store
	Log    *zap.Logger
}

// Name implements duty.Duty.
func (w *IntakeWriter) Name() fleet.DutyName {
	return fleet.DutyName("intake-writer-" + strconv.Itoa(w.Number))
}

// Run implements duty.Duty.
func (w *IntakeWriter) Run(ctx context.Context) error {
	for {
		call, err := w.Inbox.Pop(ctx)
		if err != nil {
			return trace.Wrap(err)
		}
		err = w.send(ctx, call)
		if ctx.Err() != nil {
			return trace.Wrap(ctx.Err())
		}
		if call.removed != "" {
			if err != nil {
				w.Log.Warn("intake: rows of an old job cannot be removed", zap.String("job", string(call.removed)), zap.Error(trace.Unwrap(err)))
			}
			continue
		}
		if err := w.Intake.PushReserved(IntakeEvent{err: err}); err != nil {
			return trace.Wrap(err) // There is one attempt at a time, so the reserve has room for its end.
		}
	}
}

func (w *IntakeWriter) send(ctx context.Context, call StoreCall) error {
	ctx, cancel := context.WithTimeout(ctx, call.timeout)
	defer cancel()
	if call.withdrawn {
		if err := w.checkWithdrawn(ctx, &call); err != nil {
			return trace.Wrap(err)
		}
	}
	_, err := w.Store.Transact(ctx, call.transaction)
	return trace.Wrap(err)
}

// NotWithdrawnError reports a job that was accepted, so that its rows stay.
type NotWithdrawnError struct{ Job fleet.JobID }

// Error implements error.
func (e *NotWithdrawnError) Error() string { return "job " + string(e.Job) + " was not withdrawn" }

// checkWithdrawn makes the removal of the rows of a withdrawn job conditional on what is stored of it now.
func (w *IntakeWriter) checkWithdrawn(ctx context.Context, call *StoreCall) error {
	row := call.transaction.Removes[0]
	page, err := w.Store.Scan(ctx, rowstore.Only(row.Table, row.Part, row.Key))
	if err != nil {
		return trace.Wrap(err)
	}
	condition := rowstore.Condition{Table: row.Table, Part: row.Part, Key: row.Key}
	if len(page.Rows) == 0 {
		call.transaction.Removes = call.transaction.Removes[1:]
	} else {
		accepted, err := decodeAccepted(page.Rows[0])
		if err != nil {
			return trace.Wrap(err)
		}
		if !accepted.Withdrawn {
			return trace.Wrap(&NotWithdrawnError{Job: call.removed})
		}
		condition.Version = page.Rows[0].Version
	}
	call.transaction.Conditions = []rowstore.Condition{condition}
	return nil
}
