// Package allowance divides what a client account may have running among the services that run its tasks. The parts of
// all services stand in a ledger for each account, which changes only by conditional writes, so that their sum cannot
// exceed a limit whoever is slow, lost or replaced. The package uses no network, clock or logger.
package allowance

import (
	"maps"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Limits holds what accounts may have running at the same time. A resource of 0 has no bound; accounts without any
// bound are left out.
type Limits map[fleet.ClientAccountID]fleet.Capacity

// Ledger says which part of one account's limit each service holds.
type Ledger map[fleet.ServiceID]Claim

// Claim is the part of a service. Only the service's holder changes it.
type Claim struct {
	// Epoch is that of the last holder that has claimed the part.
	Epoch fleet.FencingToken
	// Held bounds what the account's tasks use in the service.
	Held fleet.Capacity
	// Wanted is what they would use if the account had no limit.
	Wanted fleet.Capacity
	// Least is what the smallest of them needs while none runs and the fair part is too small for it; zero otherwise.
	Least fleet.Capacity
	// Turn is set with Least: parts of that size are set aside in the order of the turns.
	Turn uint64
}

// Version is the version of a ledger in the store, 0 while it has not been written. It rises with each write.
type Version uint64

// Stored is a ledger as it was read. It must not be changed.
type Stored struct {
	Ledger  Ledger
	Version Version
}

// Write replaces the ledger of an account, on condition that it still has a version.
type Write struct {
	Account fleet.ClientAccountID
	Ledger  Ledger
	Version Version
}

// Demand is what the tasks of an account use and ask for in one service.
type Demand struct {
	// Used is the demand of all runs that may execute.
	Used fleet.Capacity
	// Waiting is the demand of the tasks that could start, Least that of the smallest of them.
	Waiting, Least fleet.Capacity
}

// idle reports whether nothing of the account runs or waits.
func (d Demand) idle() bool { return d.Used == (fleet.Capacity{}) && d.Waiting == (fleet.Capacity{}) }

// clone returns a copy that shares nothing with the ledger.
func (l Ledger) clone() Ledger {
	if l == nil {
		return Ledger{}
	}
	return maps.Clone(l)
}

// claimSize is the most that a claim takes in the store besides the name of its service: an epoch, a turn and three
// capacities of three numbers, with their tags and lengths.
const claimSize fleet.Bytes = 144

// Size is an upper bound of what the claims of a ledger take in the store.
func (l Ledger) Size() fleet.Bytes {
	var size fleet.Bytes
	for s := range l {
		size += sizeOf(s)
	}
	return size
}

func sizeOf(s fleet.ServiceID) fleet.Bytes { return claimSize + fleet.Bytes(len(s)) }

// held returns what all services but one hold of an account's limit.
func (l Ledger) held(limit fleet.Capacity, except fleet.ServiceID) fleet.Capacity {
	var sum fleet.Capacity
	for s, claim := range l {
		if s != except {
			sum = sum.Plus(claim.Held)
		}
	}
	return bounded(sum, limit)
}

// short reports whether a service other than one lacks some of the account's limit.
func (l Ledger) short(except fleet.ServiceID) bool {
	for s, claim := range l {
		if s != except && !claim.Wanted.Fits(claim.Held) {
			return true
		}
	}
	return false
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
