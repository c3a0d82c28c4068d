package platform

import (
	"context"
	"errors"

	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// RateLimitedClient gives the duties access to the table through two rate limiters, one for writes and one
// for reads. It is safe for concurrent use.
type RateLimitedClient struct {
	// The fields are set before use. Writes and Reads are the inboxes of the rate limiters.
	Client *Client
	Writes *ring.Ring[*Call]
	Reads  *ring.Ring[*Call]
}

type result[T any] struct {
	value T
	err   error
}

// Commit applies a transaction as Client.Commit does. It returns *ring.FullError when too many
// transactions wait; nothing was changed then.
func (l *RateLimitedClient) Commit(ctx context.Context, t Transaction) (fleet.TableRevision, error) {
	a := &attempt{transaction: t}
	cost := len(t.Puts)
	if t.Audit != nil {
		cost++
	}
	return execute(ctx, l.Writes, cost, isUrgent(t), func(ctx context.Context) (fleet.TableRevision, bool, error) {
		return a.step(ctx, l.Client)
	})
}

// Read returns one row per key, in order. It returns *UnavailableError, *RateExceededError or *ring.FullError.
func (l *RateLimitedClient) Read(ctx context.Context, keys ...fleet.TableKey) ([]Row, error) {
	urgent := len(keys) > 0 && wire.HasPrefix(keys[0], wire.PrefixEntry)
	return execute(ctx, l.Reads, 1, urgent, func(ctx context.Context) ([]Row, bool, error) {
		rows, err := l.Client.Read(ctx, keys...)
		return rows, true, err
	})
}

// Changes returns rows that changed after a revision as Client.Changes does.
func (l *RateLimitedClient) Changes(ctx context.Context, after fleet.TableRevision, limit int, prefixes ...fleet.TableKey) (Changes, error) {
	return execute(ctx, l.Reads, 1, false, func(ctx context.Context) (Changes, bool, error) {
		changes, err := l.Client.Changes(ctx, after, limit, prefixes...)
		return changes, true, err
	})
}

// isUrgent reports whether a transaction is a heartbeat or takes a lease. If these waited behind other
// writes, a healthy entry could lose its leases.
func isUrgent(t Transaction) bool {
	return t.Audit == nil || t.Audit.Action == fleet.AuditActionLeaseTake
}

// execute queues a call for a rate limiter and waits for its result.
func execute[T any](ctx context.Context, calls *ring.Ring[*Call], cost int, urgent bool, step func(context.Context) (T, bool, error)) (T, error) {
	reply := ring.New[result[T]]("table-reply", 1)
	err := calls.Push(&Call{ctx: ctx, cost: cost, urgent: urgent, step: func(ctx context.Context) (bool, error) {
		value, done, err := step(ctx)
		if done {
			// The reply ring has room for the one result.
			_ = reply.Push(result[T]{value: value, err: err})
		}
		var exceeded *RateExceededError
		if errors.As(err, &exceeded) {
			return done, err
		}
		return done, nil
	}})
	var zero T
	if err != nil {
		return zero, trace.Wrap(err)
	}
	r, err := reply.Pop(ctx)
	if err != nil {
		return zero, trace.Wrap(err)
	}
	return r.value, r.err
}
