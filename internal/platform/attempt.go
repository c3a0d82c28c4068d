package platform

import (
	"context"
	"errors"
	"slices"

	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// maxSends bounds the sends of one transaction; failed reads of its audit row count as sends. It limits
// work, not safety: a transaction is sent again only after the platform refused it for its rate, or after a
// read showed no effect of the earlier sends.
const maxSends = 4

// attempt executes one transaction, with one call of the platform per step.
type attempt struct {
	transaction Transaction
	// cause is the failure of the last send.
	cause error
	sends int
	// mustResolve is set when an earlier send may have taken effect.
	mustResolve bool
}

// step makes one call. It returns false when another step is needed. A transaction whose effect is not
// known is sent again only after a read of its audit row; one without an audit row is never sent again.
func (a *attempt) step(ctx context.Context, c *Client) (fleet.TableRevision, bool, error) {
	if a.mustResolve {
		return a.resolve(ctx, c)
	}
	a.sends++
	revision, err := c.commitOnce(ctx, a.transaction)
	if err == nil || a.transaction.Audit == nil {
		return revision, true, err
	}
	a.cause = err
	var conflict *ConflictError
	var unavailable *UnavailableError
	switch {
	case errors.As(err, &conflict) && slices.Contains(conflict.Keys, wire.KeyAudit(a.transaction.Audit.OperationID)):
		a.mustResolve = true
	case errors.As(err, &unavailable):
		a.mustResolve = true
	case errors.As(err, &conflict):
		return 0, true, err
	}
	return 0, !a.mustResolve && a.sends >= maxSends, err
}

// resolve reads the audit row of a transaction that may have taken effect.
func (a *attempt) resolve(ctx context.Context, c *Client) (fleet.TableRevision, bool, error) {
	audit := a.transaction.Audit
	rows, err := c.Read(ctx, wire.KeyAudit(audit.OperationID))
	if err != nil {
		a.sends++
		return 0, a.sends >= maxSends, a.unknownEffect()
	}
	if !rows[0].Exists() {
		a.mustResolve = false
		return 0, a.sends >= maxSends, a.unknownEffect()
	}
	found, err := wire.DecodeAudit(rows[0].Value)
	if err != nil {
		return 0, true, trace.Wrap(err)
	}
	if !isSameChange(found, *audit) {
		return 0, true, trace.Wrap(&OperationReusedError{Operation: audit.OperationID, Action: found.Action})
	}
	return fleet.TableRevision(rows[0].Version), true, nil
}

// unknownEffect returns the error for a transaction whose effect is not known when maxSends is reached.
func (a *attempt) unknownEffect() error {
	var unavailable *UnavailableError
	if errors.As(a.cause, &unavailable) {
		return a.cause
	}
	return trace.Wrap(&UnavailableError{Call: "commit", Cause: a.cause})
}

// isSameChange reports whether an audit row was written by the same change.
func isSameChange(a, b fleet.Audit) bool {
	return a.Actor == b.Actor && a.Action == b.Action && slices.Equal(a.Subjects, b.Subjects)
}

// OperationReusedError reports an operation id that another change has used. Nothing was changed.
type OperationReusedError struct {
	Operation fleet.OperationID
	// Action is the action that used the operation id.
	Action fleet.AuditAction
}

// Error implements error.
func (e *OperationReusedError) Error() string {
	return "operation id " + string(e.Operation) + " was used for " + string(e.Action) + " already; choose a new one"
}
