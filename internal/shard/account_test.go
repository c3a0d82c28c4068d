package shard_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/internal/share"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// accountLoad is what accounts submit each second to a fleet that has room for one job of each of 22 accounts.
type accountLoad struct {
	accounts, hot, times int
	// limit is how many tasks an account may have running; 0 is no limit.
	limit int
}

// Allows implements shard.Allowance.
func (l accountLoad) Allows(_ fleet.ClientAccountID, used fleet.Capacity) bool {
	return l.limit == 0 || used.Millicores <= fleet.Millicores(l.limit)*4000
}

// WithinLimit implements shard.Allowance.
func (l accountLoad) WithinLimit(account fleet.ClientAccountID, used fleet.Capacity) bool {
	return l.Allows(account, used)
}

// play returns the times that the jobs of each account took, in order, and the most tasks that one had running.
func (l accountLoad) play(seconds int) (map[fleet.ClientAccountID][]time.Duration, int) {
	sim := newSimulation(1, 11, worker64)
	weights := share.Weights{}
	for n := range l.accounts {
		weights[l.name(n)] = 1
	}
	sim.engine.SetWeights(weights)
	sim.engine.SetAllowance(l)
	sim.run(time.Second)
	submitted, most := map[fleet.JobID]time.Time{}, 0
	took := map[fleet.ClientAccountID][]time.Duration{}
	for step := range 100 * (seconds + 8) {
		if step%100 == 0 && step/100 < seconds {
			for n := range l.accounts { // The hot ones come first.
				for k := range max(1, l.times*min(1, max(0, l.hot-n))) {
					j := batchJob(fleet.JobID(fmt.Sprintf("%s-%03d-%d", l.name(n), step/100, k)), 8, 4000)
					j.Account, j.AcceptedAt = l.name(n), sim.now
					submitted[j.ID] = sim.now
					sim.submit(j)
				}
			}
		}
		sim.step()
		running := map[fleet.ClientAccountID]int{}
		for _, e := range sim.endpoints {
			for id := range e.running {
				running[sim.job(id.Job).Account]++
			}
		}
		for _, n := range running {
			most = max(most, n)
		}
		for id, at := range submitted {
			if sim.state(id) == fleet.JobStateCompleted {
				account := sim.job(id).Account
				took[account] = append(took[account], sim.now.Sub(at))
				delete(submitted, id)
			}
		}
	}
	for _, list := range took {
		slices.Sort(list)
	}
	return took, most
}

func (accountLoad) name(n int) fleet.ClientAccountID {
	return fleet.ClientAccountID(fmt.Sprintf("account-%02d", n))
}

// objective is what a job of one step of a second may take.
const objective = 2200 * time.Millisecond

func TestHotAccountsDoNotDelaySteadyOnes(t *testing.T) {
	for _, l := range []accountLoad{{accounts: 20, hot: 1, times: 5}, {accounts: 20, hot: 3, times: 5}} {
		t.Run(fmt.Sprintf("%d of %d accounts at %d times their weight", l.hot, l.accounts, l.times), func(t *testing.T) {
			is := is.New(t)
			took, _ := l.play(12)
			for n := l.hot; n < l.accounts; n++ {
				list := took[l.name(n)]
				is.Equal(len(list), 12)
				is.True(list[11] <= objective) // The slowest job of a steady account is in time.
			}
			for n := range l.hot {
				is.True(len(took[l.name(n)]) >= 12) // What a hot account owes is served, and more when room is left.
			}
		})
	}
}

func TestAccountsAtTheirLimitsShareAlike(t *testing.T) {
	is := is.New(t)
	l := accountLoad{accounts: 20, hot: 20, times: 2, limit: 6}
	took, most := l.play(6)
	is.Equal(most, 6)
	var served []int
	for n := range l.accounts {
		served = append(served, len(took[l.name(n)]))
	}
	is.True(slices.Max(served)-slices.Min(served) <= 1)
	is.True(slices.Min(served) >= 8)
}

// Guards against an explanation that counts the work of other accounts, or names another reason than that for which the
// next task waits.
func TestBacklogNamesWhyTasksWait(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 2, worker64)
	sim.duration = func(fleet.TaskID) time.Duration { return time.Minute }
	sim.engine.SetWeights(share.Weights{"a": 1, "b": 1})
	sim.engine.SetAllowance(accountLoad{limit: 8})
	sim.run(time.Second)
	is.Equal(sim.engine.Backlog(sim.now, "").Verdict, shard.VerdictNothingWaits)
	limited, open := batchJob("limited", 12, 4000), batchJob("open", 4, 4000)
	limited.Account, open.Account = "a", "b"
	sim.submit(limited)
	sim.submit(open)
	sim.run(time.Second)
	a := sim.engine.Backlog(sim.now, "a")
	is.Equal([]int{a.Running, a.Waiting, a.Endpoints}, []int{8, 4, 2})
	is.Equal([]fleet.Millicores{a.Used.Millicores, a.Wanted.Millicores, a.Capacity.Millicores}, []fleet.Millicores{32000, 16000, 2 * worker64.Millicores})
	is.Equal(a.Verdict, shard.VerdictAllowance)
	is.Equal(a.Next.Job, fleet.JobID("limited"))
	b := sim.engine.Backlog(sim.now, "b")
	is.Equal([]int{b.Running, b.Waiting}, []int{4, 0})
	is.Equal(b.Verdict, shard.VerdictNothingWaits)
	large := batchJob("large", 30, 4000)
	sim.submit(large) // without an account
	sim.run(time.Second)
	all := sim.engine.Backlog(sim.now, "")
	is.Equal(all.Running, 2*16) // what two endpoints have room for
	is.Equal(all.Waiting, 4+30-20)
	sim.run(time.Minute / 2)
	is.Equal(sim.engine.Backlog(sim.now, "").Late, 14) // the objective has passed
}

func TestNextHolderCountsInheritedRunsOfAnAccount(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 4, worker64)
	sim.duration = func(fleet.TaskID) time.Duration { return 3 * time.Second }
	sim.run(time.Second)
	first, second := batchJob("first", 6, 4000), batchJob("second", 6, 4000)
	first.Account, second.Account = "a", "a"
	sim.submit(first)
	sim.run(200 * time.Millisecond)
	sim.takeOver(shard.Inheritance{End: sim.now.Add(5 * time.Second)})
	sim.engine.SetWeights(share.Weights{"a": 1})
	sim.engine.SetAllowance(accountLoad{limit: 8})
	sim.submit(second)
	sim.run(500 * time.Millisecond)
	is.Equal(sim.started(), 8)
	demand := sim.engine.AccountDemands()["a"]
	is.Equal([]fleet.Millicores{demand.Used.Millicores, demand.Waiting.Millicores, demand.Least.Millicores}, []fleet.Millicores{8 * 4000, 4 * 4000, 4000})
	sim.run(7 * time.Second)
	is.Equal(sim.state("second"), fleet.JobStateCompleted)
}
