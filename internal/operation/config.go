package operation

import (
	"context"
	"fmt"
	"maps"
	"slices"
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
	// Replace is the whole new configuration. If it is set, Changes is empty.
	Replace *fleet.Configuration
	// Base is the revision that the changes were made against; 0 accepts any.
	Base   fleet.ConfigRevision
	DryRun bool
	Reply  *ring.Ring[Result[ApplyResult]]
}

// ApplyResult is the result of a change of the configuration. A repeated call of an operation that has
// taken effect gets neither differences nor warnings, because they are not stored.
type ApplyResult struct {
	Revision    fleet.ConfigRevision
	Differences []configuration.Difference
	Warnings    []string
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
	value, err := retryConflicts(func() (ApplyResult, error) { return o.attempt(ctx, x) })
	// The reply ring has room for the one result.
	_ = o.Reply.Push(Result[ApplyResult]{Value: value, Err: err})
	x.PollNow()
}

func (o ApplyConfig) attempt(ctx context.Context, x *Executor) (ApplyResult, error) {
	if before, ok, err := o.appliedBefore(ctx, x); err != nil || ok {
		return before, trace.Wrap(err)
	}
	p, err := o.plan(ctx, x)
	if err != nil || o.DryRun {
		return p.result, trace.Wrap(err)
	}
	if _, err := x.Table.Commit(ctx, o.transaction(x, p)); err != nil {
		return ApplyResult{}, trace.Wrap(err)
	}
	// The same operation may have been committed by another entry, under another revision.
	committed, found, err := o.appliedBefore(ctx, x)
	if found {
		p.result.Revision = committed.Revision
	}
	return p.result, trace.Wrap(err)
}

// appliedBefore returns the revision that an earlier call with the same operation id committed.
func (o ApplyConfig) appliedBefore(ctx context.Context, x *Executor) (ApplyResult, bool, error) {
	if o.DryRun {
		return ApplyResult{}, false, nil
	}
	audit, err := x.previousAudit(ctx, o.Identity, fleet.AuditActionConfigApply, "")
	if audit == nil || err != nil {
		return ApplyResult{}, false, trace.Wrap(err)
	}
	revision, err := strconv.ParseUint(audit.To, 10, 64)
	return ApplyResult{Revision: fleet.ConfigRevision(revision)}, true, trace.Wrap(err)
}

// configPlan is the result of a change of the configuration and the rows that it writes.
type configPlan struct {
	result      ApplyResult
	subjects    []fleet.AuditSubject
	written     map[fleet.TableKey]configuration.Item
	head        configuration.Head
	headVersion fleet.RowVersion
	// ledgers are those of the pools that are deleted.
	ledgers []platform.Row
	current fleet.ConfigRevision
}

func (o ApplyConfig) plan(ctx context.Context, x *Executor) (configPlan, error) {
	stored, headVersion, err := x.readConfiguration(ctx)
	if err != nil {
		return configPlan{}, trace.Wrap(err)
	}
	inTable, _ := stored.Latest()
	current, revision, err := x.newest(inTable)
	if err != nil {
		return configPlan{}, trace.Wrap(err)
	}
	if o.Base != 0 && o.Base != current.Revision {
		return configPlan{}, trace.Wrap(&RevisionError{Base: o.Base, Current: current.Revision})
	}
	changes := o.Changes
	if o.Replace != nil {
		changes = configuration.Replace(current, *o.Replace)
	}
	ledgers, err := x.readLedgers(ctx, changes)
	if err != nil {
		return configPlan{}, trace.Wrap(err)
	}
	capacities, err := x.capacities(ctx, ledgers)
	if err != nil {
		return configPlan{}, trace.Wrap(err)
	}
	if err := configuration.CheckChanges(current, changes, capacities); err != nil {
		return configPlan{}, trace.Wrap(err)
	}
	next := configuration.Apply(current, changes, revision)
	if err := configuration.Check(next); err != nil {
		return configPlan{}, trace.Wrap(err)
	}
	p := configPlan{
		headVersion: headVersion,
		ledgers:     ledgers,
		current:     current.Revision,
		result: ApplyResult{
			Revision: revision, Differences: configuration.Diff(current, next), Warnings: configuration.Warnings(current, next, capacities),
		},
		written: map[fleet.TableKey]configuration.Item{},
	}
	for _, c := range append(restoreChanges(inTable, current), changes...) {
		p.subjects = append(p.subjects, c.Subject())
		key, item := itemOf(c, next)
		item.Revision, item.OperationID = revision, o.Identity.ID
		p.written[key] = item
	}
	p.head = configuration.Head{Revision: revision, OperationID: o.Identity.ID, Digest: stored.DigestWith(p.written)}
	return p, nil
}

