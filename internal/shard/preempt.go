package shard

import (
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// preempt makes room for a lasting task by stopping other tasks on one worker, the most recently started
// first, because they lose the least work.
func (e *Engine) preempt(now time.Time, id fleet.TaskID, step fleet.Step) {
	var best *worker
	var victims []*assignment
	for _, w := range e.sorted() {
		if !w.inService(now) || !w.hasLabel(step.RequiredLabel) || step.MaxPerEndpoint > 0 && w.count(id) >= step.MaxPerEndpoint {
			continue
		}
		list := w.victims(now, step)
		if list != nil && (best == nil || len(list) < len(victims)) {
			best, victims = w, list
		}
	}
	for _, a := range victims {
		e.stop(now, best, a.id)
	}
}

// victims returns the most recently started tasks, as few as make room for a task of the step, or nil when all
// of them are not enough or room becomes free anyway. A task on trial is always one of them, because the worker takes
// no other one beside it.
func (w *worker) victims(now time.Time, step fleet.Step) []*assignment {
	free := w.free()
	var victims, running []*assignment
	for _, a := range w.runs {
		onTrial := w.onProbation() && a.isOnTrial(now)
		switch {
		case a.phase == phaseStopping:
			free = free.Plus(a.step.CountedDemand())
		case onTrial && a.step.Lasting:
			return nil
		case onTrial:
			victims = append(victims, a)
			free = free.Plus(a.step.CountedDemand())
		case !a.step.Lasting:
			running = append(running, a)
		}
	}
	slices.SortFunc(running, func(a, b *assignment) int { return b.startedAt.Compare(a.startedAt) })
	for _, a := range running {
		if step.CountedDemand().Fits(free) {
			break
		}
		victims = append(victims, a)
		free = free.Plus(a.step.CountedDemand())
	}
	if !step.CountedDemand().Fits(free) {
		return nil
	}
	return victims
}
