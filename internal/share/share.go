// Package share decides which work of client accounts comes behind that of others while there is not room for all. It
// uses no network, clock or logger.
package share

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Weights holds the weights of the client accounts: the jobs that each may submit in a second, and its part of the room
// when that is short. An account without an entry is one that no configuration names any more.
type Weights map[fleet.ClientAccountID]fleet.Weight

// Amount is processor capacity, or the part of it that corresponds to another resource.
type Amount float64

// Claim is what the work of an account asks for.
type Claim struct {
	Weight fleet.Weight
	// Amount is what runs and waits.
	Amount Amount
}

// Level is an amount for each unit of weight.
type Level float64

// Unbounded is the level where there is room for all.
const Unbounded = Level(math.MaxFloat64)

// Fill returns the level up to which the claims are met by max-min fairness: an account that asks for less than its part
// leaves the rest to the others. Claims without a weight are met from what is left.
func Fill(room Amount, claims []Claim) Level {
	var weights float64
	weighed := make([]Claim, 0, len(claims))
	for _, c := range claims {
		if c.Weight > 0 && c.Amount > 0 {
			weighed = append(weighed, c)
			weights += float64(c.Weight)
		}
	}
	slices.SortFunc(weighed, func(a, b Claim) int { return cmp.Compare(LevelOf(a.Amount, a.Weight), LevelOf(b.Amount, b.Weight)) })
	left := float64(room)
	for _, c := range weighed {
		if level := Level(left / weights); LevelOf(c.Amount, c.Weight) > level {
			return max(0, level)
		}
		left -= float64(c.Amount)
		weights -= float64(c.Weight)
	}
	return Unbounded
}

// LevelOf returns the level that an amount reaches at a weight.
func LevelOf(a Amount, w fleet.Weight) Level {
	if w <= 0 {
		return Unbounded
	}
	return Level(float64(a) / float64(w))
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

// forget removes old seconds once for each new one. After a time ahead of the present no second is new, so others than
// those around the present are removed once there are more than what the accounts use.
func (m *Meter) forget(unix int64) {
	ahead := len(m.seconds) > 2*keptSeconds*len(m.weights)
	if unix <= m.latest && !ahead {
		return
	}
	m.latest = unix
	for s := range m.seconds {
		if s.unix < unix-keptSeconds || ahead && s.unix > unix+keptSeconds {
			delete(m.seconds, s)
		}
	}
}
