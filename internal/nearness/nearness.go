// Package nearness decides how long a task waits for a place near its data, or a step for one rack. A task runs longer
// elsewhere by a factor, and a wait costs time too. The decisions use no network, clock or logger.
package nearness

import (
	"math"
	"slices"
	"time"
)

// Question is what is known of a task that has room elsewhere and none near its data.
type Question struct {
	// Run is the expected run time near the data.
	Run time.Duration
	// Factor is how many times as long the task runs elsewhere.
	Factor float64
	// Near lists when places near the data are expected to become free, in any order.
	Near []time.Duration
	// Ahead is the number of tasks that get such a place first.
	Ahead int
	// Error is the standard deviation of the logarithm of run times.
	Error float64
	// Waited is how long the task has waited for a place near its data.
	Waited time.Duration
	// Spare is by how much the job may be delayed and still meet its objective; negative when it is late already.
	Spare time.Duration
	// Home is the work that arrives for the places near the data, as a share of what they can do.
	Home float64
	// Away is the share of the room elsewhere that is in use, Places how many such tasks that room holds. A share of the
	// present alone falls with each gap between tasks, a mean alone lags while the load rises: the larger one is meant.
	Away   float64
	Places int
}

// Reason tells why a task waits or runs elsewhere.
type Reason string

// Reasons.
const (
	// ReasonPays means that the wait costs less than it saves.
	ReasonPays Reason = "wait-pays"
	// ReasonTooLong means that it costs more.
	ReasonTooLong Reason = "wait-too-long"
	// ReasonObjective means that the task would miss the objective that it meets elsewhere.
	ReasonObjective Reason = "objective"
	// ReasonWaited means that the task has waited for as long as a wait may take.
	ReasonWaited Reason = "waited"
	// ReasonNoPlace means that no place near the data is expected to become free.
	ReasonNoPlace Reason = "no-place"
	// ReasonNoGain means that the task runs as fast elsewhere.
	ReasonNoGain Reason = "no-gain"
)

// Answer is the decision on a question.
type Answer struct {
	Wait   bool
	Reason Reason
	// Expected is the expected wait for a place near the data. Costs is what such a wait costs with the waits of the
	// tasks that come later, Saves what it saves with the room that is left to other tasks.
	Expected, Costs, Saves time.Duration
}

// Policy compares what a wait costs with what it saves. The zero value is ready to use.
type Policy struct{}

// MaxWait bounds the wait of a task, whatever is expected of the rack: an endpoint that has not answered for as long is
// not expected to any more.
const MaxWait = 5 * time.Second

// Decide returns whether a task waits.
func (Policy) Decide(q Question) Answer {
	gain := float64(q.Run) * (q.Factor - 1)
	room := price(q.Away, q.Places) * q.Factor * float64(q.Run)
	a := Answer{Saves: duration(gain + room)}
	switch {
	case gain <= 0:
		a.Reason = ReasonNoGain
		return a
	case len(q.Near) == 0:
		a.Reason = ReasonNoPlace
		return a
	}
	a.Expected = q.wait(a.Saves)
	a.Costs = duration(float64(a.Expected) * crowding(q.Ahead+1, q.Home))
	late := float64(a.Expected) * math.Exp(q.Error)
	switch {
	case q.Waited >= MaxWait:
		a.Reason = ReasonWaited
	case a.Costs >= a.Saves:
		a.Reason = ReasonTooLong
	case room < gain && gain <= float64(q.Spare) && late > float64(q.Spare):
		a.Reason = ReasonObjective
	default:
		a.Wait, a.Reason = true, ReasonPays
	}
	return a
}

// wait returns when a place near the data is expected to be free for the task, after those ahead have had theirs, or
// some time after the limit.
func (q Question) wait(limit time.Duration) time.Duration {
	near := q.Near
	if !slices.IsSorted(near) {
		near = slices.Sorted(slices.Values(near))
	}
	// Each task ahead takes the earliest place and frees it after a run. Places are taken in ascending order, so those
	// that are free again are ascending too.
	var again []time.Duration
	for ahead := q.Ahead; ; ahead-- {
		var next time.Duration
		isAgain := len(near) == 0 || len(again) > 0 && again[0] < near[0]
		if isAgain {
			next = again[0]
		} else {
			next = near[0]
		}
		if ahead <= 0 || next > limit {
			return next
		}
		if isAgain {
			again = again[1:]
		} else {
			near = near[1:]
		}
		again = append(again, next+max(q.Run, time.Millisecond))
	}
}

// crowding returns by how much the waits of all tasks at a rack exceed that of the last one in its queue, at which it
// pays for all of them that the task joins. A task that waits makes those wait that come later, so that a queue which
// each task joins as long as that pays for itself alone gains nothing (Naor, "The Regulation of Queue Size by Levying
// Tolls", 1969, for one server; the places of a rack are taken for one that is as fast as all of them).
func crowding(position int, home float64) float64 {
	n := float64(position)
	if math.Abs(1-home) < 1e-3 {
		return (n + 1) / 2
	}
	return (n*(1-home) - home*(1-math.Pow(home, n))) / ((1 - home) * (1 - home)) / n
}

// maxLoad bounds the load that prices are computed for; at 1 a queue has no end.
const maxLoad = 0.95

// price returns the time that others wait for each second that one more task holds one of the places of a room in use
// to a share: the derivative of the length of the queue by the load, with Sakasegawa's approximation of that length.
func price(used float64, places int) float64 {
	if places <= 0 {
		return 0
	}
	load := min(max(used, 0), maxLoad)
	power := math.Sqrt(2 * float64(places+1))
	idle := 1 - load
	return (power*math.Pow(load, power-1)/idle + math.Pow(load, power)/(idle*idle)) / float64(places)
}

// duration converts nanoseconds and bounds them, so that sums do not overflow.
func duration(ns float64) time.Duration {
	return time.Duration(min(ns, float64(time.Hour)))
}

// Remaining returns how long a run is expected to go on that is expected to take a time and has begun a while ago. A
// run that takes longer than expected is expected to go on for a part of the time that it has taken, which grows with
// the error of run times.
func Remaining(expected, elapsed time.Duration, deviation float64) time.Duration {
	overdue := time.Duration(float64(max(elapsed, 0)) * min(max(deviation, minDeviation), 1))
	return max(expected-elapsed, min(overdue, expected))
}

// minDeviation is the least error of run times that is reckoned with.
const minDeviation = 0.1
