package shard

import (
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/internal/nearness"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Verdict is what would happen to a waiting task now.
type Verdict string

// Verdicts.
const (
	VerdictStarts Verdict = "starts"
	// VerdictWaitsNear means that the task has room and waits for a place near its data, or its step for one rack.
	VerdictWaitsNear Verdict = "waits-near"
	VerdictNoRoom    Verdict = "no-room"
	// VerdictAllowance means that the client account may have no more tasks running.
	VerdictAllowance Verdict = "account-allowance"
	// VerdictNotDue means that no task may start yet: the job is not due, or earlier steps are not done.
	VerdictNotDue Verdict = "not-due"
	// VerdictNothingWaits means that each task runs or is done.
	VerdictNothingWaits Verdict = "nothing-waits"
	// VerdictNotPermitted means that the holder may not start anything now.
	VerdictNotPermitted Verdict = "holder-not-permitted"
)

// Placement explains where the next task of a job would go.
type Placement struct {
	Verdict Verdict
	// Known is set for a job that the holder has; another one is placed as if it had just been accepted.
	Known   bool
	Task    fleet.TaskID
	Account fleet.ClientAccountID
	// Running is the processor capacity that the account's tasks hold.
	Running fleet.Millicores
	Rank    job.Rank
	// Ahead counts the steps that are served first.
	Ahead int
	// Endpoint is where the task would start, Rack its rack.
	Endpoint fleet.EndpointID
	Rack     fleet.RackID
	// Near is the decision on a wait for a place near the data; its reason is empty where none is taken.
	Near       nearness.Answer
	Candidates []PlaceCandidate
}

// PlaceCandidate is an endpoint of the service.
type PlaceCandidate struct {
	Endpoint fleet.EndpointID
	Rack     fleet.RackID
	// PassedOver is empty for an endpoint that could take the task. Score rates it among those; the highest is taken.
	PassedOver PassReason
	Score      float64
}

// Place explains where the next task of a job would go now. It decides with the functions that place tasks, and changes
// nothing.
func (e *Engine) Place(now time.Time, j *fleet.Job) Placement {
	p := Placement{Account: j.Account, Running: e.accounts.usage[j.Account].Millicores}
	c, ids, verdict := e.nextTasks(now, j)
	p.Known, p.Verdict = e.jobs[j.ID] != nil, verdict
	if verdict != "" {
		return p
	}
	step := &c.occurrence.Job.Steps[c.step]
	ahead, aheadNear := e.aheadOf(now, c)
	p.Task, p.Rank, p.Ahead = ids[0], c.rank, ahead
	for _, w := range e.sorted() {
		p.Candidates = append(p.Candidates, e.placeCandidate(now, w, c, ids[0], step))
	}
	if !e.Permitted(now) || !e.Current(now) {
		p.Verdict = VerdictNotPermitted
		return p
	}
	if step.Gang || step.SameRack {
		e.placeStep(now, &p, c, ids, step, aheadNear[severalRacks])
		return p
	}
	w := e.choose(now, ids[0], *step, nil)
	if !slices.ContainsFunc(p.Candidates, func(c PlaceCandidate) bool { return c.PassedOver == "" }) {
		w = nil // The holder has no tickets for a job that it does not know.
	}
	switch {
	case !e.mayHave(c.occurrence.Job, *step, 1):
		p.Verdict = VerdictAllowance
	case w == nil:
		p.Verdict = VerdictNoRoom
	default:
		p.Verdict, p.Endpoint, p.Rack = VerdictStarts, w.Endpoint, w.Rack
		if e.asksNear(ids[0], step, w) {
			p.Near = e.Near.Decide(e.nearQuestion(now, c, ids[0], step, e.placesOn(now, step.DataRack, ids[0], step), aheadNear[step.DataRack]))
		}
		if p.Near.Wait {
			p.Verdict, p.Endpoint, p.Rack = VerdictWaitsNear, "", ""
		}
	}
	return p
}

// placeStep explains where the first task of a step goes whose tasks start at once.
func (e *Engine) placeStep(now time.Time, p *Placement, c candidate, ids []fleet.TaskID, step *fleet.Step, ahead int) {
	var chosen []*worker
	if step.SameRack {
		chosen = e.chooseOneRack(now, ids, *step)
	}
	if chosen == nil {
		chosen = e.chooseAll(now, ids, *step, nil)
		if chosen != nil && step.SameRack && e.decidesNear(step) && e.fitsOneRack(now, len(ids), *step) {
			p.Near = e.Near.Decide(e.rackQuestion(now, c, ids, step, ahead))
		}
	}
	switch {
	case !e.mayHave(c.occurrence.Job, *step, len(ids)):
		p.Verdict = VerdictAllowance
	case chosen == nil:
		p.Verdict = VerdictNoRoom
	case p.Near.Wait:
		p.Verdict = VerdictWaitsNear
	default:
		p.Verdict, p.Endpoint, p.Rack = VerdictStarts, chosen[0].Endpoint, chosen[0].Rack
	}
}

// nextTasks returns the step of a job that would be placed first and its waiting tasks, or why none would.
func (e *Engine) nextTasks(now time.Time, j *fleet.Job) (candidate, []fleet.TaskID, Verdict) {
	var occurrences []*job.Occurrence
	notOpened := VerdictNothingWaits
	if entry := e.jobs[j.ID]; entry != nil {
		occurrences = entry.sortedOpen()
		if !entry.isOpened() {
			notOpened = VerdictNotDue
		}
	} else {
		accepted := *j
		e.policy(j).Admit(&accepted, now)
		occurrences = append(occurrences, job.New(&accepted, 0))
	}
	verdict := notOpened
	for _, o := range occurrences {
		for s := range o.Tasks {
			step := fleet.StepIndex(s)
			if o.State.IsFinal() || !waiting(o.Tasks[s]) {
				continue
			}
			if now.Before(o.Job.Due(o.Number)) || !o.Ready(step) {
				verdict = VerdictNotDue
				continue
			}
			var ids []fleet.TaskID
			for t := range o.Tasks[s] {
				if task := &o.Tasks[s][t]; !task.Done && !task.Running() {
					ids = append(ids, o.ID(step, fleet.TaskIndex(t)))
				}
			}
			next := candidateQueue{{o, step, o.Job.Steps[s].Lasting, e.rank(now, o)}}
			e.applyShares(next)
			return next[0], ids, ""
		}
	}
	return candidate{}, nil, verdict
}

// aheadOf counts the waiting steps that are served before one, and by rack the tasks among them that have data there.
// Steps that want any one rack count under severalRacks.
func (e *Engine) aheadOf(now time.Time, c candidate) (int, map[fleet.RackID]int) {
	steps, near := 0, map[fleet.RackID]int{}
	pair, list := candidateQueue{c, c}, e.candidates(now, nil)
	e.applyShares(list)
	for _, other := range list {
		pair[0] = other
		if !pair.Less(0, 1) {
			continue
		}
		steps++
		switch step := &other.occurrence.Job.Steps[other.step]; {
		case step.SameRack:
			near[severalRacks]++
		case step.DataRack != "":
			near[step.DataRack] += countWaiting(other.occurrence.Tasks[other.step])
		}
	}
	return steps, near
}

// placeCandidate explains whether an endpoint could take a task.
func (e *Engine) placeCandidate(now time.Time, w *worker, c candidate, id fleet.TaskID, step *fleet.Step) PlaceCandidate {
	p := PlaceCandidate{Endpoint: w.Endpoint, Rack: w.Rack, PassedOver: e.unusable(now, w)}
	if p.PassedOver == "" {
		p.PassedOver = e.passesOver(now, w, id, step, e.policy(c.occurrence.Job).NeedsTickets)
	}
	if p.PassedOver == "" {
		p.Score = e.score(now, w, id, *step)
	}
	return p
}
