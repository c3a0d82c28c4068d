package operation_test

import (
	"errors"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/mimosawharf/mimosawharf/internal/configuration"
	"github.com/mimosawharf/mimosawharf/internal/operation"
	"github.com/mimosawharf/mimosawharf/internal/platform"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

func (e *executor) apply(o operation.ApplyConfig) (operation.ApplyResult, error) {
	o.Reply = ring.New[operation.Result[operation.ApplyResult]]("test", 1)
	return do(e, o, o.Reply)
}

func put(id fleet.PoolID, minAvailable fleet.VMCount) []configuration.Change {
	return []configuration.Change{{PutPool: &fleet.Pool{ID: id, Budget: fleet.Budget{MinAvailableVMs: minAvailable}}}}
}

func identity(id fleet.OperationID) operation.Identity {
	return operation.Identity{ID: id, Actor: "ada"}
}

// Guards against an operation that takes effect twice after its answer was lost or it was sent again.
func TestApplyTakesEffectOnce(t *testing.T) {
	is := is.New(t)
	e := newExecutor(t)
	e.table.loseAnswers = 1
	_, err := e.apply(operation.ApplyConfig{Identity: identity("one"), Changes: put("rota", 1)})
	var unavailable *platform.UnavailableError
	is.True(errors.As(err, &unavailable)) // the outcome is not known
	_, err = e.apply(operation.ApplyConfig{Identity: identity("two"), Changes: put("rota", 2)})
	is.NoErr(err)
	again, err := e.apply(operation.ApplyConfig{Identity: identity("one"), Changes: put("rota", 1), Base: 99})
	is.NoErr(err)
	is.Equal(again.Revision, fleet.ConfigRevision(1)) // the revision that the operation wrote
	is.Equal(e.loadConfiguration().Pools["rota"].Budget.MinAvailableVMs, fleet.VMCount(2))
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

// loadConfiguration returns the configuration in force at an entry that reads the table for the first time.
func (e *executor) loadConfiguration() fleet.Configuration {
	var c configuration.Copy
	e.deliver(&c)
	return c.Configuration()
}

func (e *executor) deliver(c *configuration.Copy) {
	for key, row := range e.table.rows {
		switch {
		case key == wire.KeyHead:
			head, _ := wire.DecodeHead(row.Value)
			c.ApplyHead(time.Time{}, head)
		case wire.HasPrefix(key, wire.PrefixConfig):
			item, _ := wire.DecodeItem(row.Value)
			c.ApplyItem(time.Time{}, key, item)
		}
	}
}

// Guards against a restore of the table from a backup that rolls the configuration back, reuses a
// revision, or leaves the entries with different configurations.
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

	var running configuration.Copy
	e.deliver(&running)
	view := fleet.NewView()
	view.Configuration = running.Configuration()
	view.Entries["entry-b"] = fleet.Entry{ID: "entry-b", ConfigRevision: 6}
	e.view.Set(view)
	e.table.rows = backup
	e.deliver(&running)
	is.Equal(running.Configuration().Revision, fleet.ConfigRevision(4)) // the entry does not roll back

	applied, err := e.apply(operation.ApplyConfig{Identity: identity("e"), Changes: put("e", 1)})
	is.NoErr(err)
	is.Equal(applied.Revision, fleet.ConfigRevision(7)) // above all revisions known
	e.deliver(&running)
	is.Equal(running.Configuration(), e.loadConfiguration()) // a running and a new entry agree
	is.Equal(running.Configuration().Pools["a"].Budget.MinAvailableVMs, fleet.VMCount(9))
	_, exists := running.Configuration().Pools["b"]
	is.True(!exists) // a deleted item stays deleted
	is.Equal(running.Configuration().Revision, fleet.ConfigRevision(7))
}

// Guards against entries that disagree, roll back or lag after restores of the table. Random schedules
// mix changes through lagging entries, backups, restores and late reads.
func TestEntriesAgreeAfterRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is, e, entries := is.New(t), newExecutor(t), make([]configuration.Copy, 3)
		backup := maps.Clone(e.table.rows)
		read := func(i int) {
			before, _ := entries[i].Revision()
			var table configuration.Copy
			e.deliver(&table)
			e.deliver(&entries[i])
			entries[i].AdoptTable(time.Time{}, &table)
			after, _ := entries[i].Revision()
			is.True(after >= before) // revisions only grow
		}
		apply := func(step, through int, changes []configuration.Change) error {
			view := fleet.NewView()
			view.Configuration = entries[through].Configuration()
			for i := range entries {
				revision, _ := entries[i].Revision()
				id := fleet.EntryID(fmt.Sprint("entry-", i))
				view.Entries[id] = fleet.Entry{ID: id, ConfigRevision: revision, RenewedAt: e.clock.Now()}
			}
			e.view.Set(view)
			_, err := e.apply(operation.ApplyConfig{Identity: identity(fleet.OperationID(fmt.Sprintf("%04d", step))), Changes: changes})
			return err
		}
		steps := rapid.IntRange(1, 30).Draw(t, "steps")
		for step := range steps {
			i := rapid.IntRange(0, 2).Draw(t, "entry")
			switch rapid.SampledFrom([]string{"put", "put", "delete", "read", "read", "backup", "restore"}).Draw(t, "step") {
			case "put":
				_ = apply(step, i, put(drawPool(t), fleet.VMCount(step+1)))
			case "delete":
				_ = apply(step, i, []configuration.Change{{DeletePool: drawPool(t)}})
			case "read":
				read(i)
			case "backup":
				backup = maps.Clone(e.table.rows)
			case "restore":
				e.table.rows = maps.Clone(backup)
			}
		}
		newest := 0
		for i := range entries {
			read(i)
			a, _ := entries[i].Revision()
			if b, _ := entries[newest].Revision(); a > b {
				newest = i
			}
		}
		is.NoErr(apply(steps, newest, put("last", 1)))
		for i := range entries {
			read(i)
			is.Equal(entries[i].Configuration(), e.loadConfiguration()) // running and new entries agree
		}
	})
}

func drawPool(t *rapid.T) fleet.PoolID {
	return fleet.PoolID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "pool"))
}

// Guards against a lagging entry that, on a restored table, overwrites a revision that another entry has
// in force.
func TestLaggingEntryDoesNotOverwriteNewerRevision(t *testing.T) {
	is := is.New(t)
	e := newExecutor(t)
	view := fleet.NewView()
	view.Entries["entry-b"] = fleet.Entry{ID: "entry-b", ConfigRevision: 6, RenewedAt: e.clock.Now(), Duration: time.Second}
	e.view.Set(view)
	_, err := e.apply(operation.ApplyConfig{Identity: identity("one"), Changes: put("rota", 1)})
	var lagging *operation.LaggingError
	is.True(errors.As(err, &lagging))
	is.Equal(lagging.Entry, fleet.EntryID("entry-b"))
	e.clock.Advance(time.Minute)
	applied, err := e.apply(operation.ApplyConfig{Identity: identity("one"), Changes: put("rota", 1)})
	is.NoErr(err) // an entry that no longer renews its row does not block changes
	is.Equal(applied.Revision, fleet.ConfigRevision(7))
}
