// Package operation executes the operations that operators request. Each change is one conditional
// transaction.
package operation

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/machine"
	"github.com/mimosawharf/mimosawharf/internal/move"
	"github.com/mimosawharf/mimosawharf/internal/platform"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Table reads and changes rows of the platform's table.
type Table interface {
	Commit(ctx context.Context, t platform.Transaction) (fleet.TableRevision, error)
	Read(ctx context.Context, keys ...fleet.TableKey) ([]platform.Row, error)
	Changes(ctx context.Context, after fleet.TableRevision, limit int, prefixes ...fleet.TableKey) (platform.Changes, error)
}

// Lister reads the platform's list of VMs.
type Lister interface {
	ListVMs(ctx context.Context) (fleet.VMList, error)
}

// PollFunc makes the poller read the table at once.
type PollFunc func()

// Identity is the id of an operation, with its requester and reason.
type Identity struct {
	// ID makes the operation idempotent: an operation that has taken effect is not executed again.
	ID     fleet.OperationID
	Actor  fleet.OperatorName
	Reason string
}

// Operation is one request of an operator: a change, or a read of the audit trail.
type Operation interface {
	// execute runs the operation and pushes its result to the reply ring. Only the Executor calls it.
	execute(ctx context.Context, x *Executor)
}

// Executor is the duty that executes operations, one at a time.
type Executor struct {
	// The fields are set before Run.
	Entry      fleet.EntryID
	Inbox      *ring.Ring[Operation]
	Table      Table
	Platform   Lister
	View       *ring.Latest[*fleet.View]
	PollNow    PollFunc
	Clock      clock.Clock
	Log        *zap.Logger
	ListMaxAge time.Duration

	states *machine.Machine[fleet.VMState, move.Event]
}

// Name implements duty.Duty.
func (*Executor) Name() fleet.DutyName { return "operator" }

// Run implements duty.Duty.
func (x *Executor) Run(ctx context.Context) error {
	for {
		op, err := x.Inbox.Pop(ctx)
		if err != nil {
			return trace.Wrap(err)
		}
		x.Execute(ctx, op)
	}
}

// Execute runs one operation, which pushes its result to its reply ring. Only Run and tests call it.
func (x *Executor) Execute(ctx context.Context, op Operation) {
	if x.states == nil {
		x.states = move.NewMachine()
	}
	op.execute(ctx, x)
}

// Result is the answer to an operation.
type Result[T any] struct {
	Value T
	// Err is the reason why nothing was changed, or *platform.UnavailableError if the outcome is not known.
	Err error
}

// NotFoundError reports an operation on something that does not exist. Nothing was changed.
type NotFoundError struct {
	Subject fleet.AuditSubject
}

// Error implements error.
func (e *NotFoundError) Error() string { return string(e.Subject) + " does not exist" }

// InvalidStateError reports an operation that the state of its subject does not allow.
type InvalidStateError struct {
	Subject fleet.AuditSubject
	Problem string
}

// Error implements error.
func (e *InvalidStateError) Error() string { return fmt.Sprintf("%s: %s", e.Subject, e.Problem) }

// maxAttempts bounds the attempts of an operation whose rows other operations change at the same time.
const maxAttempts = 8

// retryConflicts repeats an attempt that conflicts, up to maxAttempts. Each attempt reads its rows again.
func retryConflicts[T any](attempt func() (T, error)) (T, error) {
	var value T
	var err error
	for range maxAttempts {
		value, err = attempt()
		var conflict *platform.ConflictError
		if !errors.As(err, &conflict) {
			return value, err
		}
	}
	return value, err
}

// previousAudit returns the audit row that an earlier call with the same operation id committed, or nil.
// An empty subject matches any. It returns *platform.OperationReusedError if the id belongs to another
// change.
func (x *Executor) previousAudit(ctx context.Context, id Identity, action fleet.AuditAction, subject fleet.AuditSubject) (*fleet.Audit, error) {
	rows, err := x.Table.Read(ctx, wire.KeyAudit(id.ID))
	if err != nil || !rows[0].Exists() {
		return nil, trace.Wrap(err)
	}
	found, err := wire.DecodeAudit(rows[0].Value)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if found.Action != action || found.Actor != string(id.Actor) || subject != "" && !slices.Contains(found.Subjects, subject) {
		return nil, trace.Wrap(&platform.OperationReusedError{Operation: id.ID, Action: found.Action})
	}
	return &found, nil
}

// audit returns the audit row of an operation.
func (x *Executor) audit(id Identity, action fleet.AuditAction, subjects ...fleet.AuditSubject) *fleet.Audit {
	return &fleet.Audit{
		OperationID: id.ID,
		At:          x.Clock.Now(),
		Actor:       string(id.Actor),
		Action:      action,
		Subjects:    subjects,
		Reason:      id.Reason,
		Outcome:     "done",
		Entry:       x.Entry,
	}
}
