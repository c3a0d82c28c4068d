package shard

import (
	"maps"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/allowance"
	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/internal/share"
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
	// weights is empty where no account has one.
	weights share.Weights
	meter   share.Meter
	claims  []share.Claim
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

// allowed is what accounts may still start.
type allowed struct {
	allowance Allowance
	used      accountUsage
}

// allowed returns what accounts may start in addition to what runs.
func (e *Engine) allowed() allowed {
	return allowed{e.accounts.allowance, maps.Clone(e.accounts.usage)}
}

// take reports whether one more task of an account may start, and counts it if so.
func (a allowed) take(account fleet.ClientAccountID, demand fleet.Capacity) bool {
	if account == "" || a.allowance == nil {
		return true
	}
	used := a.used[account].Plus(demand)
	if !a.allowance.Allows(account, used) {
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

// AccountDemands returns what the tasks of client accounts use and ask for. What waits counts as far as the endpoints
// can start it soon, so that a service without room does not keep an allowance from others.
func (e *Engine) AccountDemands(now time.Time) map[fleet.ClientAccountID]allowance.Demand {
	demands := map[fleet.ClientAccountID]allowance.Demand{}
	room := e.soonFree()
	for account, used := range e.accounts.usage {
		demands[account] = allowance.Demand{Used: used}
	}
	for _, o := range e.active {
		if o.Job.Account == "" || now.Before(o.Job.Due(o.Number)) {
			continue
		}
		d := demands[o.Job.Account]
		for s := range o.Tasks {
			if o.Ready(fleet.StepIndex(s)) {
				d = addWaiting(d, o.Tasks[s], o.Job.Steps[s].Demand)
			}
		}
		d.Waiting = fleet.Capacity{
			Millicores: min(d.Waiting.Millicores, room.Millicores), Memory: min(d.Waiting.Memory, room.Memory),
			Accelerators: min(d.Waiting.Accelerators, room.Accelerators),
		}
		demands[o.Job.Account] = d
	}
	return demands
}

// addWaiting adds the tasks of a step that wait to the demand of their account.
func addWaiting(d allowance.Demand, tasks []job.Task, demand fleet.Capacity) allowance.Demand {
	for i := range tasks {
		if tasks[i].Done || tasks[i].Running() {
			continue
		}
		d.Waiting = d.Waiting.Plus(demand)
		if d.Least == (fleet.Capacity{}) || demand.Fits(d.Least) {
			d.Least = demand
		}
	}
	return d
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
