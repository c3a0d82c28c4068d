package shard

import (
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// EpochStep is the distance between the epochs of a lease's holders, and so the number of fencing tokens that a
// holder can use for an endpoint. Tokens stay below 2^53, up to which JSON numbers are exact, for 2^37 holders.
const EpochStep = 1 << 16

// fencingToken returns the token of the orders to a worker. Orders name an endpoint and not its process, so each
// next process under the endpoint's id gets a higher token: once it has answered an order with that token, it
// rejects the orders that were meant for an earlier process and arrive late.
func (e *Engine) fencingToken(w *worker) fleet.FencingToken {
	return e.Epoch + e.restarts[w.Endpoint]
}

// isForEarlierProcess reports whether an order was created before the holder learned of the worker's process. The
// answer may come from either process, because only lists name the process.
func (e *Engine) isForEarlierProcess(w *worker, o Order) bool {
	return o.Token < e.fencingToken(w)
}

// handleRestart replaces the worker of an endpoint that another process has started under its id. Runs that the
// earlier process has listed ended with it. Other runs may have been started by the next process instead: they are
// kept until it answers a renewal with its own token, when its list shows which of them it executes.
func (e *Engine) handleRestart(now time.Time, w *worker, next EndpointInfo, source RestartSource) *worker {
	e.restarts[w.Endpoint] = min(e.restarts[w.Endpoint]+1, EpochStep-1)
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
		a.fenced, a.stopAcked, a.nextStopAt = true, false, time.Time{}
		successor.add(a)
	}
	successor.replaced = append(w.replaced, w.StartMillis)
	successor.mayHoldLongestLease = true
	successor.extendLease(now, e.Bounds.MaxLease)
	e.observeRestart(now, w, successor, source, lost)
	return successor
}

// isRestart reports whether a row of the registry shows a process that started after the worker's. The registry
// lags: it may still show a process that has been replaced, whose start time is later if clocks have jumped.
func (w *worker) isRestart(row EndpointInfo) bool {
	return w.StartMillis != 0 && row.StartMillis > w.StartMillis && !slices.Contains(w.replaced, row.StartMillis)
}

// replaceWorker marks the runs of a process that no longer exists as lost and adds a worker for the next one.
func (e *Engine) replaceWorker(now time.Time, w *worker, next EndpointInfo, reason LossReason) *worker {
	for _, a := range w.runs {
		e.markLost(now, w, a, Loss{Reason: reason})
	}
	successor := newWorker(next)
	successor.listed, successor.cordonedUntil = w.listed, w.cordonedUntil
	e.setWorker(successor)
	return successor
}
