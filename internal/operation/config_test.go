package operation_test

import (
	"errors"
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/configuration"
	"github.com/mimosawharf/mimosawharf/internal/operation"
	"github.com/mimosawharf/mimosawharf/internal/platform"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

func (e *executor) apply(o operation.ApplyConfig) (operation.Applied, error) {
	o.Reply = ring.New[operation.Result[operation.Applied]]("test", 1)
	return do(e, o, o.Reply)
}

func put(id fleet.PoolID, least fleet.VMCount) []configuration.Change {
	return []configuration.Change{{PutPool: &fleet.Pool{ID: id, Budget: fleet.Budget{MinAvailableVMs: least}}}}
}

func identity(id fleet.OperationID) operation.Identity {
	return operation.Identity{ID: id, Actor: "ada"}
}

// Guards against an operation that takes effect twice when its answer was lost or it is sent again.
func TestApplyTakesEffectOnce(t *testing.T) {
	is := is.New(t)
	e := newExecutor(t)
	e.table.loseAnswers = 1
	_, err := e.apply(operation.ApplyConfig{Identity: identity("one"), Changes: put("rota", 1)})
	var unavailable *platform.UnavailableError
	is.True(errors.As(err, &unavailable)) // the effect is not known
	_, err = e.apply(operation.ApplyConfig{Identity: identity("two"), Changes: put("rota", 2)})
	is.NoErr(err)
	again, err := e.apply(operation.ApplyConfig{Identity: identity("one"), Changes: put("rota", 1), Base: 99})
	is.NoErr(err)
	is.Equal(again.Revision, fleet.ConfigRevision(1)) // the revision that the operation wrote
	is.Equal(e.entry().Pools["rota"].Budget.MinAvailableVMs, fleet.VMCount(2))
}

// Guards against changes made against an old revision, and against a dry run that writes.
func TestApplyChecksBaseAndDryRun(t *testing.T) {
	is := is.New(t)
	e := newExecutor(t)
	_, err := e.apply(operation.ApplyConfig{Identity: identity("one"), Changes: put("rota", 1)})
	is.NoErr(err)
	version := e.table.revision
	dry, err := e.apply(operation.ApplyConfig{Identity: identity("two"), Changes: put("rota", 2), DryRun: true})
	is.NoErr(err)
	is.Equal(len(dry.Differences), 1)
	_, err = e.apply(operation.ApplyConfig{Identity: identity("two"), Changes: put("rota", 2), Base: 7})
	var revision *operation.RevisionError
	is.True(errors.As(err, &revision))
	is.Equal(e.table.revision, version) // nothing was written
}

// entry returns the configuration in force at an entry that reads the table for the first time.
func (e *executor) entry() fleet.Configuration {
	var c configuration.Copy
	e.deliver(&c)
	return c.Build()
}

func (e *executor) deliver(c *configuration.Copy) {
	for key, row := range e.table.rows {
		switch {
		case key == wire.KeyHead:
			head, _ := wire.DecodeHead(row.Value)
			c.Advance(time.Time{}, head)
		case wire.HasPrefix(key, wire.PrefixConfig):
			item, _ := wire.DecodeItem(row.Value)
			c.Absorb(time.Time{}, key, item)
		}
	}
}

// Guards against a table restored from a backup that takes the configuration back, reuses a revision,
// or leaves the entries with different configurations.
func TestApplyBringsRestoredTableUpToDate(t *testing.T) {
	is := is.New(t)
	e := newExecutor(t)
	for i, id := range []fleet.PoolID{"a", "b", "c"} {
		_, err := e.apply(operation.ApplyConfig{Identity: identity(fleet.OperationID(id)), Changes: put(id, fleet.VMCount(i+1))})
		is.NoErr(err)
	}
	backup := maps.Clone(e.table.rows)
	_, err := e.apply(operation.ApplyConfig{Identity: identity("d"), Changes: append(put("a", 9), configuration.Change{DeletePool: "b"})})
	is.NoErr(err)

	var old configuration.Copy
	e.deliver(&old)
	view := fleet.NewView()
	view.Configuration = old.Build()
	view.Entries["entry-b"] = fleet.Entry{ID: "entry-b", ConfigRevision: 6}
	e.view.Set(view)
	e.table.rows = backup
	e.deliver(&old)
	is.Equal(old.Build().Revision, fleet.ConfigRevision(4)) // the entry does not go back

	applied, err := e.apply(operation.ApplyConfig{Identity: identity("e"), Changes: put("e", 1)})
	is.NoErr(err)
	is.Equal(applied.Revision, fleet.ConfigRevision(7)) // above all revisions known
	e.deliver(&old)
	is.Equal(old.Build(), e.entry()) // an old and a new entry agree
	is.Equal(old.Build().Pools["a"].Budget.MinAvailableVMs, fleet.VMCount(9))
	_, exists := old.Build().Pools["b"]
	is.True(!exists) // a deleted item stays deleted
	is.Equal(old.Build().Revision, fleet.ConfigRevision(7))
}