// newest returns the configuration that a change is based on and the revision that it writes. A table
// that was restored from a backup holds an older revision than the entries have in force; the base is
// then the entry's own copy. It returns *LaggingError if another live entry has a newer revision: a
// change of the older one would lose the changes accepted since.
func (x *Executor) newest(inTable fleet.Configuration) (fleet.Configuration, fleet.ConfigRevision, error) {
	view := x.View.Get()
	if view == nil {
		return inTable, inTable.Revision + 1, nil
	}
	current := inTable
	if view.Configuration.Revision > inTable.Revision {
		current = view.Configuration
	}
	highest := current.Revision
	for _, e := range view.Entries {
		isAlive := x.Clock.Now().Sub(e.RenewedAt) <= e.Duration+maxClockSkew
		if isAlive && e.ConfigRevision > current.Revision {
			return current, 0, trace.Wrap(&LaggingError{Entry: e.ID, Newer: e.ConfigRevision, Known: current.Revision})
		}
		highest = max(highest, e.ConfigRevision)
	}
	return current, highest + 1, nil
}

// LaggingError reports that another entry has a newer configuration than this entry and the table, as
// can happen after a restore of the table. Nothing was changed.
type LaggingError struct {
	Entry        fleet.EntryID
	Newer, Known fleet.ConfigRevision
}

// Error implements error.
func (e *LaggingError) Error() string {
	return fmt.Sprintf("entry %s has revision %d in force, but this entry and the table know only revision %d: run the command again through entry %s",
		e.Entry, e.Newer, e.Known, e.Entry)
}

// restoreChanges returns the changes that bring a restored table up to the current configuration.
func restoreChanges(inTable, current fleet.Configuration) []configuration.Change {
	if current.Revision <= inTable.Revision {
		return nil
	}
	return configuration.Restore(inTable, current)
}

func (o ApplyConfig) transaction(x *Executor, p configPlan) platform.Transaction {
	t := platform.Transaction{
		Audit:         x.audit(o.Identity, fleet.AuditActionConfigApply, p.subjects...),
		Preconditions: []platform.Precondition{{Key: wire.KeyHead, Version: p.headVersion}},
		Puts:          []platform.Put{{Key: wire.KeyHead, Value: wire.EncodeHead(p.head)}},
	}
	t.Audit.From, t.Audit.To = fmt.Sprint(p.current), fmt.Sprint(p.head.Revision)
	for _, row := range p.ledgers {
		t.Preconditions = append(t.Preconditions, platform.Precondition{Key: row.Key, Version: row.Version})
		// The row version must change even if there is no ledger, so that a concurrent adoption fails.
		empty := fleet.Ledger{Pool: fleet.PoolID(wire.IDOf(row.Key, wire.PrefixLedger)), OperationID: t.Audit.OperationID}
		t.Puts = append(t.Puts, platform.Put{Key: row.Key, Value: wire.EncodeLedger(empty)})
	}
	for _, key := range slices.Sorted(maps.Keys(p.written)) {
		t.Puts = append(t.Puts, platform.Put{Key: key, Value: wire.EncodeItem(p.written[key])})
	}
	return t
}

// itemOf returns the key and the item that a change writes: a tombstone if the change deletes the item.
func itemOf(c configuration.Change, next fleet.Configuration) (fleet.TableKey, configuration.Item) {
	switch {
	case c.Pool() != "":
		return wire.KeyPool(c.Pool()), configuration.Item{Pool: lookup(next.Pools, c.Pool())}
	case c.Service() != "":
		return wire.KeyService(c.Service()), configuration.Item{Service: lookup(next.Services, c.Service())}
	default:
		return wire.KeyAccount(c.Account()), configuration.Item{Account: lookup(next.Accounts, c.Account())}
	}
}

func lookup[K comparable, V any](items map[K]V, id K) *V {
	if v, ok := items[id]; ok {
		return &v
	}
	return nil
}

// readConfiguration reads the whole configuration and the version of its head row.
func (x *Executor) readConfiguration(ctx context.Context) (*configuration.Copy, fleet.RowVersion, error) {
	c := &configuration.Copy{}
	var headVersion fleet.RowVersion
	_, err := x.eachRow(ctx, wire.PrefixConfig, func(row platform.Row) error {
		if row.Key != wire.KeyHead {
			item, err := wire.DecodeItem(row.Value)
			if err == nil {
				c.ApplyItem(x.Clock.Now(), row.Key, item)
			}
			return trace.Wrap(err)
		}
		head, err := wire.DecodeHead(row.Value)
		if err == nil {
			headVersion = row.Version
			c.ApplyHead(x.Clock.Now(), head)
		}
		return trace.Wrap(err)
	})
	return c, headVersion, trace.Wrap(err)
}
