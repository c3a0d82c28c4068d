package operation

import (
	"context"
	"fmt"
	"strconv"

	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/configuration"
	"github.com/mimosawharf/mimosawharf/internal/platform"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// ApplyConfig changes the configuration.
type ApplyConfig struct {
	Identity Identity
	Changes  []configuration.Change
	// Base is the revision that the changes were made against; 0 accepts any.
	Base   fleet.ConfigRevision
	DryRun bool
	Reply  *ring.Ring[Result[Applied]]
}

// Applied is the result of a change of the configuration.
type Applied struct {
	Revision fleet.ConfigRevision
}

// RevisionError reports changes that were made against another revision. Nothing was changed.
type RevisionError struct {
	Base, Current fleet.ConfigRevision
}

// Error implements error.
func (e *RevisionError) Error() string {
	return fmt.Sprintf("changes were made against revision %d, current is %d: run config diff and apply again", e.Base, e.Current)
}

func (o ApplyConfig) execute(ctx context.Context, x *Executor) {
	value, err := retryConflicts(func() (Applied, error) { return o.attempt(ctx, x) })
	// The reply ring has room for the one result.
	_ = o.Reply.Push(Result[Applied]{Value: value, Err: err})
	x.PollNow()
}

func (o ApplyConfig) attempt(ctx context.Context, x *Executor) (Applied, error) {
	if done, revision, err := o.tookEffect(ctx, x); done || err != nil {
		return Applied{Revision: revision}, trace.Wrap(err)
	}
	current, headVersion, err := x.readConfiguration(ctx)
	if err != nil {
		return Applied{}, trace.Wrap(err)
	}
	if o.Base != 0 && o.Base != current.Revision {
		return Applied{}, trace.Wrap(&RevisionError{Base: o.Base, Current: current.Revision})
	}
	// A restored table may hold an older revision than the entries have in force.
	revision := current.Revision + 1
	if view := x.View.Get(); view != nil {
		revision = max(revision, view.Configuration.Revision+1)
	}
	next := configuration.Apply(current, o.Changes, revision)
	if err := configuration.Check(next); err != nil {
		return Applied{}, trace.Wrap(err)
	}
	if o.DryRun {
		return Applied{Revision: revision}, nil
	}
	_, err = x.Table.Commit(ctx, o.transaction(x, revision, headVersion))
	return Applied{Revision: revision}, trace.Wrap(err)
}

// tookEffect returns the revision that an earlier call with the same operation id committed.
func (o ApplyConfig) tookEffect(ctx context.Context, x *Executor) (bool, fleet.ConfigRevision, error) {
	if o.DryRun || len(o.Changes) == 0 {
		return false, 0, nil
	}
	audit, err := x.tookEffect(ctx, o.Identity, fleet.AuditActionConfigApply, o.Changes[0].Subject())
	if audit == nil || err != nil {
		return false, 0, trace.Wrap(err)
	}
	revision, err := strconv.ParseUint(audit.To, 10, 64)
	return true, fleet.ConfigRevision(revision), trace.Wrap(err)
}

func (o ApplyConfig) transaction(x *Executor, revision fleet.ConfigRevision, headVersion fleet.RowVersion) platform.Transaction {
	t := platform.Transaction{
		Audit:         x.audit(o.Identity, fleet.AuditActionConfigApply),
		Preconditions: []platform.Precondition{{Key: wire.KeyHead, Version: headVersion}},
		Puts:          []platform.Put{{Key: wire.KeyHead, Value: wire.EncodeHead(wire.Head{Revision: revision, OperationID: o.Identity.ID})}},
	}
	t.Audit.From, t.Audit.To = fmt.Sprint(revision-1), fmt.Sprint(revision)
	for _, c := range o.Changes {
		t.Audit.Subjects = append(t.Audit.Subjects, c.Subject())
		t.Puts = append(t.Puts, putOf(c, revision))
	}
	return t
}

func putOf(c configuration.Change, revision fleet.ConfigRevision) platform.Put {
	item := wire.Item{Revision: revision, Pool: c.PutPool, Service: c.PutService, Account: c.PutAccount}
	key := fleet.TableKey("")
	switch {
	case c.PutPool != nil:
		key = wire.KeyPool(c.PutPool.ID)
	case c.PutService != nil:
		key = wire.KeyService(c.PutService.ID)
	case c.PutAccount != nil:
		key = wire.KeyAccount(c.PutAccount.ID)
	case c.DeletePool != "":
		key = wire.KeyPool(c.DeletePool)
	case c.DeleteService != "":
		key = wire.KeyService(c.DeleteService)
	default:
		key = wire.KeyAccount(c.DeleteAccount)
	}
	return platform.Put{Key: key, Value: wire.EncodeItem(item)}
}

// readConfiguration reads the whole configuration and the version of its head row.
func (x *Executor) readConfiguration(ctx context.Context) (fleet.Configuration, fleet.RowVersion, error) {
	var c configuration.Copy
	var headVersion fleet.RowVersion
	after := fleet.TableRevision(0)
	for {
		changes, err := x.Table.Changes(ctx, after, 0, wire.PrefixConfig)
		if err != nil {
			return fleet.Configuration{}, 0, trace.Wrap(err)
		}
		for _, row := range changes.Rows {
			if row.Key != wire.KeyHead {
				item, err := wire.DecodeItem(row.Value)
				if err != nil {
					return fleet.Configuration{}, 0, trace.Wrap(err)
				}
				c.Absorb(row.Key, configuration.Item{Pool: item.Pool, Service: item.Service, Account: item.Account, Revision: item.Revision})
				continue
			}
			head, err := wire.DecodeHead(row.Value)
			if err != nil {
				return fleet.Configuration{}, 0, trace.Wrap(err)
			}
			headVersion = row.Version
			c.Advance(x.Clock.Now(), head.Revision)
		}
		after = changes.Revision
		if !changes.More {
			return c.Build(), headVersion, nil
		}
	}
}
