package shard

import (
	"slices"
	"time"
)

// setRow records the registry's row of an endpoint. A row with another start time may be old, of the next process,
// or left by another writer: only a list shows which process there is, so the row says no more than where to ask when
// the known address does not answer. A row without a start time may be of another writer: what a process is by its own
// row does not change with it.
func (w *worker) setRow(now time.Time, row EndpointInfo) {
	w.row = row
	address := w.Address
	switch {
	case !w.isDescribedBy(row):
	case !w.hasOwnRow || row.StartMillis != 0:
		startMillis := max(row.StartMillis, w.StartMillis) // One of them may be missing.
		w.EndpointInfo = row
		w.StartMillis, w.hasOwnRow = startMillis, row.StartMillis != 0
	default:
		w.Draining = row.Draining
	}
	if !w.reachable(now) && !slices.Contains(w.replaced, row.StartMillis) {
		w.Address = row.Address
	}
	if w.Address != address {
		w.holdInFlight = false
	}
}

// describe updates whether the registry lists the worker's process. It is called after each change of either.
func (w *worker) describe() { w.described = w.listed && w.isDescribedBy(w.row) }

// isDescribedBy reports whether a row is that of the worker's process. A row without a start time cannot be told from
// that of an earlier process, so it describes none that follows one.
func (w *worker) isDescribedBy(row EndpointInfo) bool {
	switch row.StartMillis {
	case w.StartMillis:
		return true
	case 0:
		return w.hasOwnRow || !w.hasRestarted
	}
	return w.StartMillis == 0
}
