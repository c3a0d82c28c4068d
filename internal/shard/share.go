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

// markShares marks the waiting steps of the jobs that are beyond their account's share while there is not room for all.
// Without weights nothing is marked.
func (e *Engine) markShares(now time.Time, list candidateQueue) {
	if len(e.accounts.weights) == 0 {
		return
	}
	if now.Sub(e.accounts.selectedAt) >= selectInterval {
		e.accounts.selectedAt = now
		e.putBack(list)
	}
	e.applyShares(list)
}

// applyShares ranks steps by what was last decided to be put back.
func (e *Engine) applyShares(list candidateQueue) {
	if len(e.accounts.weights) == 0 {
		return
	}
	for i := range list {
		entry := e.jobs[list[i].occurrence.Job.ID]
		list[i].rank.AtRisk, list[i].rank.PutBack = false, entry != nil && entry.putBack
	}
}

// putBack decides which jobs are beyond their account's share.
func (e *Engine) putBack(list candidateQueue) {
	mean, work := e.meanCapacity(), map[fleet.ClientAccountID][]*candidate{}
	var waiting share.Amount
	for i := range list {
		c := &list[i]
		entry := e.jobs[c.occurrence.Job.ID]
		entry.putBack = false
		if account := c.occurrence.Job.Account; account != "" && !c.lasting && !c.rank.Late && !c.rank.Excess {
			work[account] = append(work[account], c)
			waiting += waitingAmount(c, mean)
		}
	}
	free, room := e.room(mean)
	if waiting <= free {
		return
	}
	claims := make([]share.Claim, 0, len(e.accounts.weights))
	for account, weight := range e.accounts.weights {
		claim := share.Claim{Weight: weight, Amount: share.Amount(dominantDemand(e.accounts.usage[account], mean))}
		for _, c := range work[account] {
			claim.Amount += waitingAmount(c, mean)
		}
		claims = append(claims, claim)
	}
	level := share.Fill(room, claims)
	if level == share.Unbounded {
		return
	}
	for account, candidates := range work {
		amount := share.Amount(dominantDemand(e.accounts.usage[account], mean))
		slices.SortFunc(candidates, compareCandidates)
		for _, c := range candidates {
			// What has begun goes on, or its earlier steps would be for nothing.
			begun := c.occurrence.State != fleet.JobStatePending
			e.jobs[c.occurrence.Job.ID].putBack = !begun && share.LevelOf(amount, e.accounts.weights[account]) >= level
			amount += waitingAmount(c, mean)
		}
	}
}

// room returns what the endpoints have free, and all that they have.
func (e *Engine) room(mean fleet.Capacity) (free, all share.Amount) {
	for _, w := range e.open {
		free += share.Amount(max(0, w.free.Millicores))
		all += share.Amount(dominantDemand(w.worker.Capacity, mean))
	}
	return free, all
}

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
func waitingAmount(c *candidate, mean fleet.Capacity) share.Amount {
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
