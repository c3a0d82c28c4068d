package shard

import (
	"time"

	"github.com/mimosawharf/mimosawharf/internal/allowance"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Allowance bounds what the tasks of client accounts use in the service.
type Allowance interface {
	// Allows reports whether the tasks of an account may use so much at the same time.
	Allows(account fleet.ClientAccountID, used fleet.Capacity) bool
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
}

// SetAllowance sets what bounds the runs of client accounts; nil means that nothing does. It is asked before each start.
func (e *Engine) SetAllowance(a Allowance) { e.accounts.allowance = a }

// allows reports whether an account may have so many more tasks of a step running, and notes when it may not.
func (e *Engine) allows(j *fleet.Job, step fleet.Step, tasks int) bool {
	if e.accounts.allowance == nil || j.Account == "" {
		return true
	}
	used := e.accounts.usage[j.Account]
	for range tasks {
		used = used.Plus(step.Demand)
	}
	if e.accounts.allowance.Allows(j.Account, used) {
		return true
	}
	e.accounts.denied = true
	return false
}

// Denied reports whether a task has waited for the allowance of its account since the last call.
func (e *Engine) Denied() bool {
	denied := e.accounts.denied
	e.accounts.denied = false
	return denied
}

// AccountDemands returns what the tasks of client accounts use and ask for. What waits counts as far as the endpoints
// can start it soon, so that a service without room does not keep an allowance from others.
func (e *Engine) AccountDemands(now time.Time) map[fleet.ClientAccountID]allowance.Demand {
	demands := map[fleet.ClientAccountID]allowance.Demand{}
	room := e.soonFree()
	for account, used := range e.accounts.usage {
		demands[account] = allowance.Demand{Used: used}
	}
	e.loadBuffer = e.candidates(now, e.loadBuffer)
	for _, c := range e.loadBuffer {
		j := c.occurrence.Job
		step := &j.Steps[c.step]
		if j.Account == "" {
			continue
		}
		d := demands[j.Account]
		for t := range c.occurrence.Tasks[c.step] {
			if task := &c.occurrence.Tasks[c.step][t]; !task.Done && !task.Running() {
				d.Waiting = d.Waiting.Plus(step.Demand)
			}
		}
		if d.Least == (fleet.Capacity{}) || step.Demand.Fits(d.Least) {
			d.Least = step.Demand
		}
		d.Waiting = fleet.Capacity{
			Millicores: min(d.Waiting.Millicores, room.Millicores), Memory: min(d.Waiting.Memory, room.Memory),
			Accelerators: min(d.Waiting.Accelerators, room.Accelerators),
		}
		demands[j.Account] = d
	}
	return demands
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
