package shard

import (
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/internal/nearness"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// NearPolicy decides whether a task that has room, though none near its data, waits for a place there.
type NearPolicy interface {
	Decide(q nearness.Question) nearness.Answer
}

// DataPlace tells where a task with data on a rack runs.
type DataPlace struct {
	Queue fleet.QueueID
	// Far is set for a place on another rack. Reason is that of the last decision, empty where none was taken.
	Far    bool
	Reason nearness.Reason
	// Waited is how long the task had room on other racks only.
	Waited time.Duration
}

// nearWaits is what decisions on places near data need to know beside the workers.
type nearWaits struct {
	// waits holds the tasks that wait although they have room on other racks.
	waits map[fleet.TaskID]nearWait
	// ahead counts by rack the tasks that were ranked before and wait for a place on it.
	ahead map[fleet.RackID]int
	racks map[fleet.RackID]*rackLoad
	// places are those near the data of a step, as they were expected at a placement.
	places   []time.Duration
	placesOf StepID
	placesAt time.Time
}

// nearWait is the wait of a task for a place near its data.
type nearWait struct {
	since  time.Time
	reason nearness.Reason
}

func newNearWaits() nearWaits {
	return nearWaits{waits: map[fleet.TaskID]nearWait{}, ahead: map[fleet.RackID]int{}, racks: map[fleet.RackID]*rackLoad{}}
}

// decidesNear reports whether waits of a step's tasks for near places are decided on. Lasting tasks have to run soon.
func (e *Engine) decidesNear(step *fleet.Step) bool {
	return e.Bounds.FarFactor > 1 && !step.Lasting
}

// asksNear reports whether a task that would run on a worker may wait for a place near its data instead. A task that has
// failed is not held up further.
func (e *Engine) asksNear(id fleet.TaskID, step *fleet.Step, w *worker) bool {
	return step.DataRack != "" && w.Rack != step.DataRack && e.decidesNear(step) && e.avoid[id] == ""
}

// nearQuestion returns what is known of a task that has room, though none near its data, and of the places there.
func (e *Engine) nearQuestion(now time.Time, c candidate, id fleet.TaskID, step *fleet.Step, near []time.Duration, ahead int) nearness.Question {
	queue, others := c.occurrence.Job.Queue, e.othersLoad(step.DataRack)
	q := nearness.Question{
		Run: e.expected(queue, step), Factor: e.Bounds.FarFactor, Error: e.deviation(queue, step), Spare: e.spare(now, c),
		Near: near, Ahead: ahead, Home: e.rackLoad(step.DataRack).demand(now),
		Away: others.share(), Places: others.places(dominantDemand(step.CountedDemand(), e.meanCapacity())),
	}
	if wait, ok := e.near.waits[id]; ok {
		q.Waited = now.Sub(wait.since)
	}
	return q
}

// waitsNear reports whether a task waits for a place near its data rather than run on a worker.
func (e *Engine) waitsNear(now time.Time, c candidate, id fleet.TaskID, step *fleet.Step, w *worker) bool {
	if !e.asksNear(id, step, w) {
		return false
	}
	e.rack(step.DataRack) // It is observed from now on.
	a := e.Near.Decide(e.nearQuestion(now, c, id, step, e.placesNear(now, id, step), e.near.ahead[step.DataRack]))
	wait, ok := e.near.waits[id]
	if !ok {
		wait.since = now
	}
	wait.reason = a.Reason
	e.near.waits[id] = wait
	if a.Wait {
		e.near.ahead[step.DataRack]++
	}
	return a.Wait
}

// rackQuestion is that of a step that has room on several racks and wants to run on one.
func (e *Engine) rackQuestion(now time.Time, c candidate, ids []fleet.TaskID, step *fleet.Step, ahead int) nearness.Question {
	queue, all := c.occurrence.Job.Queue, e.othersLoad(severalRacks)
	q := nearness.Question{
		Run: e.expectedStep(queue, step), Factor: e.Bounds.FarFactor, Error: e.deviation(queue, step), Spare: e.spare(now, c),
		Near: e.racksFor(now, ids, step), Ahead: ahead,
		Home: all.share(), Away: all.share(), Places: all.places(dominantDemand(step.CountedDemand(), e.meanCapacity()) * fleet.Millicores(len(ids))),
	}
	if since, ok := e.rackWaits[StepID{ids[0].Job, ids[0].Occurrence, ids[0].Step}]; ok {
		q.Waited = now.Sub(since)
	}
	return q
}

// waitsForRack reports whether a step that has room waits until one rack can hold all its tasks.
func (e *Engine) waitsForRack(now time.Time, c candidate, ids []fleet.TaskID, step *fleet.Step) bool {
	e.rack(severalRacks)
	a := e.Near.Decide(e.rackQuestion(now, c, ids, step, e.near.ahead[severalRacks]))
	if key := (StepID{ids[0].Job, ids[0].Occurrence, ids[0].Step}); e.rackWaits[key].IsZero() {
		e.rackWaits[key] = now
	}
	if a.Wait {
		e.near.ahead[severalRacks]++
	}
	return a.Wait
}

// severalRacks stands for the racks of a step that may run on any one of them.
const severalRacks fleet.RackID = ""

// placesNear returns when places near the data of a step are expected to become free. The tasks of a step are placed one
// after the other.
func (e *Engine) placesNear(now time.Time, id fleet.TaskID, step *fleet.Step) []time.Duration {
	key := StepID{id.Job, id.Occurrence, id.Step}
	if n := &e.near; n.placesOf != key || !n.placesAt.Equal(now) {
		n.places, n.placesOf, n.placesAt = e.placesOn(now, step.DataRack, id, step), key, now
	}
	return e.near.places
}

// spare returns by how much a job may be delayed and still meet its objective.
func (e *Engine) spare(now time.Time, c candidate) time.Duration {
	o := c.occurrence
	_, left := o.CriticalPath(func(s *fleet.Step) time.Duration { return e.expectedStep(o.Job.Queue, s) })
	return c.rank.Due.Sub(now) - left
}

// placedByData records where a task with data is placed, and ends its wait.
func (e *Engine) placedByData(now time.Time, queue fleet.QueueID, id fleet.TaskID, step *fleet.Step, isFar bool) {
	if step.DataRack == "" {
		return
	}
	place := DataPlace{Queue: queue, Far: isFar}
	if wait, ok := e.near.waits[id]; ok {
		place.Waited, place.Reason = now.Sub(wait.since), wait.reason
		delete(e.near.waits, id)
	}
	e.Observer.DataPlaced(place)
	if e.decidesNear(step) {
		e.rack(step.DataRack).add(now, dominantDemand(step.CountedDemand(), e.meanCapacity()), e.expected(queue, step))
	}
}

// nearTime returns how long a run would have taken near its data.
func (e *Engine) nearTime(o *job.Occurrence, w *worker, a *assignment, ran time.Duration) time.Duration {
	if e.Bounds.FarFactor <= 1 || !e.runsFar(o, w, a) {
		return ran
	}
	return time.Duration(float64(ran) / e.Bounds.FarFactor)
}

// runsFar reports whether a run is away from its data, or one of a step on several racks. It is not stored, so for a run
// of an earlier holder it follows from the racks of the workers that are known.
func (e *Engine) runsFar(o *job.Occurrence, w *worker, a *assignment) bool {
	if a.isFar || !a.inherited || w.Rack == "" {
		return a.isFar
	}
	if a.step.DataRack != "" && w.Rack != a.step.DataRack {
		return true
	}
	return a.step.SameRack && slices.ContainsFunc(o.Tasks[a.id.Step], func(t job.Task) bool {
		other := e.workers[t.Process.Endpoint]
		return other != nil && other.Rack != "" && other.Rack != w.Rack
	})
}
