// Package share decides which work of client accounts comes behind that of others while there is not room for all. It
// uses no network, clock or logger.
package share

import (
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Weights holds the weights of the client accounts: the jobs that each may submit in a second, and its part of the room
// when that is short. An account without an entry is one that no configuration names any more.
type Weights map[fleet.ClientAccountID]fleet.Weight

// Amount is processor capacity, or the part of it that corresponds to another resource.
type Amount float64

// Work is a waiting part of a job that can still be in time.
type Work struct {
	Account fleet.ClientAccountID
	Amount  Amount
	// Slack is how long it may wait.
	Slack time.Duration
	// Begun is set where an earlier part of the job has been served, which would be for nothing.
	Begun bool
}

// Room is what there is to serve work with.
type Room struct {
	// Free is what may be used at once, Released how much becomes free in a second.
	Free, Released Amount
}

// wait returns how long it takes until so much has been served.
func (r Room) wait(a Amount) time.Duration {
	const longest = time.Hour
	if a <= r.Free {
		return 0
	}
	if r.Released <= 0 {
		return longest
	}
	return time.Duration(min(float64(a-r.Free)/float64(r.Released), longest.Seconds()) * float64(time.Second))
}

// Select decides which work is put back because there is not room for all in time. The work is given in the order in
// which it is served. Where a part of it would be too late, the accounts that use most for their weight give way, each
// with the work that has waited longest: what is left of it is the least certain to be in time. used is what the accounts
// use already.
func Select(work []Work, room Room, weights Weights, used map[fleet.ClientAccountID]Amount) (back []bool) {
	back = make([]bool, len(work))
	accounts := map[fleet.ClientAccountID]*selection{}
	var ahead Amount
	for i, w := range work {
		a := accounts[w.Account]
		if a == nil {
			a = &selection{weight: max(1, weights[w.Account]), amount: used[w.Account]}
			accounts[w.Account] = a
		}
		a.amount += w.Amount
		ahead += w.Amount
		if !w.Begun {
			a.work = append(a.work, i)
		}
		for room.wait(ahead) > w.Slack && !back[i] {
			most := heaviest(accounts)
			if most == nil {
				break // All that is left has begun.
			}
			first := most.work[0]
			most.work = most.work[1:]
			back[first] = true
			most.amount -= work[first].Amount
			ahead -= work[first].Amount
		}
	}
	return back
}

// selection is what of an account's work is served.
type selection struct {
	weight fleet.Weight
	amount Amount
	// work holds the indices of what may be put back.
	work []int
}

// heaviest returns the account with the most for its weight among those that can give way.
func heaviest(accounts map[fleet.ClientAccountID]*selection) *selection {
	var most *selection
	for _, a := range accounts {
		if len(a.work) == 0 {
			continue
		}
		if most == nil {
			most = a
			continue
		}
		mine, other := float64(a.amount)/float64(a.weight), float64(most.amount)/float64(most.weight)
		if mine > other || mine == other && a.work[0] < most.work[0] {
			most = a
		}
	}
	return most
}

// Meter finds the jobs that an account submits beyond its weight in jobs a second, over meterSeconds. Seconds are those of
// the time of acceptance, whatever entry has stamped it, so that clocks that differ merely shift them.
type Meter struct {
	weights Weights
	seconds map[second]int
	latest  int64
}

type second struct {
	account fleet.ClientAccountID
	unix    int64
}

const (
	// meterSeconds is how long an account may make up for what it has not submitted: after an outage of some seconds its
	// callers submit all at once.
	meterSeconds = 10
	// keptSeconds is how many seconds are remembered, for entries whose clocks differ.
	keptSeconds = 3 * meterSeconds
)

// SetWeights replaces the weights. Jobs that were submitted before keep their place.
func (m *Meter) SetWeights(w Weights) { m.weights = w }

// Submit counts a job and reports whether it is beyond the account's weight. Without weights no job is.
func (m *Meter) Submit(account fleet.ClientAccountID, at time.Time) bool {
	weight, ok := m.weights[account]
	if !ok {
		return false
	}
	if m.seconds == nil {
		m.seconds = map[second]int{}
	}
	unix := at.Unix()
	m.seconds[second{account, unix}]++
	m.forget(unix)
	jobs := 0
	for n := range int64(meterSeconds) {
		jobs += m.seconds[second{account, unix - n}]
	}
	return jobs > meterSeconds*int(weight)
}

// forget removes old seconds once for each new one.
func (m *Meter) forget(unix int64) {
	if unix <= m.latest {
		return
	}
	m.latest = unix
	for s := range m.seconds {
		if s.unix < unix-keptSeconds {
			delete(m.seconds, s)
		}
	}
}
