package shard

import (
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// WaitReason is why a lasting task does not run.
type WaitReason string

// Reasons of waits. The first four are about the latest run, which an endpoint may still execute, the others about the
// next one.
const (
	// WaitInheritedLease means that the endpoint does not answer, and a lease may last that an earlier holder granted.
	WaitInheritedLease WaitReason = "inherited-lease"
	// WaitLease means that the endpoint does not answer, and a lease may last that this holder granted.
	WaitLease WaitReason = "lease"
	// WaitUnprovenLease means that a next process of the endpoint may have taken the start, with a lease that lasts.
	WaitUnprovenLease WaitReason = "unproven-lease"
	// WaitStop means that the end of a stopped run has not been listed yet.
	WaitStop WaitReason = "stop"
	// WaitNoRoom means that no endpoint that gets work has room.
	WaitNoRoom WaitReason = "no-room"
	// WaitSetAside means that endpoints with room are set aside, on probation, paused after a rejected start, cordoned
	// or granted nothing until it is stored that they answer again.
	WaitSetAside WaitReason = "set-aside"
	// WaitHolder means that this holder may not grant leases, because its own renewals are not confirmed.
	WaitHolder WaitReason = "holder-lease"
	// WaitPlacement means that an endpoint has room and the task has not been planned.
	WaitPlacement WaitReason = "placement"
	// WaitCommit means that the next run is planned and its start has not been passed on.
	WaitCommit WaitReason = "commit"
	// WaitAnswer means that the start of the next run has not been confirmed.
	WaitAnswer WaitReason = "answer"
)

// LastingWait describes a lasting task that does not run although it has run before.
type LastingWait struct {
	Task fleet.TaskID
	Run  fleet.RunNumber
	// Process is that of the latest run; empty when none may execute.
	Process fleet.EndpointProcess
	// Reason is empty for a wait that ended before it was looked at.
	Reason WaitReason
	// Waited is the time since the run was last known to execute, as far as this holder knows it.
	Waited time.Duration
	// Left is the time until the leases at the endpoint have expired; 0 for a wait that no lease bounds.
	Left time.Duration
	// Inherited is set when the wait began before this holder knew of it, so that Waited is too short.
	Inherited bool
}

// lastingWait is the state of a wait.
type lastingWait struct {
	run       fleet.RunNumber
	since     time.Time
	reason    WaitReason
	inherited bool
}

// waitInterval is the time between looks at the lasting tasks that wait.
const waitInterval = 500 * time.Millisecond

// beginWait records that a lasting task does not run.
func (e *Engine) beginWait(since time.Time, id fleet.TaskID, run fleet.RunNumber, inherited bool) {
	if e.waits[id] == nil {
		e.waits[id] = &lastingWait{run: run, since: since, inherited: inherited}
	}
}

// endWait records that an endpoint has confirmed the start of a run.
func (e *Engine) endWait(now time.Time, w *worker, a *assignment) {
	wait := e.waits[a.id]
	if wait == nil {
		return
	}
	delete(e.waits, a.id)
	if a.run > wait.run {
		e.Observer.LastingResumed(LastingWait{
			Task: a.id, Run: a.run, Process: w.Process(), Reason: wait.reason, Waited: now.Sub(wait.since), Inherited: wait.inherited,
		})
	}
}

// observeWaits reports each lasting task that waits when its reason changes, and how many wait for each reason.
func (e *Engine) observeWaits(now time.Time) {
	elapsed := now.Sub(e.waitsAt)
	if elapsed < waitInterval {
		return
	}
	first := e.waitsAt.IsZero()
	e.waitsAt = now
	for _, w := range e.workers {
		if w.reachable(now) || now.Sub(later(w.firstSeen, w.lastAnswerAt)) < HoldWait+silenceTimeout {
			continue
		}
		for id, a := range w.runs {
			if a.step.Lasting && a.evidence != EvidenceNone || a.step.Lasting && a.inherited {
				e.beginWait(later(w.firstSeen, a.evidenceAt), id, a.run, a.inherited && a.evidenceAt.IsZero())
			}
		}
	}
	counts, placements := map[WaitReason]int{}, map[StepID]WaitReason{}
	for id, wait := range e.waits {
		reason, left := e.waitReason(now, id, wait, placements)
		if reason == "" {
			delete(e.waits, id)
			continue
		}
		counts[reason]++
		if reason == wait.reason {
			continue
		}
		wait.reason = reason
		task := e.occurrence(id).Task(id)
		e.Observer.LastingWaits(LastingWait{
			Task: id, Run: task.Run, Process: task.Process, Reason: reason, Waited: now.Sub(wait.since), Left: left, Inherited: wait.inherited,
		})
	}
	if first || len(counts) == 0 {
		return
	}
	for reason, n := range counts {
		e.Observer.LastingWaited(reason, n, elapsed)
	}
}

// waitReason returns why a lasting task does not run and for how long a lease may last; an empty reason when it runs,
// has ended or need not run. placements holds the reasons of the steps without a run that were looked at before.
func (e *Engine) waitReason(now time.Time, id fleet.TaskID, wait *lastingWait, placements map[StepID]WaitReason) (WaitReason, time.Duration) {
	o := e.occurrence(id)
	if o == nil || o.State.IsFinal() || o.Task(id) == nil || o.Task(id).Done {
		return "", 0
	}
	task := o.Task(id)
	if !task.Running() {
		step := StepID{id.Job, id.Occurrence, id.Step}
		if placements[step] == "" {
			placements[step] = e.placementReason(now, id, o.Job.Steps[id.Step])
		}
		return placements[step], 0
	}
	w := e.workers[task.Process.Endpoint]
	if w == nil || w.runs[id] == nil {
		return WaitPlacement, 0
	}
	a := w.runs[id]
	switch {
	case a.phase == phasePlanned:
		return WaitCommit, 0
	case a.phase == phaseStarted && w.reachable(now):
		return "", 0
	case a.run > wait.run && a.phase == phaseOrdered && w.reachable(now):
		return WaitAnswer, 0
	case w.reachable(now) && a.phase == phaseStopping:
		return WaitStop, 0
	case !w.contacted || !w.leaseEnd.After(e.inheritedEnd(w.Endpoint)):
		return WaitInheritedLease, w.runLeaseEnd(a).Sub(now)
	case w.runLeaseEnd(a).After(w.leaseEnd):
		return WaitUnprovenLease, w.runLeaseEnd(a).Sub(now)
	}
	return WaitLease, w.runLeaseEnd(a).Sub(now)
}

// placementReason returns why a lasting task that no endpoint executes has no next run.
func (e *Engine) placementReason(now time.Time, id fleet.TaskID, step fleet.Step) WaitReason {
	if !e.Permitted(now) {
		return WaitHolder
	}
	if e.choose(now, id, step, nil) != nil {
		return WaitPlacement
	}
	for _, w := range e.workers {
		if w.described && !w.Draining && w.reachable(now) && step.CountedDemand().Fits(w.free()) && w.hasLabel(step.RequiredLabel) &&
			(step.MaxPerEndpoint == 0 || w.count(id) < step.MaxPerEndpoint) {
			return WaitSetAside
		}
	}
	return WaitNoRoom
}
