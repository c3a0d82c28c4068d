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

// isAfter orders the values of one item. The operation id decides between items of one revision,
// which only a table that was restored from a backup can hold.
func (i Item) isAfter(other Item) bool {
	if i.Revision != other.Revision {
		return i.Revision > other.Revision
	}
	return i.OperationID > other.OperationID
}

// Head names a revision of the configuration.
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

// Copy is an entry's copy of the configuration. It only moves forward, item by item, and a revision
// comes into force as a whole. One goroutine owns it; the zero value is an empty copy.
type Copy struct {
	// items holds deleted items too, so that an old value cannot bring a deleted item back.
	items map[fleet.TableKey]Item
	// sum is the sum of the digests of all items that are not deleted.
	sum fleet.Digest
	// newest is the newest head seen; its items may still be missing.
	newest  Head
	inForce Head
	since   time.Time
	built   fleet.Configuration
}

// emptyDigest is the digest of no items. It is not 0, because 0 means that there is no digest.
const emptyDigest fleet.Digest = 0xef46db3751d8e999

// digestOf returns what an item adds to the digest. Addition makes the digest independent of order.
func digestOf(key fleet.TableKey, i Item) fleet.Digest {
	if i.IsDeleted() {
		return 0
	}
	return fleet.Digest(xxhash.Sum64String(fmt.Sprintf("%s\x00%d\x00%s", key, i.Revision, i.OperationID)))
}

// Absorb takes an item. It returns false for an item that is not newer than the one known.
func (c *Copy) Absorb(now time.Time, key fleet.TableKey, item Item) bool {
	known, ok := c.items[key]
	if ok && !item.isAfter(known) {
		return false
	}
	if c.items == nil {
		c.items = map[fleet.TableKey]Item{}
	}
	c.items[key] = item
	c.sum += digestOf(key, item) - digestOf(key, known)
	c.settle(now)
	return true
}

// Advance takes a head. Its revision comes into force as soon as all its items are absorbed.
// It returns false for a head that is not newer than the one known.
func (c *Copy) Advance(now time.Time, head Head) bool {
	if !head.isAfter(c.newest) {
		return false
	}
	c.newest = head
	c.settle(now)
	return true
}

// settle puts the newest revision into force when all its items are present.
func (c *Copy) settle(now time.Time) {
	isComplete := c.newest.Digest == 0 || c.newest.Digest == emptyDigest+c.sum
	if c.newest == (Head{}) || !isComplete {
		return
	}
	if c.newest.isAfter(c.inForce) {
		c.inForce, c.since = c.newest, now
	}
	c.built = c.build()
}

// Revision returns the revision in force and since when.
func (c *Copy) Revision() (fleet.ConfigRevision, time.Time) { return c.inForce.Revision, c.since }

// Build returns the configuration in force. The caller may keep it but not modify it.
func (c *Copy) Build() fleet.Configuration {
	if c.built.Pools == nil {
		return fleet.NewConfiguration()
	}
	return c.built
}

// Latest returns the items as absorbed, whether or not their revision is in force, and the newest head.
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
