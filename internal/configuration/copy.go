package configuration

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Item is one configuration item at one revision. At most one of Pool, Service and Account is set;
// a deleted item has none.
type Item struct {
	Pool    *fleet.Pool
	Service *fleet.Service
	Account *fleet.ClientAccount
	// Revision is the revision that wrote the item.
	Revision fleet.ConfigRevision
	// OperationID is the operation that wrote the item.
	OperationID fleet.OperationID
}

// IsDeleted reports whether the item is a tombstone.
func (i Item) IsDeleted() bool { return i.Pool == nil && i.Service == nil && i.Account == nil }

// isAfter reports whether a value of an item is newer than another one. The operation id decides between
// values of the same revision, which exist only after the table was restored from a backup.
func (i Item) isAfter(other Item) bool {
	if i.Revision != other.Revision {
		return i.Revision > other.Revision
	}
	return i.OperationID > other.OperationID
}

// Head identifies a revision of the configuration.
type Head struct {
	Revision    fleet.ConfigRevision
	OperationID fleet.OperationID
	// Digest covers all items that exist at the revision; 0 means that the writer gave none.
	Digest fleet.Digest
}

func (h Head) isAfter(other Head) bool {
	if h.Revision != other.Revision {
		return h.Revision > other.Revision
	}
	return h.OperationID > other.OperationID
}

// Copy is an entry's copy of the configuration. It never rolls back to an older revision, and a revision
// comes into force as a whole. It is not safe for concurrent use; the zero value is an empty copy.
type Copy struct {
	// items includes deleted items, so that a stale value cannot restore a deleted item.
	items map[fleet.TableKey]Item
	// sum is the sum of the digests of all items that are not deleted.
	sum fleet.Digest
	// newest is the newest head seen; its items may still be missing.
	newest        Head
	inForce       Head
	since         time.Time
	configuration fleet.Configuration
}

// emptyDigest is the digest of no items. It is not 0, because 0 means that there is no digest.
const emptyDigest fleet.Digest = 0xef46db3751d8e999

// digestOf returns an item's part of the digest. Parts are summed, so the digest is independent of order.
func digestOf(key fleet.TableKey, i Item) fleet.Digest {
	if i.IsDeleted() {
		return 0
	}
	return fleet.Digest(xxhash.Sum64String(fmt.Sprintf("%s\x00%d\x00%s", key, i.Revision, i.OperationID)))
}

// ApplyItem applies an item. It returns false if the item is not newer than the known one.
func (c *Copy) ApplyItem(now time.Time, key fleet.TableKey, item Item) bool {
	known, ok := c.items[key]
	if ok && !item.isAfter(known) {
		return false
	}
	c.put(key, item)
	c.activate(now)
	return true
}

func (c *Copy) put(key fleet.TableKey, item Item) {
	if c.items == nil {
		c.items = map[fleet.TableKey]Item{}
	}
	c.sum += digestOf(key, item) - digestOf(key, c.items[key])
	c.items[key] = item
}

// ApplyHead applies a head. Its revision comes into force as soon as all its items are applied.
// It returns false if the head is not newer than the known one.
func (c *Copy) ApplyHead(now time.Time, head Head) bool {
	if !head.isAfter(c.newest) {
		return false
	}
	c.newest = head
	c.activate(now)
	return true
}

// AdoptTable replaces the items by those of a copy that was read from one history of the table, if that copy
// is complete and newer than the revision in force, and reports whether it did. Otherwise a revision whose
// items differ from the known ones might never be complete: a restore of the table can lose a deletion, or
// an item that a newer revision no longer has.
func (c *Copy) AdoptTable(now time.Time, table *Copy) bool {
	head := table.newest
	if !table.isComplete() || !head.isAfter(c.inForce) {
		return false
	}
	for key, known := range c.items {
		if _, ok := table.items[key]; !ok && !known.IsDeleted() {
			c.put(key, Item{Revision: head.Revision, OperationID: head.OperationID})
		}
	}
	for key, item := range table.items {
		c.put(key, item)
	}
	c.newest = head
	c.activate(now)
	return true
}

// isComplete reports whether all items of the newest head are present.
func (c *Copy) isComplete() bool {
	return c.newest != (Head{}) && (c.newest.Digest == 0 || c.newest.Digest == emptyDigest+c.sum)
}

// activate puts the newest revision into force if all its items are present.
func (c *Copy) activate(now time.Time) {
	if !c.isComplete() {
		return
	}
	if c.newest.isAfter(c.inForce) {
		c.inForce, c.since = c.newest, now
	}
	c.configuration = c.build()
}

// Revision returns the revision in force and since when.
func (c *Copy) Revision() (fleet.ConfigRevision, time.Time) { return c.inForce.Revision, c.since }

// Configuration returns the configuration in force. The caller may keep it but not modify it.
func (c *Copy) Configuration() fleet.Configuration {
	if c.configuration.Pools == nil {
		return fleet.NewConfiguration()
	}
	return c.configuration
}

// Latest returns the items as applied, whether or not their revision is in force, and the newest head.
func (c *Copy) Latest() (fleet.Configuration, Head) {
	latest := c.build()
	latest.Revision = c.newest.Revision
	return latest, c.newest
}

// DigestWith returns the digest of the items once the given ones are written.
func (c *Copy) DigestWith(written map[fleet.TableKey]Item) fleet.Digest {
	digest := emptyDigest + c.sum
	for key, item := range written {
		digest += digestOf(key, item) - digestOf(key, c.items[key])
	}
	return digest
}

func (c *Copy) build() fleet.Configuration {
	out := fleet.NewConfiguration()
	out.Revision = c.inForce.Revision
	for _, item := range c.items {
		switch {
		case item.Pool != nil:
			out.Pools[item.Pool.ID] = *item.Pool
		case item.Service != nil:
			out.Services[item.Service.ID] = *item.Service
		case item.Account != nil:
			out.Accounts[item.Account.ID] = *item.Account
		}
	}
	return out
}
