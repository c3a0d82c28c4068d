package shard

import (
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// placeTogether assigns all waiting tasks of a step at once, or none. The members of a gang restart together,
// once no earlier run is left.
func (e *Engine) placeTogether(now time.Time, c candidate, step fleet.Step) {
	o := c.occurrence
	var ids []fleet.TaskID
	var highest fleet.RunNumber
	for t := range o.Tasks[c.step] {
		task := &o.Tasks[c.step][t]
		highest = max(highest, task.Run)
		if task.Running() && step.Gang {
			return
		}
		if !task.Done && !task.Running() {
			ids = append(ids, o.ID(c.step, fleet.TaskIndex(t)))
		}
	}
	if !e.allows(o.Job, step, len(ids)) {
		return
	}
	chosen := e.chooseTogether(now, c, ids, step)
	if chosen == nil {
		return
	}
	delete(e.rackWaits, StepID{o.Job.ID, o.Number, c.step})
	isSpread := step.SameRack && slices.ContainsFunc(chosen, func(w *worker) bool { return w.Rack != chosen[0].Rack })
	for i, id := range ids {
		if step.Gang {
			o.Task(id).Run = highest
		}
		e.assign(now, o, id, step, chosen[i])
		a := chosen[i].runs[id]
		a.isFar = a.isFar || isSpread
	}
}

// chooseTogether returns a worker for each task, or nil. When the step sets SameRack, the workers share a rack,
// unless no rack could ever hold the step or the wait for one takes too long.
func (e *Engine) chooseTogether(now time.Time, c candidate, ids []fleet.TaskID, step fleet.Step) []*worker {
	if !step.SameRack {
		return e.chooseAll(now, ids, step, nil)
	}
	if chosen := e.chooseOneRack(now, ids, step); chosen != nil {
		return chosen
	}
	// On several racks the tasks run slower, which is better than never.
	if !e.fitsOneRack(now, len(ids), step) {
		return e.chooseAll(now, ids, step, nil)
	}
	if !e.decidesNear(&step) {
		if e.awaitsRack(now, ids[0], step) {
			return nil
		}
		return e.chooseAll(now, ids, step, nil)
	}
	spread := e.chooseAll(now, ids, step, nil)
	if spread != nil && e.waitsForRack(now, c, ids, &step) {
		return nil
	}
	return spread
}

// chooseOneRack returns a worker for each task, all on one rack, or nil.
func (e *Engine) chooseOneRack(now time.Time, ids []fleet.TaskID, step fleet.Step) []*worker {
	racks := map[fleet.RackID]bool{}
	for _, w := range e.sorted() {
		if racks[w.Rack] {
			continue
		}
		racks[w.Rack] = true
		if chosen := e.chooseAll(now, ids, step, func(o *worker) bool { return o.Rack == w.Rack }); chosen != nil {
			return chosen
		}
	}
	return nil
}

// maxRackWait bounds the wait of a step for a rack, however long its tasks run.
const maxRackWait = 2 * time.Second

// awaitsRack reports whether a step is to wait for room on one rack: for as long as its tasks run at most, which is
// about what they lose on several racks.
func (e *Engine) awaitsRack(now time.Time, id fleet.TaskID, step fleet.Step) bool {
	key := StepID{id.Job, id.Occurrence, id.Step}
	since, waiting := e.rackWaits[key]
	if !waiting {
		e.rackWaits[key], since = now, now
	}
	return now.Sub(since) < min(e.expectedStep(e.jobs[id.Job].job.Queue, &step), maxRackWait)
}

// contactTimeout is how long an endpoint that has not answered yet is expected to answer: it may just have started,
// or a new holder may not have reached it. After that it may not exist.
const contactTimeout = 5 * time.Second

// fitsOneRack reports whether the endpoints of any rack, if empty, could hold the tasks.
func (e *Engine) fitsOneRack(now time.Time, tasks int, step fleet.Step) bool {
	room := map[fleet.RackID]int{}
	for _, w := range e.workers {
		if !w.described || w.Draining || !w.hasLabel(step.RequiredLabel) || !w.contacted && now.Sub(w.firstSeen) > contactTimeout {
			continue
		}
		free, n := w.Capacity, 0
		for step.CountedDemand().Fits(free) && n < tasks && (step.MaxPerEndpoint == 0 || n < step.MaxPerEndpoint) {
			free = free.Minus(step.CountedDemand())
			n++
		}
		room[w.Rack] += n
	}
	for _, n := range room {
		if n >= tasks {
			return true
		}
	}
	return false
}

// chooseAll returns a worker for each task, or nil. It reserves the workers in turn and releases them before
// it returns.
func (e *Engine) chooseAll(now time.Time, ids []fleet.TaskID, step fleet.Step, allowed func(*worker) bool) []*worker {
	chosen := make([]*worker, 0, len(ids))
	defer func() {
		for i, w := range chosen {
			w.remove(ids[i])
		}
	}()
	for _, id := range ids {
		w := e.choose(now, id, step, allowed)
		if w == nil {
			return nil
		}
		w.add(&assignment{id: id, step: step})
		chosen = append(chosen, w)
	}
	return slices.Clone(chosen)
}
