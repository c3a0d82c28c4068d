package shard

import (
	"maps"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/allowance"
	"github.com/mimosawharf/mimosawharf/internal/share"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Allowance bounds what the tasks of client accounts use in the service.
type Allowance interface {
	// Allows reports whether the tasks of an account may use so much at the same time.
	Allows(account fleet.ClientAccountID, used fleet.Capacity) bool
	// WithinLimit reports whether they could if the service were the only one that runs tasks of the account.
	WithinLimit(account fleet.ClientAccountID, used fleet.Capacity) bool
}

// accountUsage is what the runs of client accounts use, as far as they may execute.
type accountUsage map[fleet.ClientAccountID]fleet.Capacity

// add adds the demand of a run. Runs of jobs without an account are not counted.
func (u accountUsage) add(a *assignment) {
	if a.account != "" {
		u[a.account] = u[a.account].Plus(a.step.Demand)
	}
}

func (u accountUsage) remove(a *assignment) {
	if a.account == "" {
		return
	}
	if left := u[a.account].Minus(a.step.Demand); left != (fleet.Capacity{}) {
		u[a.account] = left
	} else {
		delete(u, a.account)
	}
}

// accounts is the engine's state of client accounts.
type accounts struct {
	allowance Allowance
	usage     accountUsage
	// denied is set when a task has waited for the allowance of its account.
	denied bool
	// weights is empty where no account has one.
	weights share.Weights
	meter   share.Meter
	// waiting is what the steps of the last ranking ask for.
	waiting map[fleet.ClientAccountID]*allowance.Demand
	// selectedAt is when it was last decided what is put back.
	selectedAt time.Time
}

// SetAllowance sets what bounds the runs of client accounts; nil means that nothing does. It is asked before each start.
func (e *Engine) SetAllowance(a Allowance) { e.accounts.allowance = a }

// allows reports whether an account may have so many more tasks of a step running, and notes when it may not.
func (e *Engine) allows(j *fleet.Job, step fleet.Step, tasks int) bool {
	if e.mayHave(j, step, tasks) {
		return true
	}
	e.accounts.denied = true
	return false
}

// mayHave reports whether an account may have so many more tasks of a step running.
func (e *Engine) mayHave(j *fleet.Job, step fleet.Step, tasks int) bool {
	if e.accounts.allowance == nil || j.Account == "" {
		return true
	}
	return e.accounts.allowance.Allows(j.Account, e.accounts.usage[j.Account].Plus(times(step.Demand, tasks)))
}

// limited counts the waiting tasks that their accounts' limits leave room for, whatever part of the limits the service
// holds at the moment: the parts follow what can be started.
type limited struct {
	allowance Allowance
	used      accountUsage
}

func (e *Engine) limited() limited {
	return limited{e.accounts.allowance, maps.Clone(e.accounts.usage)}
}

// take reports whether the limit leaves room for one more task of an account, and counts it if so.
func (a limited) take(account fleet.ClientAccountID, demand fleet.Capacity) bool {
	if account == "" || a.allowance == nil {
		return true
	}
	used := a.used[account].Plus(demand)
	if used != demand && !a.allowance.WithinLimit(account, used) { // One task runs in any case.
		return false
	}
	a.used[account] = used
	return true
}

// Denied reports whether a task has waited for the allowance of its account since the last call.
func (e *Engine) Denied() bool {
	denied := e.accounts.denied
	e.accounts.denied = false
	return denied
}

// AccountDemands returns what the tasks of client accounts use and, by the last ranking, ask for. What waits counts as far
// as the endpoints can start it soon, so that a service without room does not keep an allowance from others.
func (e *Engine) AccountDemands() map[fleet.ClientAccountID]allowance.Demand {
	demands := make(map[fleet.ClientAccountID]allowance.Demand, len(e.accounts.usage)+len(e.accounts.waiting))
	room := e.soonFree()
	for account, d := range e.accounts.waiting {
		d.Waiting = fleet.Capacity{
			Millicores: min(d.Waiting.Millicores, room.Millicores), Memory: min(d.Waiting.Memory, room.Memory),
			Accelerators: min(d.Waiting.Accelerators, room.Accelerators),
		}
		demands[account] = *d
	}
	for account, used := range e.accounts.usage {
		d := demands[account]
		d.Used = used
		demands[account] = d
	}
	return demands
}

// countDemands notes what the ranked steps of accounts ask for.
func (e *Engine) countDemands(list candidateQueue) {
	if e.accounts.allowance == nil {
		return
	}
	clear(e.accounts.waiting)
	for i := range list {
		j := list[i].occurrence.Job
		if j.Account == "" {
			continue
		}
		d := e.accounts.waiting[j.Account]
		if d == nil {
			d = &allowance.Demand{}
			e.accounts.waiting[j.Account] = d
		}
		step, count := &j.Steps[list[i].step], countWaiting(list[i].occurrence.Tasks[list[i].step])
		d.Waiting = d.Waiting.Plus(times(step.Demand, count))
		least := step.Demand
		if step.Gang || step.SameRack {
			least = times(step.Demand, count) // They start together.
		}
		if d.Least == (fleet.Capacity{}) || least.Fits(d.Least) {
			d.Least = least
		}
	}
}

func times(c fleet.Capacity, n int) fleet.Capacity {
	return fleet.Capacity{Millicores: c.Millicores * fleet.Millicores(n), Memory: c.Memory * fleet.Megabytes(n), Accelerators: c.Accelerators * fleet.Accelerators(n)}
}

// soonFree returns the room of the endpoints, with half of what runs: as much ends within a few divisions.
func (e *Engine) soonFree() fleet.Capacity {
	var room fleet.Capacity
	for _, w := range e.workers {
		if w.described && !w.Draining {
			half := fleet.Capacity{Millicores: w.used.Millicores / 2, Memory: w.used.Memory / 2, Accelerators: w.used.Accelerators / 2}
			room = room.Plus(w.Capacity.Minus(half))
		}
	}
	return room
}
