package shard

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// candidate is a step with tasks that may start.
type candidate struct {
	occurrence *job.Occurrence
	step       fleet.StepIndex
	lasting    bool
	rank       job.Rank
}

// candidateQueue holds steps with waiting tasks. It implements heap.Interface by the order in which they are served:
// lasting tasks first, because they have to run however loaded the service is, then by rank. A placement at a peak serves
// a few of hundreds, so that they are not sorted.
type candidateQueue []candidate

// Len implements heap.Interface.
func (q *candidateQueue) Len() int { return len(*q) }

// Less implements heap.Interface.
func (q *candidateQueue) Less(i, k int) bool {
	a, b := &(*q)[i], &(*q)[k]
	switch {
	case a.lasting != b.lasting:
		return a.lasting
	case a.rank.Before(b.rank):
		return true
	case b.rank.Before(a.rank):
		return false
	}
	return compareSteps(a, b) < 0
}

// Swap implements heap.Interface.
func (q *candidateQueue) Swap(i, k int) { (*q)[i], (*q)[k] = (*q)[k], (*q)[i] }

// Push implements heap.Interface.
func (q *candidateQueue) Push(x any) { *q = append(*q, x.(candidate)) }

// Pop implements heap.Interface.
func (q *candidateQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// next removes and returns the first candidate. Unlike heap.Pop it allocates nothing.
func (q *candidateQueue) next() candidate {
	first, last := (*q)[0], len(*q)-1
	(*q)[0] = (*q)[last]
	*q = (*q)[:last]
	if last > 0 {
		heap.Fix(q, 0)
	}
	return first
}

// remove removes the candidates that a function selects.
func (q *candidateQueue) remove(selects func(candidate) bool) {
	*q = slices.DeleteFunc(*q, selects)
	heap.Init(q)
}

// candidates returns the steps with waiting tasks, in no order, in the memory of a list that is not needed any more.
func (e *Engine) candidates(now time.Time, list candidateQueue) candidateQueue {
	list = list[:0]
	for _, o := range e.active {
		if now.Before(o.Job.Due(o.Number)) {
			continue
		}
		rank, ranked := job.Rank{}, false
		for s := range o.Tasks {
			step := fleet.StepIndex(s)
			if !o.Ready(step) || !waiting(o.Tasks[s]) {
				continue
			}
			if !ranked {
				rank, ranked = e.rank(now, o), true
			}
			list = append(list, candidate{o, step, o.Job.Steps[s].Lasting, rank})
		}
	}
	return list
}

// rank returns the scheduling order of an occurrence.
func (e *Engine) rank(now time.Time, o *job.Occurrence) job.Rank {
	r := o.RankOf(now, e.policy(o.Job), func(s *fleet.Step) time.Duration { return e.expectedStep(o.Job.Queue, s) })
	if entry := e.jobs[o.Job.ID]; entry != nil {
		r.Excess = entry.excess
	}
	return r
}

func compareSteps(a, b *candidate) int {
	return cmp.Or(cmp.Compare(a.occurrence.Job.ID, b.occurrence.Job.ID), cmp.Compare(a.occurrence.Number, b.occurrence.Number),
		cmp.Compare(a.step, b.step))
}

func waiting(tasks []job.Task) bool {
	for i := range tasks {
		if !tasks[i].Done && !tasks[i].Running() {
			return true
		}
	}
	return false
}

// isPlain reports whether the tasks of a step may run on any endpoint with room.
func (e *Engine) isPlain(c candidate) bool {
	step := &c.occurrence.Job.Steps[c.step]
	return step.RequiredLabel == "" && step.MaxPerEndpoint == 0 && !e.policy(c.occurrence.Job).NeedsTickets
}

// isCovered reports whether a step is known to fit on no endpoint in this round.
func (e *Engine) isCovered(c candidate, skip *unplaceable) bool {
	step := &c.occurrence.Job.Steps[c.step]
	return !c.lasting && !step.Gang && !step.SameRack && skip.covers(step.CountedDemand()) && e.isPlain(c)
}
