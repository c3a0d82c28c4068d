package shard

import (
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/share"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// SetWeights replaces the weights of the client accounts.
func (e *Engine) SetWeights(w share.Weights) {
	e.accounts.weights = w
	e.accounts.meter.SetWeights(w)
}

// accountWork is the work of one account in a ranking.
type accountWork struct {
	amount share.Amount
	// candidates are indices into the ranking.
	candidates []int
}

// markShares marks the waiting steps that are beyond their account's share of the present room. While there is room for
// all, nothing is marked.
func (e *Engine) markShares(now time.Time, list candidateQueue) {
	weights := e.accounts.weights
	if len(weights) == 0 {
		return
	}
	mean, work := e.meanCapacity(), map[fleet.ClientAccountID]*accountWork{}
	of := func(account fleet.ClientAccountID) *accountWork {
		if work[account] == nil {
			work[account] = &accountWork{amount: share.Amount(dominantDemand(e.accounts.usage[account], mean))}
		}
		return work[account]
	}
	for account := range e.accounts.usage {
		of(account)
	}
	var room share.Amount
	for _, w := range e.open {
		room += share.Amount(w.worker.Capacity.Millicores)
	}
	for i := range list {
		account := list[i].occurrence.Job.Account
		if _, ok := weights[account]; ok && !list[i].lasting {
			w := of(account)
			w.candidates = append(w.candidates, i)
		}
	}
	e.accounts.claims = e.accounts.claims[:0]
	for account, w := range work {
		claim := share.Claim{Weight: weights[account], Amount: w.amount}
		for _, i := range w.candidates {
			claim.Amount += e.waitingAmount(list[i], mean)
		}
		e.accounts.claims = append(e.accounts.claims, claim)
	}
	level := share.Fill(room, e.accounts.claims)
	if level == share.Unbounded {
		return
	}
	for account, w := range work {
		e.fill(list, w, weights[account], level, mean)
	}
}

// fill marks the steps of one account that lie above the level.
func (e *Engine) fill(list candidateQueue, w *accountWork, weight fleet.Weight, level share.Level, mean fleet.Capacity) {
	slices.SortFunc(w.candidates, func(i, k int) int {
		switch {
		case list[i].rank.Before(list[k].rank):
			return -1
		case list[k].rank.Before(list[i].rank):
			return 1
		}
		return compareSteps(&list[i], &list[k])
	})
	amount := w.amount
	for _, i := range w.candidates {
		list[i].rank.BeyondShare = share.LevelOf(amount, weight) >= level
		amount += e.waitingAmount(list[i], mean)
	}
}

// waitingAmount returns what the waiting tasks of a step ask for.
func (e *Engine) waitingAmount(c candidate, mean fleet.Capacity) share.Amount {
	count := 0
	for i := range c.occurrence.Tasks[c.step] {
		if task := &c.occurrence.Tasks[c.step][i]; !task.Done && !task.Running() {
			count++
		}
	}
	return share.Amount(count) * share.Amount(dominantDemand(c.occurrence.Job.Steps[c.step].Demand, mean))
}
