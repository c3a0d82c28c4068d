package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Processor time of a holder's work on a whole core. The costs of the engine and the observer are those that the benchmarks
// print, the others are assumed.
const (
	costAnnounce = 200 * time.Microsecond
	costAccept   = 5 * time.Microsecond
	costAnswer   = 2 * time.Microsecond
	costList     = 6 * time.Microsecond
	costEndpoint = 2 * time.Microsecond
	// costJob is what a ranking or a load takes for each job that has not ended, costAssign what a placement takes for each
	// task that is assigned.
	costJob    = 1350 * time.Nanosecond
	costAssign = 7 * time.Microsecond
	costRow    = 15 * time.Microsecond
	costWrite  = 400 * time.Microsecond
)

// busyHolder is a holder with a part of a core. Its scheduler and its senders take turns.
type busyHolder struct {
	*peak
	percent     time.Duration
	queue       []func()
	isScheduled bool
}

func newBusyHolder(endpoints int, percent time.Duration) *busyHolder {
	capacity := fleet.Capacity{Millicores: 64000, Memory: 256000}
	h := &busyHolder{peak: newPeak(1, endpoints, capacity), percent: percent}
	h.senders = func(do func()) { h.queue = append(h.queue, do) }
	h.spend = h.charge
	h.work = func(step peakStep, do func()) {
		assigned, rows := h.counts.assigned, h.counts.rows
		do()
		h.charge(h.cost(step, h.counts.assigned-assigned, h.counts.rows-rows))
	}
	return h
}

// charge lets the time pass that a piece of work takes.
func (h *busyHolder) charge(d time.Duration) {
	h.now = h.now.Add(d * 100 / h.percent)
}

func (h *busyHolder) cost(step peakStep, assigned, rows int) time.Duration {
	endpoints, jobs := time.Duration(len(h.endpoints)), time.Duration(h.accepted-h.counts.jobs)
	switch step {
	case stepAccept:
		return costAccept
	case stepAnswers, stepCommitted:
		return costAnswer
	case stepLists:
		return costList
	case stepTick, stepRegistry:
		return endpoints * costEndpoint
	case stepLoad:
		return endpoints*costEndpoint + jobs*costJob
	case stepPlan:
		cost := time.Duration(assigned) * costAssign
		if h.engine.RankedAt().Equal(h.now) {
			cost += jobs * costJob
		}
		return cost
	case stepWrite:
		return costWrite + time.Duration(rows)*costRow
	}
	return 0
}

// play offers jobs at a rate and returns what was achieved in the last ten of twenty seconds.
func (h *busyHolder) play(jobsPerSecond int) peakCounts {
	interval := time.Second / time.Duration(jobsPerSecond)
	var offer func()
	offer = func() {
		h.after(interval, offer)
		h.senders(func() {
			h.charge(costAnnounce)
			h.submit()
		})
	}
	h.after(time.Second, offer)
	h.until(fakeEpoch.Add(10 * time.Second))
	before := h.counts
	h.until(fakeEpoch.Add(20 * time.Second))
	after := h.counts
	after.ended -= before.ended
	after.assigned -= before.assigned
	after.jobs -= before.jobs
	after.inTime -= before.inTime
	after.stale -= before.stale
	return after
}

func (h *busyHolder) until(end time.Time) {
	for h.now.Before(end) {
		h.advance()
		if !h.isScheduled && (len(h.inbox) > 0 || !h.now.Before(h.wakeAt())) {
			h.isScheduled = true
			h.queue = append(h.queue, func() {
				h.isScheduled = false
				h.round()
			})
		}
		if len(h.queue) > 0 {
			next := h.queue[0]
			h.queue = h.queue[1:]
			next()
			continue
		}
		wake := h.wakeAt()
		if len(h.outside.events) > 0 && h.outside.events[0].at.Before(wake) {
			wake = h.outside.events[0].at
		}
		if wake.After(h.now) {
			h.now = wake
		} else {
			h.now = h.now.Add(time.Microsecond)
		}
	}
}

// wakeAt returns when the scheduler is due to run again.
func (h *busyHolder) wakeAt() time.Time {
	wake := h.tickAt
	if !h.dueAt.IsZero() && h.dueAt.Before(wake) {
		wake = h.dueAt
	}
	return wake
}

// Guards against a holder that does less the more is asked of it, once its processor is busy: a long queue takes the
// processor from the work that ends it, lapsed leases and dropped starts make tasks dearer, lasting tasks wait behind others.
func TestPeakOfTwiceTheProcessorKeepsThroughput(t *testing.T) { testPeakKeepsThroughput(t, 2) }

// Guards against the same at a load under which thousands of jobs wait.
func TestPeakOfFourTimesTheProcessorKeepsThroughput(t *testing.T) { testPeakKeepsThroughput(t, 4) }

func testPeakKeepsThroughput(t *testing.T, times int) {
	t.Helper()
	const percent, atCapacity, lasting = 40, 60, 40
	is := is.New(t)
	capacity := newBusyHolder(250, percent).play(atCapacity)
	h := newBusyHolder(250, percent)
	h.after(5*time.Second, func() { h.submitLasting(lasting) })
	c := h.play(times * atCapacity)
	t.Logf("tasks a second that end: %d, at capacity %d; that start: %d, too old: %d; jobs a second: %d, in time %d",
		c.ended/10, capacity.ended/10, c.assigned/10, c.stale/10, c.jobs/10, c.inTime/10)
	is.Equal(h.lapses(), 0)
	is.Equal(len(h.lastingAt), lasting)
	for _, at := range h.lastingAt {
		// The rules let a lasting task that has room stand still for three seconds.
		is.True(at.Sub(fakeEpoch) < 8*time.Second)
	}
	// What the announcements of further jobs take is not there for tasks.
	announced := float64((times-1)*atCapacity) * costAnnounce.Seconds() * 100 / percent
	is.True(float64(c.ended) >= float64(capacity.ended)*(1-announced))
}

// lapses counts the runs that ended because their lease expired.
func (h *busyHolder) lapses() int {
	n := 0
	for _, e := range h.endpoints {
		n += e.lapsed
	}
	return n
}
