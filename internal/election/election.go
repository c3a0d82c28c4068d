// Package election decides which entry claims the lease of a duty. Only the store grants leases; this
// package staggers the claims of the entries and balances the duties across them.
package election

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Lease is a lease row as last read from the store.
type Lease struct {
	Duty        fleet.DutyName
	Entry       fleet.EntryID
	Incarnation fleet.Incarnation
	Address     fleet.Address
	Epoch       fleet.FencingToken
	Renewals    uint64
	Released    bool
	// Settled is set once the orders of all earlier holders have expired.
	Settled bool
	// Full is set while the holder has no memory for further jobs.
	Full bool
	// Moved counts the waiting jobs of queues that the configuration sends to other services now.
	Moved map[fleet.QueueID]int
	// ChangedAt is when this entry last saw the row change, by its own clock, moved by the outages of the store since.
	ChangedAt time.Time
	// SeenAt is the same, whatever outages followed: the holder's own time runs on during them.
	SeenAt time.Time
	// EndedBy is by when the process that holds the lease had ended, if that is known.
	EndedBy time.Time
}

// Node is the row of an entry as last read from the store.
type Node struct {
	Entry       fleet.EntryID
	Incarnation fleet.Incarnation
	Zone        fleet.ZoneID
	Address     fleet.Address
	Heartbeats  uint64
	Stopping    bool
	// Millicores is the processor capacity of the entry's VM; 0 when it is not known.
	Millicores fleet.Millicores
	ChangedAt  time.Time
}

// Lease timing.
const (
	// RenewInterval is the time between renewals of a lease.
	RenewInterval = 600 * time.Millisecond
	// LeaseTimeout is how long a lease or an entry's row may stay unchanged before it expires and its entry
	// counts as gone: three renewals, one of them lost, plus the polling interval of the store.
	LeaseTimeout = 2 * time.Second
	// rankDelay is how much longer an entry waits per rank before it claims a free lease.
	rankDelay = 250 * time.Millisecond
)

// Numbers of candidates. Only candidates renew their row, so that what each entry reads grows with the duties and
// not with the entries.
const (
	minCandidates     = 8
	candidatesPerDuty = 2
	// otherRanks is the number of ranks behind the candidates that the other entries are spread over. They claim a
	// lease when no candidate does.
	otherRanks = 4
)

// State is one entry's view of the leases and entries. It is not safe for concurrent use.
type State struct {
	Self        fleet.EntryID
	Incarnation fleet.Incarnation
	// Millicores is the processor capacity of this entry's VM.
	Millicores fleet.Millicores
	Leases     map[fleet.DutyName]Lease
	Nodes      map[fleet.EntryID]Node
	// freeSince is when a duty was first seen without a holder since another entry last held it.
	freeSince map[fleet.DutyName]time.Time
	// retryAt is when a lease may be claimed again after a failed claim.
	retryAt map[fleet.DutyName]time.Time
	// outages holds what this entry knows of the store's rows of each duty without a holder.
	outages map[fleet.DutyName]outage
}

// NewState returns a state without leases.
func NewState(self fleet.EntryID, incarnation fleet.Incarnation) *State {
	return &State{
		Self: self, Incarnation: incarnation, Leases: map[fleet.DutyName]Lease{}, Nodes: map[fleet.EntryID]Node{},
		freeSince: map[fleet.DutyName]time.Time{}, retryAt: map[fleet.DutyName]time.Time{}, outages: map[fleet.DutyName]outage{},
	}
}

// SetLease records a lease row as read at now. It ignores rows of an older epoch.
func (s *State) SetLease(now time.Time, l Lease) {
	old, known := s.Leases[l.Duty]
	l.ChangedAt, l.SeenAt = now, now
	if known && old.Epoch == l.Epoch && old.Renewals == l.Renewals && old.Released == l.Released {
		l.ChangedAt, l.SeenAt = old.ChangedAt, old.SeenAt
	}
	if known && l.Epoch < old.Epoch {
		return
	}
	s.Leases[l.Duty] = l
}

// EndedBy returns by when the process that held a lease had ended, or zero while it may go on. An earlier process of this
// entry had ended when this one started. The rows of other entries prove less: the store may perform a write of an earlier
// process late.
func (s *State) EndedBy(l Lease, startedAt time.Time) time.Time {
	if l.Entry != s.Self || l.Incarnation == s.Incarnation {
		return time.Time{}
	}
	return startedAt
}

// SetNode records the row of an entry as read at now.
func (s *State) SetNode(now time.Time, n Node) {
	old, known := s.Nodes[n.Entry]
	n.ChangedAt = now
	if known && old.Incarnation == n.Incarnation && old.Heartbeats == n.Heartbeats && old.Stopping == n.Stopping {
		n.ChangedAt = old.ChangedAt
	}
	s.Nodes[n.Entry] = n
}

