package configuration

import (
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Item is one configuration item at one revision. A deleted item has no value.
type Item struct {
	Pool    *fleet.Pool
	Service *fleet.Service
	Account *fleet.ClientAccount
	// Revision is the revision that wrote the item.
	Revision fleet.ConfigRevision
}

// Copy is an entry's copy of the configuration. It only moves forward, item by item. One goroutine
// owns it; the zero value is an empty copy.
type Copy struct {
	// items holds deleted items too, so that an old value cannot bring a deleted item back.
	items    map[fleet.TableKey]Item
	revision fleet.ConfigRevision
	since    time.Time
}

// Absorb takes an item. It returns false for an item that is not newer than the one known.
func (c *Copy) Absorb(key fleet.TableKey, item Item) bool {
	if known, ok := c.items[key]; ok && item.Revision <= known.Revision {
		return false
	}
	if c.items == nil {
		c.items = map[fleet.TableKey]Item{}
	}
	c.items[key] = item
	return true
}

// Advance takes the revision of the head row, once all items up to it are absorbed.
func (c *Copy) Advance(now time.Time, revision fleet.ConfigRevision) bool {
	if revision <= c.revision {
		return false
	}
	c.revision, c.since = revision, now
	return true
}

// Revision returns the revision in force and since when.
func (c *Copy) Revision() (fleet.ConfigRevision, time.Time) { return c.revision, c.since }

// Build returns the configuration in force. The caller may keep it.
func (c *Copy) Build() fleet.Configuration {
	out := fleet.NewConfiguration()
	out.Revision = c.revision
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
