// Package allowance divides what a client account may have running among the services that run its tasks. The
// parts of all services stand in one ledger, which changes only by conditional writes, so that their sum cannot exceed
// a limit whoever is slow, lost or replaced. The package uses no network, clock or logger.
package allowance

import (
	"maps"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Limits holds what accounts may have running at the same time. A resource of 0 has no bound; accounts without any
// bound are left out.
type Limits map[fleet.ClientAccountID]fleet.Capacity

// Ledger says which part of each account's limit each service holds.
type Ledger map[fleet.ServiceID]Claim

// Claim is the part of the ledger that belongs to one service. Only the service's holder changes it.
type Claim struct {
	// Epoch is that of the last holder that has claimed the part.
	Epoch    fleet.FencingToken
	Accounts map[fleet.ClientAccountID]Position
}

// Position is what a service holds of one account's limit.
type Position struct {
	// Held bounds what the account's tasks use in the service.
	Held fleet.Capacity
	// Wanted is what they would use if the account had no limit.
	Wanted fleet.Capacity
}

// Demand is what the tasks of an account use and ask for in one service.
type Demand struct {
	// Used is the demand of all runs that may execute.
	Used fleet.Capacity
	// Waiting is the demand of the tasks that could start, Least that of the smallest of them.
	Waiting, Least fleet.Capacity
}

// Clone returns a copy that shares nothing with the ledger.
func (l Ledger) Clone() Ledger {
	c := make(Ledger, len(l))
	for s, claim := range l {
		claim.Accounts = maps.Clone(claim.Accounts)
		c[s] = claim
	}
	return c
}

// Version is the version of the ledger in the store. It rises with each write.
type Version uint64

// held returns what all services but one hold of an account's limit.
func (l Ledger) held(account fleet.ClientAccountID, limit fleet.Capacity, except fleet.ServiceID) fleet.Capacity {
	var sum fleet.Capacity
	for s, claim := range l {
		if s != except {
			sum = sum.Plus(claim.Accounts[account].Held)
		}
	}
	return bounded(sum, limit)
}

// short reports whether a service other than one lacks some of the account's limit.
func (l Ledger) short(account fleet.ClientAccountID, except fleet.ServiceID) bool {
	for s, claim := range l {
		if p := claim.Accounts[account]; s != except && !p.Wanted.Fits(p.Held) {
			return true
		}
	}
	return false
}

// set replaces the position of a service, which must have a claim. An empty one is left out.
func (l Ledger) set(s fleet.ServiceID, account fleet.ClientAccountID, p Position) {
	if p == (Position{}) {
		delete(l[s].Accounts, account)
		return
	}
	l[s].Accounts[account] = p
}

// bounded returns a capacity without the resources that a limit does not bound.
func bounded(c, limit fleet.Capacity) fleet.Capacity {
	if limit.Millicores == 0 {
		c.Millicores = 0
	}
	if limit.Memory == 0 {
		c.Memory = 0
	}
	if limit.Accelerators == 0 {
		c.Accelerators = 0
	}
	return c
}

func lower(a, b fleet.Capacity) fleet.Capacity {
	return fleet.Capacity{Millicores: min(a.Millicores, b.Millicores), Memory: min(a.Memory, b.Memory), Accelerators: min(a.Accelerators, b.Accelerators)}
}

func higher(a, b fleet.Capacity) fleet.Capacity {
	return fleet.Capacity{Millicores: max(a.Millicores, b.Millicores), Memory: max(a.Memory, b.Memory), Accelerators: max(a.Accelerators, b.Accelerators)}
}
