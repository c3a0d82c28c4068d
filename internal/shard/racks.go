package shard

import (
	"math"
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/nearness"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// rackLoad is how much of a rack's room is in use and asked for.
type rackLoad struct {
	// capacity is that of the workers that may get work, present the share of it that is in use, mean the mean of that.
	capacity   float64
	present    float64
	mean       float64
	observedAt time.Time
	// work is that of the tasks with data on the rack, in millicore-seconds, less what has decayed until workAt.
	work   float64
	workAt time.Time
}

// loadWindow is the time over which the load of racks is averaged.
const loadWindow = 5 * time.Second

// rack returns the load of a rack.
func (e *Engine) rack(id fleet.RackID) *rackLoad {
	l := e.near.racks[id]
	if l == nil {
		l = &rackLoad{}
		e.near.racks[id] = l
	}
	return l
}

// rackLoad returns what is known of the load of a rack.
func (e *Engine) rackLoad(id fleet.RackID) *rackLoad {
	if l := e.near.racks[id]; l != nil {
		return l
	}
	return &rackLoad{}
}

// add counts a task with data on the rack.
func (l *rackLoad) add(now time.Time, demand fleet.Millicores, takes time.Duration) {
	l.work, l.workAt = l.work*decay(now.Sub(l.workAt))+float64(demand)*takes.Seconds(), now
}

// demand returns the work of the tasks with data on the rack as a share of what it can do.
func (l *rackLoad) demand(now time.Time) float64 {
	if l.capacity <= 0 {
		return 0
	}
	return l.work * decay(now.Sub(l.workAt)) / loadWindow.Seconds() / l.capacity
}

// decay returns what is left after a time of what is averaged over loadWindow.
func decay(d time.Duration) float64 { return math.Exp(-d.Seconds() / loadWindow.Seconds()) }

// observeRacks updates which share of each rack is in use, once places near data have been decided on.
func (e *Engine) observeRacks(now time.Time) {
	if e.Bounds.FarFactor <= 1 || len(e.near.racks) == 0 {
		return
	}
	used := map[fleet.RackID]float64{}
	for _, l := range e.near.racks {
		l.capacity = 0
	}
	for _, w := range e.sorted() {
		if !w.inService(now) || w.Capacity.Millicores <= 0 {
			continue
		}
		e.rack(w.Rack).capacity += float64(w.Capacity.Millicores)
		used[w.Rack] += float64(dominantDemand(w.used, w.Capacity))
	}
	for id, l := range e.near.racks {
		switch {
		case l.capacity > 0:
			left := decay(now.Sub(l.observedAt))
			l.present = used[id] / l.capacity
			l.mean, l.observedAt = l.mean*left+l.present*(1-left), now
		case now.Sub(l.workAt) > 10*loadWindow:
			delete(e.near.racks, id) // Jobs may name racks that do not exist.
		}
	}
}

// othersLoad returns the load of all racks but one.
func (e *Engine) othersLoad(but fleet.RackID) rackLoad {
	var all rackLoad
	for id, l := range e.near.racks {
		if id != but {
			all.capacity += l.capacity
			all.present += l.present * l.capacity
			all.mean += l.mean * l.capacity
		}
	}
	if all.capacity > 0 {
		all.present, all.mean = all.present/all.capacity, all.mean/all.capacity
	}
	return all
}

// share returns the share that is in use while the load rises or between two tasks.
func (l rackLoad) share() float64 { return max(l.present, l.mean) }

// places returns how many tasks of a demand the room holds.
func (l rackLoad) places(demand fleet.Millicores) int {
	return int(l.capacity / float64(max(demand, minWaitingDemand)))
}

// placesOn returns when places for a step's tasks are expected to become free on a rack. Workers that are to leave, do
// not answer, or are on probation give none.
func (e *Engine) placesOn(now time.Time, rack fleet.RackID, id fleet.TaskID, step *fleet.Step) []time.Duration {
	var list []time.Duration
	for _, w := range e.sorted() {
		if w.Rack == rack {
			list = e.appendPlaces(now, list, w, id, step)
		}
	}
	slices.Sort(list) // Once for all tasks of the step.
	return list
}

// racksFor returns for each rack that can hold all tasks of a step when it is expected to.
func (e *Engine) racksFor(now time.Time, ids []fleet.TaskID, step *fleet.Step) []time.Duration {
	byRack := map[fleet.RackID][]time.Duration{}
	for _, w := range e.sorted() {
		byRack[w.Rack] = e.appendPlaces(now, byRack[w.Rack], w, ids[0], step)
	}
	var list []time.Duration
	for _, places := range byRack {
		if len(places) >= len(ids) {
			slices.Sort(places)
			list = append(list, places[len(ids)-1])
		}
	}
	return list
}

// appendPlaces appends when a worker is expected to have room for each of the tasks of a step that it can hold.
func (e *Engine) appendPlaces(now time.Time, list []time.Duration, w *worker, id fleet.TaskID, step *fleet.Step) []time.Duration {
	need := step.CountedDemand()
	if !w.described || w.Draining || now.Before(w.cordonedUntil) || w.onProbation() || !w.hasLabel(step.RequiredLabel) || !need.Fits(w.Capacity) {
		return list
	}
	at := max(0, w.fullUntil.Sub(now), w.ejectedUntil.Sub(now))
	switch {
	case w.reachable(now):
	case w.contacted || now.Sub(w.firstSeen) > contactTimeout:
		return list
	default:
		at = max(at, contactTimeout-now.Sub(w.firstSeen))
	}
	if entry := e.jobs[id.Job]; entry != nil && e.policy(entry.job).NeedsTickets {
		if _, ok := e.ticket(now, StepID{id.Job, id.Occurrence, id.Step}, w); !ok {
			return list
		}
	}
	free, allowed := w.free(), math.MaxInt
	if step.MaxPerEndpoint > 0 {
		allowed = step.MaxPerEndpoint - w.count(id)
	}
	fill := func(at time.Duration) {
		for ; allowed > 0 && need.Fits(free) && len(list) < maxPlaces; allowed-- {
			free = free.Minus(need)
			list = append(list, at)
		}
	}
	fill(at)
	for _, end := range e.endsOn(now, w) {
		free = free.Plus(end.run.step.CountedDemand())
		if step.MaxPerEndpoint > 0 && sameStep(end.run.id, id) {
			allowed++
		}
		fill(max(at, end.after))
	}
	return list
}

// maxPlaces bounds the places that are listed for one rack. It covers steps without a demand of their own.
const maxPlaces = 4096

// expectedEnd is when a run is expected to end.
type expectedEnd struct {
	run   *assignment
	after time.Duration
}

// endsOn returns when the runs of a worker are expected to end, the first one first. Lasting runs have no end. It is the
// same for all steps of a placement while the worker's runs are.
func (e *Engine) endsOn(now time.Time, w *worker) []expectedEnd {
	if w.endsAt.Equal(now) {
		return w.ends
	}
	list := w.ends[:0]
	for id, a := range w.runs {
		o := e.occurrence(id)
		switch {
		case a.phase == phaseStopping:
			list = append(list, expectedEnd{a, e.Bounds.StopTime})
		case a.step.Lasting || o == nil:
		default:
			takes := e.expected(o.Job.Queue, &a.step)
			if e.runsFar(o, w, a) {
				takes = time.Duration(float64(takes) * e.Bounds.FarFactor)
			}
			list = append(list, expectedEnd{a, nearness.Remaining(takes, since(now, a.startedAt), e.deviation(o.Job.Queue, &a.step))})
		}
	}
	slices.SortFunc(list, func(a, b expectedEnd) int { return int(a.after - b.after) })
	w.ends, w.endsAt = list, now
	return list
}
