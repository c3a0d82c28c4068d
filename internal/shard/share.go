package shard

import (
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/internal/share"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// SetWeights replaces the weights of the client accounts.
func (e *Engine) SetWeights(w share.Weights) {
	e.accounts.weights = w
	e.accounts.meter.SetWeights(w)
}

// selectInterval is the time between two decisions on what is put back, each of which sorts all that waits.
const selectInterval = 100 * time.Millisecond

// markShares marks the waiting steps of the jobs that are put back because there is not room for all in time. That takes
// the place of the order by risk. Without weights nothing is marked.
func (e *Engine) markShares(now time.Time, list candidateQueue) {
	if len(e.accounts.weights) == 0 {
		return
	}
	for i := range list {
		list[i].rank.AtRisk = false
	}
	if now.Sub(e.accounts.selectedAt) >= selectInterval {
		e.accounts.selectedAt = now
		e.selectWork(now, list)
	}
	for i := range list {
		list[i].rank.PutBack = e.jobs[list[i].occurrence.Job.ID].putBack
	}
}

// selectWork decides which jobs are put back.
func (e *Engine) selectWork(now time.Time, list candidateQueue) {
	var served []*candidate
	mean := e.meanCapacity()
	var waiting share.Amount
	for i := range list {
		c := &list[i]
		e.jobs[c.occurrence.Job.ID].putBack = false
		if !c.lasting && !c.rank.Late && !c.rank.Excess {
			served = append(served, c)
			waiting += waitingAmount(*c, mean)
		}
	}
	room := e.room(served, mean)
	if waiting <= room.Free {
		return
	}
	slices.SortFunc(served, compareCandidates)
	work := make([]share.Work, 0, len(served))
	for _, c := range served {
		work = append(work, share.Work{
			Account: c.occurrence.Job.Account, Amount: waitingAmount(*c, mean), Slack: c.rank.StartBy.Sub(now), Begun: c.occurrence.State != fleet.JobStatePending,
		})
	}
	used := map[fleet.ClientAccountID]share.Amount{}
	for account, c := range e.accounts.usage {
		used[account] = share.Amount(dominantDemand(c, mean))
	}
	for i, back := range share.Select(work, room, e.accounts.weights, used) {
		e.jobs[served[i].occurrence.Job.ID].putBack = back
	}
}

// room returns what the endpoints have free and what their runs release, if these last as long as what waits.
func (e *Engine) room(served []*candidate, mean fleet.Capacity) share.Room {
	var r share.Room
	for _, w := range e.open {
		r.Free += share.Amount(max(0, w.free.Millicores))
	}
	var used share.Amount
	for _, w := range e.workers {
		used += share.Amount(dominantDemand(w.used, mean))
	}
	var takes time.Duration
	for _, c := range served {
		takes += e.expected(c.occurrence.Job.Queue, &c.occurrence.Job.Steps[c.step])
	}
	if len(served) > 0 {
		r.Released = share.Amount(float64(used) / max(takes/time.Duration(len(served)), minRunTime).Seconds())
	}
	return r
}

// minRunTime bounds the rate at which a run releases its room: its end is learned from a list.
const minRunTime = 50 * time.Millisecond

// compareCandidates compares candidates by the order in which they are served.
func compareCandidates(a, b *candidate) int {
	switch {
	case a.rank.Before(b.rank):
		return -1
	case b.rank.Before(a.rank):
		return 1
	}
	return compareSteps(a, b)
}

// waitingAmount returns what the waiting tasks of a step ask for.
func waitingAmount(c candidate, mean fleet.Capacity) share.Amount {
	return share.Amount(countWaiting(c.occurrence.Tasks[c.step])) * share.Amount(dominantDemand(c.occurrence.Job.Steps[c.step].Demand, mean))
}

func countWaiting(tasks []job.Task) int {
	count := 0
	for i := range tasks {
		if !tasks[i].Done && !tasks[i].Running() {
			count++
		}
	}
	return count
}
