package shard

import (
	"container/heap"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

const (
	// backlogSteps is the number of waiting steps above which placement runs less often.
	backlogSteps = 40
	// backlogInterval is the shortest time between placements with a backlog. Work in a long queue loses nothing
	// by it, and a small VM has little processor time.
	backlogInterval = 20 * time.Millisecond
	// pausePerStep and maxRankInterval determine the time between two rankings of the waiting steps, each of which takes
	// about a microsecond: otherwise a long queue takes the processor from the work that ends it.
	pausePerStep    = 100 * time.Microsecond
	maxRankInterval = 400 * time.Millisecond
	// planInterval is the shortest time between placements without one. Each goes through all active jobs, and at a
	// peak thousands of answers arrive in a second.
	planInterval = 10 * time.Millisecond
)

// Plan assigns waiting tasks to endpoints. It is called after each batch of events.
func (e *Engine) Plan(now time.Time) {
	e.planDue = time.Time{}
	if e.batch != nil && len(e.batch.planned) > 0 && len(e.dirty) > maxBatchRows {
		return // The commit is what is waited for.
	}
	interval := planInterval
	if e.backlog > backlogSteps {
		interval = backlogInterval
	}
	if due := e.plannedAt.Add(interval); now.Before(due) {
		e.planDue = due
		return
	}
	if !e.Permitted(now) || !e.Current(now) {
		return
	}
	e.openDue(now)
	e.requestAdvice(now)
	e.countStarts(now)
	e.open = e.openWorkers(now)
	defer func() { e.open = nil }()
	e.plannedAt, e.runs = now, 0
	for _, w := range e.workers {
		e.runs += len(w.runs)
	}
	if e.isFull() {
		return
	}
	if now.Sub(e.rankedAt) >= e.rankInterval(now) {
		e.ranked = e.candidates(now, e.ranked)
		e.rankedAt, e.backlog = now, len(e.ranked)
		clear(e.near.ahead)
		e.countDemands(e.ranked)
		e.markShares(now, e.ranked)
		heap.Init(&e.ranked)
	}
	e.placeRanked(now)
}

// rankInterval returns the time between two rankings of the waiting steps. Each placement ranks them while the holder keeps
// up, since jobs that arrive in between would wait. Otherwise it is shorter once all of them were tried, so that what
// becomes free is used.
func (e *Engine) rankInterval(now time.Time) time.Duration {
	if !e.starts.isOverloaded(now) {
		return 0
	}
	interval := min(time.Duration(e.backlog)*pausePerStep, maxRankInterval)
	if e.triedAll {
		interval /= 4
	}
	return interval
}

// placeRanked places the waiting steps in their order. Those that the window leaves no room for stay for the next
// placement, and so do lasting ones and those that start at once, or others would take what becomes free for them.
func (e *Engine) placeRanked(now time.Time) {
	skip, again := unplaceable{}, []candidate{}
	for len(e.ranked) > 0 && !e.isFull() {
		c := e.ranked.next()
		if !c.occurrence.Ready(c.step) {
			continue // It has ended since it was ranked.
		}
		step := c.occurrence.Job.Steps[c.step]
		together, known := step.Gang || step.SameRack, len(skip.demands)
		if together {
			e.placeTogether(now, c, step)
		} else {
			e.placeEach(now, c, step, &skip)
		}
		if len(skip.demands) > known {
			e.ranked.remove(func(c candidate) bool { return e.isCovered(c, &skip) })
		}
		if (c.lasting || together || e.isFull()) && waiting(c.occurrence.Tasks[c.step]) {
			again = append(again, c)
		}
	}
	e.triedAll = len(e.ranked) == 0
	for _, c := range again {
		heap.Push(&e.ranked, c)
	}
}

// PlanDue returns when Plan is to be called again because the last call came too soon; zero when it did not.
func (e *Engine) PlanDue() time.Time { return e.planDue }

// unplaceable holds the demands that fit on no endpoint in this round, so that equal or larger tasks are
// skipped without another search.
type unplaceable struct{ demands []fleet.Capacity }

func (u *unplaceable) covers(r fleet.Capacity) bool {
	for _, s := range u.demands {
		if s.Fits(r) {
			return true
		}
	}
	return false
}

func (e *Engine) placeEach(now time.Time, c candidate, step fleet.Step, skip *unplaceable) {
	plain := e.isPlain(c)
	if plain && skip.covers(step.CountedDemand()) {
		return
	}
	var last *worker
	for t := range c.occurrence.Tasks[c.step] {
		task := &c.occurrence.Tasks[c.step][t]
		if task.Done || task.Running() {
			continue
		}
		if e.isFull() || !e.allows(c.occurrence.Job, step, 1) {
			return
		}
		id := c.occurrence.ID(c.step, fleet.TaskIndex(t))
		w := last
		if !e.staysBest(now, id, step, last) {
			w = e.choose(now, id, step, nil)
		}
		if w == nil {
			if plain {
				skip.demands = append(skip.demands, step.CountedDemand())
			}
			if step.Lasting {
				e.preempt(now, id, step)
			}
			if step.DataRack != "" {
				e.near.ahead[step.DataRack] += countWaiting(c.occurrence.Tasks[c.step])
			}
			return
		}
		if e.waitsNear(now, c, id, &step, w) {
			last = nil
			continue
		}
		e.assign(now, c.occurrence, id, step, w)
		last = nil
		if e.avoid[id] == "" {
			last = w
		}
	}
}

// staysBest reports whether the worker that choose has returned for a task of a step is the best one for another task
// too, where neither has an endpoint to avoid. The first one has only raised its score, so that the workers need not be
// compared again.
func (e *Engine) staysBest(now time.Time, id fleet.TaskID, step fleet.Step, w *worker) bool {
	if w == nil || step.Fill || step.TailTarget > 0 || e.avoid[id] != "" {
		return false
	}
	return w.usable(now) && step.CountedDemand().Fits(w.free()) && (step.MaxPerEndpoint == 0 || w.count(id) < step.MaxPerEndpoint) &&
		w.acceptsTrial(now, id, step)
}

// assign plans the next run of a task on a worker.
func (e *Engine) assign(now time.Time, o *job.Occurrence, id fleet.TaskID, step fleet.Step, w *worker) {
	run := o.Start(id, w.Process())
	isFar := step.DataRack != "" && w.Rack != step.DataRack
	w.add(&assignment{
		id: id, run: run, account: o.Job.Account, process: w.Process(), step: step, phase: phasePlanned, plannedAt: now, pace: 100, evidence: EvidenceNone,
		isFar: isFar,
	})
	e.placedByData(now, o.Job.Queue, id, &step, isFar)
	if e.open != nil {
		e.open[w.openIndex].free = w.free()
	}
	e.starts.outstanding++
	e.runs++
	e.planned = append(e.planned, plannedRun{w.Process(), id, run})
	e.dirty[o.Key()] = true
	e.Observer.Assigned(id, run, w.Process(), now.Sub(o.Job.Due(o.Number)))
}

// choose returns the best worker for one more task of a step, or nil when none has room.
func (e *Engine) choose(now time.Time, id fleet.TaskID, step fleet.Step, allowed func(*worker) bool) *worker {
	var best *worker
	var bestScore float64
	need := step.CountedDemand()
	needsTicket := e.jobs[id.Job] != nil && e.policy(e.jobs[id.Job].job).NeedsTickets
	open := e.open
	if open == nil {
		open = e.openWorkers(now)
	}
	for i := range open {
		if !need.Fits(open[i].free) {
			continue
		}
		w := open[i].worker
		if allowed != nil && !allowed(w) || e.passesOver(now, w, id, &step, needsTicket) != "" {
			continue
		}
		if score := e.score(now, w, id, step); best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// openWorker is a worker that may get work. What becomes free during a placement is used in the next one.
type openWorker struct {
	worker *worker
	free   fleet.Capacity
}

// openWorkers returns the workers that may get work, sorted by id. Each placement goes through them many times, in a
// list that fits into the processor's cache.
func (e *Engine) openWorkers(now time.Time) []openWorker {
	e.openBuffer = e.openBuffer[:0]
	for _, w := range e.sorted() {
		if e.unusable(now, w) == "" {
			w.openIndex = len(e.openBuffer)
			e.openBuffer = append(e.openBuffer, openWorker{w, w.free()})
		}
	}
	return e.openBuffer
}

// Weights of the score of a worker. The used share of the processor lies between 0 and 1, so each weight
// above 1 outranks it.
const (
	dataRackWeight     = 8
	avoidWeight        = 6
	interferenceWeight = 2
	probationWeight    = 3
	longLeaseWeight    = 4
)

// score rates a worker for a task; higher is better. Workers are filled up one by one, so that others stay
// empty for large tasks and for pools that need them more.
func (e *Engine) score(now time.Time, w *worker, id fleet.TaskID, step fleet.Step) float64 {
	score := 0.0
	if w.Capacity.Millicores > 0 {
		score = float64(w.used.Millicores) / float64(w.Capacity.Millicores)
	}
	if step.DataRack != "" && w.Rack == step.DataRack {
		score += dataRackWeight
	}
	if e.avoid[id] == w.Endpoint {
		score -= avoidWeight
	}
	if w.onProbation() || w.failures > 0 {
		score -= probationWeight
	}
	if step.Lasting && w.mayHoldLongLease(now, e.leaseLength()) {
		score -= longLeaseWeight
	}
	if step.Fill || step.TailTarget > 0 {
		score -= float64(interferenceWeight * w.interfering(step))
	}
	return score
}

// interfering counts the runs of a worker with which a task of the step would interfere: fill tasks and
// serving tasks slow each other down.
func (w *worker) interfering(step fleet.Step) int {
	n := 0
	for _, a := range w.runs {
		if step.Fill && a.step.TailTarget > 0 || step.TailTarget > 0 && a.step.Fill {
			n++
		}
	}
	return n
}