// Holder returns the lease of a duty, and whether an entry holds it.
func (s *State) Holder(now time.Time, d fleet.DutyName) (Lease, bool) {
	l, ok := s.Leases[d]
	if !ok || l.Released || now.Sub(l.ChangedAt) >= LeaseTimeout {
		return l, false
	}
	// A restart ends the leases of the previous incarnation.
	if n, ok := s.Nodes[l.Entry]; ok && n.Incarnation != l.Incarnation && n.ChangedAt.After(l.ChangedAt) {
		return l, false
	}
	return l, true
}

// ExcludeOutage excludes an outage of the store from the age of all rows. A row that does not change shows that
// its entry is gone only while the store can be read. pause is how long it could not be read.
func (s *State) ExcludeOutage(pause time.Duration) {
	if pause <= 0 {
		return
	}
	for d, l := range s.Leases {
		l.ChangedAt = l.ChangedAt.Add(pause)
		s.Leases[d] = l
	}
	for id, n := range s.Nodes {
		n.ChangedAt = n.ChangedAt.Add(pause)
		s.Nodes[id] = n
	}
}

// BackOff backs off from a lease that another entry has just taken. It gets LeaseTimeout to renew before this entry
// claims the lease again.
func (s *State) BackOff(now time.Time, d fleet.DutyName) { s.retryAt[d] = now.Add(LeaseTimeout) }

// Candidate reports whether this entry is one of the live entries with the most processor capacity, or the one that a
// lease names. Candidates renew their row and claim leases first.
func (s *State) Candidate(now time.Time) bool {
	for _, l := range s.Leases {
		if l.Entry == s.Self && !l.Released && now.Sub(l.ChangedAt) < LeaseTimeout {
			return true
		}
	}
	larger, own := 0, weight(s.Self, "")
	for id, n := range s.Nodes {
		if id == s.Self || n.Stopping || now.Sub(n.ChangedAt) >= LeaseTimeout {
			continue
		}
		if n.Millicores > s.Millicores || n.Millicores == s.Millicores && weight(id, "") > own {
			larger++
		}
	}
	return larger < s.seats()
}

// seats returns the number of candidates.
func (s *State) seats() int { return minCandidates + candidatesPerDuty*len(s.Leases) }

// Claims returns those of the given duties whose lease this entry should claim now.
func (s *State) Claims(now time.Time, duties []fleet.DutyName) []fleet.DutyName {
	held, candidate := s.held(now), s.Candidate(now)
	var claims []fleet.DutyName
	for _, d := range duties {
		if l, ok := s.Holder(now, d); ok && (l.Entry != s.Self || l.Incarnation != s.Incarnation) {
			delete(s.freeSince, d)
			delete(s.outages, d)
			continue
		} else if ok {
			continue
		}
		if s.freeSince[d].IsZero() {
			s.freeSince[d] = now
		}
		rank := s.rank(now, d, held)
		if !candidate {
			rank = s.live(now) + 1 + int(weight(s.Self, d)%otherRanks)
		}
		if s.outages[d] == outageOver && rank > 0 {
			rank++ // The first entry may have learned of the end up to a probe later.
		}
		if s.outages[d] != outageLasts && !now.Before(s.retryAt[d]) && now.Sub(s.freeSince[d]) >= time.Duration(rank)*rankDelay {
			claims = append(claims, d)
		}
	}
	return claims
}

// held returns the number of leases that each entry holds.
func (s *State) held(now time.Time) map[fleet.EntryID]int {
	held := map[fleet.EntryID]int{}
	for d := range s.Leases {
		if l, ok := s.Holder(now, d); ok {
			held[l.Entry]++
		}
	}
	return held
}

// rank returns how many live entries precede this one for a duty: those that would hold fewer leases per
// core, and among equals those with the higher rendezvous hash of entry and duty.
func (s *State) rank(now time.Time, d fleet.DutyName, held map[fleet.EntryID]int) int {
	rank := 0
	own := weight(s.Self, d)
	for id, n := range s.Nodes {
		if id == s.Self || n.Stopping || now.Sub(n.ChangedAt) >= LeaseTimeout {
			continue
		}
		theirs, mine := load(held[id], n.Millicores), load(held[s.Self], s.Millicores)
		if theirs < mine || theirs == mine && weight(id, d) > own {
			rank++
		}
	}
	return rank
}

// live returns how many other entries have renewed their row.
func (s *State) live(now time.Time) int {
	live := 0
	for id, n := range s.Nodes {
		if id != s.Self && !n.Stopping && now.Sub(n.ChangedAt) < LeaseTimeout {
			live++
		}
	}
	return live
}

// load returns how many leases per unit of processor capacity an entry would hold with one more, so that
// the smallest VM does not get the largest duty.
func load(held int, capacity fleet.Millicores) float64 {
	return float64(held+1) / float64(max(capacity, 1))
}

func weight(id fleet.EntryID, d fleet.DutyName) uint64 {
	return xxhash.Sum64String(string(id) + "/" + string(d))
}

// Duties returns the duties that have a lease row, sorted by name.
func (s *State) Duties() []fleet.DutyName {
	list := make([]fleet.DutyName, 0, len(s.Leases))
	for d := range s.Leases {
		list = append(list, d)
	}
	slices.Sort(list)
	return list
}
