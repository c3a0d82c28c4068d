package configuration_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/mimosawharf/mimosawharf/internal/configuration"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// row is one row that the table, or a peer that has read the table, delivers.
type row struct {
	key  fleet.TableKey
	item configuration.Item
	head *configuration.Head
}

// history holds all rows ever written to the table and the pools at each revision.
type history struct {
	rows  []row
	pools map[fleet.ConfigRevision]map[fleet.PoolID]fleet.Pool
	last  fleet.ConfigRevision
}

// drawHistory draws commits that put and delete pools.
func drawHistory(t *rapid.T) history {
	h := history{pools: map[fleet.ConfigRevision]map[fleet.PoolID]fleet.Pool{0: {}}}
	var writer configuration.Copy
	for range rapid.IntRange(1, 12).Draw(t, "commits") {
		h.last++
		operation := fleet.OperationID(fmt.Sprint("operation-", h.last))
		pools, written := maps.Clone(h.pools[h.last-1]), map[fleet.TableKey]configuration.Item{}
		for range rapid.IntRange(1, 3).Draw(t, "changes") {
			id := fleet.PoolID(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "pool"))
			item := configuration.Item{Revision: h.last, OperationID: operation}
			delete(pools, id)
			if rapid.Bool().Draw(t, "put") {
				pools[id] = fleet.Pool{ID: id, TargetVMs: fleet.VMCount(h.last), Revision: h.last}
				item.Pool = &fleet.Pool{ID: id, TargetVMs: fleet.VMCount(h.last), Revision: h.last}
			}
			written["config/pool/"+fleet.TableKey(id)] = item
		}
		head := configuration.Head{Revision: h.last, OperationID: operation, Digest: writer.DigestWith(written)}
		h.rows = append(h.rows, row{head: &head})
		for key, item := range written {
			writer.ApplyItem(time.Time{}, key, item)
			h.rows = append(h.rows, row{key: key, item: item})
		}
		h.pools[h.last] = pools
	}
	return h
}

// Guards against an entry that rolls its configuration back, restores deleted items, puts part of a
// revision into force, or disagrees with another entry that received the same rows. Rows arrive in any
// order and repeatedly, as from stale reads, lagging peers and a restored table.
func TestCopyNeverRollsBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is, h := is.New(t), drawHistory(t)
		for entry := range 3 {
			var c configuration.Copy
			order := rapid.Permutation(h.rows).Draw(t, fmt.Sprint("order of entry ", entry))
			stale := rapid.SliceOfN(rapid.SampledFrom(h.rows), 0, 10).Draw(t, "stale rows")
			before := fleet.ConfigRevision(0)
			for i, r := range append(order, stale...) {
				deliver(&c, r, time.Unix(int64(i), 0))
				revision, _ := c.Revision()
				is.True(revision >= before) // revisions only grow
				got := c.Configuration()
				is.Equal(got.Revision, revision)
				is.Equal(got.Pools, h.pools[revision]) // a revision is in force as a whole, deleted items stay deleted
				before = revision
			}
			is.Equal(before, h.last) // entries that received all rows agree
		}
	})
}

func deliver(c *configuration.Copy, r row, now time.Time) {
	if r.head != nil {
		c.ApplyHead(now, *r.head)
		return
	}
	c.ApplyItem(now, r.key, r.item)
}

// Guards against entries that order two values of an item with the same revision, as left by a restored
// table, differently.
func TestItemsOfOneRevisionAreOrderedByOperation(t *testing.T) {
	is := is.New(t)
	older := configuration.Item{Revision: 7, OperationID: "01", Pool: &fleet.Pool{ID: "a"}}
	newer := configuration.Item{Revision: 7, OperationID: "02", Pool: &fleet.Pool{ID: "a", Spare: true}}
	var first, second configuration.Copy
	is.True(first.ApplyItem(time.Time{}, "config/pool/a", older))
	is.True(first.ApplyItem(time.Time{}, "config/pool/a", newer))
	is.True(second.ApplyItem(time.Time{}, "config/pool/a", newer))
	is.True(!second.ApplyItem(time.Time{}, "config/pool/a", older))
	a, _ := first.Latest()
	b, _ := second.Latest()
	is.Equal(a, b)
}
