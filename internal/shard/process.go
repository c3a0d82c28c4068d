package shard

import (
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// EpochStep is the distance between the epochs of a lease's holders, and so the number of fencing tokens that a
// holder can use. Tokens stay below 2^53, up to which JSON numbers are exact, for 2^29 holders.
const EpochStep = 1 << 24

// newWorker returns the worker of a process. Orders name an endpoint and not its process, so the worker's token is
// higher than those of all processes that the holder no longer reckons with: once the process has answered an order
// with its token, it rejects the orders that were meant for an earlier one and arrive late.
func (e *Engine) newWorker(now time.Time, info EndpointInfo) *worker {
	forgotten := !e.forgottenAt[info.Endpoint].IsZero()
	hasRestarted := info.Restarted || forgotten
	return &worker{
		EndpointInfo: info, firstSeen: now, token: e.Epoch + e.discarded, usage: e.accounts.usage, runs: map[fleet.TaskID]*assignment{},
		hasRestarted: hasRestarted, mayHoldLongestLease: forgotten || info.Restarted && !info.Settled,
		cordonedUntil: e.inheritedBounds[info.Endpoint].CordonedUntil,
	}
}

// discard counts a worker that was forgotten or that another process has replaced.
func (e *Engine) discard() { e.discarded = min(e.discarded+1, EpochStep-1) }

// HasSettled reports whether the process of an endpoint has answered this holder and holds no lease that is longer than
// the usual one.
func (e *Engine) HasSettled(now time.Time, p fleet.EndpointProcess) bool {
	w := e.workers[p.Endpoint]
	return w != nil && w.Process() == p && w.contacted && !w.mayHoldLongestLease && !w.mayHoldLongLease(now, e.leaseLength())
}

// mayHoldLongLease reports whether a lease may last for longer than one that is granted now.
func (w *worker) mayHoldLongLease(now time.Time, length time.Duration) bool {
	return later(w.leaseEnd, w.unprovenLeaseEnd).After(leaseEnd(now, length))
}

// forget removes a worker that is not listed and has no runs.
func (e *Engine) forget(now time.Time, w *worker) {
	e.discard()
	delete(e.workers, w.Endpoint)
	e.byID, e.mean = nil, nil
	e.forgottenAt[w.Endpoint] = now
	for id, at := range e.forgottenAt {
		if now.Sub(at) >= lateOrderTime {
			delete(e.forgottenAt, id)
		}
	}
}

// lateOrderTime bounds the effect of orders to a forgotten endpoint: how late they may be carried out and the lease
// that they may grant.
const lateOrderTime = time.Minute

// isForEarlierProcess reports whether an order was created before the holder learned of the worker's process. The
// answer may come from either process, because only lists name the process.
func (w *worker) isForEarlierProcess(o Order) bool {
	return o.Token < w.token
}

// handleRestart replaces the worker of an endpoint after a list of another process under its id. Runs that the
// earlier process has listed ended with it. Other runs may have been started by the next process instead: they are
// kept until it answers a renewal with its own token, when its list shows which of them it executes.
func (e *Engine) handleRestart(now time.Time, w *worker, startMillis int64) *worker {
	next := EndpointInfo{Endpoint: w.Endpoint, Service: w.Service, Address: w.Address}
	hasOwnRow := w.row.StartMillis == startMillis
	if hasOwnRow {
		next = w.row
	}
	next.StartMillis = startMillis
	e.discard()
	var kept []*assignment
	for id, a := range w.runs {
		if a.phase != phasePlanned && a.evidence != EvidenceList {
			w.remove(id)
			kept = append(kept, a)
		}
	}
	lost := len(w.runs)
	successor := e.replaceWorker(now, w, next, LossRestarted)
	for _, a := range kept {
		a.hasOldToken, a.stopAcked, a.nextStopAt = true, false, time.Time{}
		successor.add(a)
	}
	successor.replaced = append(w.replaced, w.StartMillis)
	successor.hasRestarted, successor.mayHoldLongestLease, successor.hasOwnRow = true, true, hasOwnRow
	successor.describe()
	successor.extendLease(now, e.Bounds.MaxLease)
	e.observeRestart(now, w, successor, lost)
	return successor
}

// replaceWorker marks the runs of a process that no longer exists as lost and adds a worker for the next one.
func (e *Engine) replaceWorker(now time.Time, w *worker, next EndpointInfo, reason LossReason) *worker {
	for _, a := range w.runs {
		e.markLost(now, w, a, Loss{Reason: reason})
	}
	successor := e.newWorker(now, next)
	successor.row, successor.listed, successor.cordonedUntil = w.row, w.listed, w.cordonedUntil
	if !w.contacted {
		successor.firstSeen = w.firstSeen
	}
	successor.hasOwnRow = w.hasOwnRow
	successor.describe()
	e.setWorker(successor)
	return successor
}
