package shard

import (
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// PassReason tells why placement passes an endpoint over; empty where it does not.
type PassReason string

// Reasons why an endpoint is passed over.
const (
	// PassUndescribed means that no row of the registry describes the endpoint's process.
	PassUndescribed PassReason = "not-described"
	// PassUnnamed means that the latest list does not name the process.
	PassUnnamed  PassReason = "not-named"
	PassDraining PassReason = "draining"
	// PassSilent means that the endpoint has not answered lately.
	PassSilent  PassReason = "silent"
	PassEjected PassReason = "ejected"
	// PassCordoned means that the endpoint is vacated for maintenance.
	PassCordoned PassReason = "cordoned"
	// PassRejected means that it has rejected a start for lack of room.
	PassRejected PassReason = "rejected-for-room"
	// PassLease means that the holder may not start runs there until what it knows of leases is stored.
	PassLease PassReason = "lease"
	PassRoom  PassReason = "no-room"
	PassLabel PassReason = "label"
	// PassSpread means that it has as many tasks of the step as one endpoint may have.
	PassSpread PassReason = "max-per-endpoint"
	// PassProbation means that a run there has yet to show that it is sound.
	PassProbation PassReason = "probation"
	PassTicket    PassReason = "no-ticket"
)

// outOfService returns why the worker gets no new work even if it has room.
func (w *worker) outOfService(now time.Time) PassReason {
	switch {
	case !w.described:
		return PassUndescribed
	case !w.reachable(now):
		return PassSilent
	case !w.isNamed:
		return PassUnnamed
	case w.Draining:
		return PassDraining
	case now.Before(w.ejectedUntil):
		return PassEjected
	case now.Before(w.cordonedUntil):
		return PassCordoned
	}
	return ""
}

// inService reports whether the worker may get new work once it has room.
func (w *worker) inService(now time.Time) bool { return w.outOfService(now) == "" }

// usable reports whether the worker may get new work.
func (w *worker) usable(now time.Time) bool {
	return w.inService(now) && !now.Before(w.fullUntil)
}

// unusable returns why the worker gets no new work now.
func (e *Engine) unusable(now time.Time, w *worker) PassReason {
	if reason := w.outOfService(now); reason != "" {
		return reason
	}
	switch {
	case now.Before(w.fullUntil):
		return PassRejected
	case !e.mayStart(now, w):
		return PassLease
	}
	return ""
}

// passesOver returns why a worker that may get work does not get a task of a step.
func (e *Engine) passesOver(now time.Time, w *worker, id fleet.TaskID, step *fleet.Step, needsTicket bool) PassReason {
	switch {
	case !step.CountedDemand().Fits(w.free()):
		return PassRoom
	case !w.hasLabel(step.RequiredLabel):
		return PassLabel
	case step.MaxPerEndpoint > 0 && w.count(id) >= step.MaxPerEndpoint:
		return PassSpread
	case !w.acceptsTrial(now, id, *step):
		return PassProbation
	case needsTicket:
		if _, ok := e.ticket(now, StepID{id.Job, id.Occurrence, id.Step}, w); !ok {
			return PassTicket
		}
	}
	return ""
}
