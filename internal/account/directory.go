// Package account decides which client account a request comes from.
package account

import (
	"maps"
	"slices"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Directory finds client accounts by their keys. It is never modified.
type Directory struct {
	accounts map[fleet.ClientAccountID]fleet.ClientAccount
	byKey    map[fleet.KeyDigest]fleet.ClientAccountID
	// shared holds, in order, the accounts of each key that has several.
	shared [][]fleet.ClientAccountID
}

// NewDirectory returns the directory of the accounts of one configuration. A key of two accounts authorizes neither.
func NewDirectory(accounts []fleet.ClientAccount) *Directory {
	d := &Directory{accounts: map[fleet.ClientAccountID]fleet.ClientAccount{}, byKey: map[fleet.KeyDigest]fleet.ClientAccountID{}}
	owners := map[fleet.KeyDigest][]fleet.ClientAccountID{}
	for _, a := range accounts {
		d.accounts[a.ID] = a
		for _, k := range a.Keys {
			if !slices.Contains(owners[k], a.ID) {
				owners[k] = append(owners[k], a.ID)
			}
		}
	}
	for k, ids := range owners {
		if len(ids) == 1 {
			d.byKey[k] = ids[0]
			continue
		}
		d.shared = append(d.shared, ids)
	}
	slices.SortFunc(d.shared, slices.Compare)
	return d
}

// SharedKeys returns the accounts of each key that several have. Such a key authorizes none of them.
func (d *Directory) SharedKeys() [][]fleet.ClientAccountID { return d.shared }

// Accounts returns the ids of all accounts in order.
func (d *Directory) Accounts() []fleet.ClientAccountID {
	return slices.Sorted(maps.Keys(d.accounts))
}

// Size returns how many accounts there are, and how many keys that authorize one.
func (d *Directory) Size() (accounts, keys int) { return len(d.accounts), len(d.byKey) }

// Owner returns the account that a key belongs to. It may be called from several goroutines.
func (d *Directory) Owner(k fleet.KeyDigest) (fleet.ClientAccountID, bool) {
	id, ok := d.byKey[k]
	return id, ok
}

// Limits returns what accounts may have running at the same time; accounts without a limit are left out.
func (d *Directory) Limits() map[fleet.ClientAccountID]fleet.Capacity {
	limits := map[fleet.ClientAccountID]fleet.Capacity{}
	if d == nil {
		return limits
	}
	for id, a := range d.accounts {
		if a.MaxRunning != (fleet.Capacity{}) {
			limits[id] = a.MaxRunning
		}
	}
	return limits
}

// Weights returns the weights of all accounts.
func (d *Directory) Weights() map[fleet.ClientAccountID]fleet.Weight {
	weights := map[fleet.ClientAccountID]fleet.Weight{}
	if d == nil {
		return weights
	}
	for id, a := range d.accounts {
		weights[id] = a.Weight
	}
	return weights
}

// Account returns an account by its id.
func (d *Directory) Account(id fleet.ClientAccountID) (fleet.ClientAccount, bool) {
	a, ok := d.accounts[id]
	return a, ok
}
