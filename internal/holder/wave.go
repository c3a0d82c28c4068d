package holder

import (
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// waveState is the progress of one wave.
type waveState struct {
	order     WaveOrder
	startedAt time.Time
	// ordered is when a VM's order was last sent, or when the intent to send it was stored.
	ordered map[fleet.VMID]time.Time
	// begun holds the VMs whose maintenance for this wave the platform has confirmed. Only the answer to an order that
	// names the wave does so: the list of VMs does not say for which wave a VM is down, or whether it crashed.
	begun map[fleet.VMID]bool
	done  map[fleet.VMID]bool
	// missingSince is when a VM was first missing from the list.
	missingSince map[fleet.VMID]time.Time
	vacating     map[fleet.VMID]time.Time
	reported     bool
	completed    bool
	// changed is set while the stored progress is out of date.
	changed bool
	// stored are the values of the rows as last written, by key; nil for rows of an earlier holder.
	stored map[rowstore.Key][]byte
}

// missingTimeout is how long a VM has to be missing from the list before it counts as gone. Its pages are not a
// snapshot, so one list may lack a VM.
const missingTimeout = 3 * time.Second

func newWaveState(now time.Time) *waveState {
	return &waveState{
		startedAt: now, ordered: map[fleet.VMID]time.Time{}, begun: map[fleet.VMID]bool{}, done: map[fleet.VMID]bool{},
		missingSince: map[fleet.VMID]time.Time{}, vacating: map[fleet.VMID]time.Time{}, stored: map[rowstore.Key][]byte{},
	}
}

// observe updates which VMs are done and returns how many are down for the wave, or may be.
func (w *waveState) observe(now time.Time, vms map[fleet.VMID]PoolVM) int {
	for _, vm := range w.order.VMs {
		if _, listed := vms[vm]; listed {
			delete(w.missingSince, vm)
		} else if w.missingSince[vm].IsZero() {
			w.missingSince[vm] = now
		}
	}
	down := 0
	for vm, at := range w.ordered {
		listed, known := vms[vm]
		switch {
		case w.done[vm] || !known && w.isGone(now, vm):
		case w.begun[vm] && known && listed.Condition == VMConditionUp && now.Sub(at) >= settleAfterOrder:
			w.done[vm], w.changed = true, true
		default:
			// Without a confirmation the VM may be down for another cause, or its order may have been lost. The order
			// is sent again once the VM is up, which is harmless when the maintenance is over.
			down++
		}
	}
	return down
}

// isGone reports whether a VM has been missing from the list for so long that it no longer exists.
func (w *waveState) isGone(now time.Time, vm fleet.VMID) bool {
	since, missing := w.missingSince[vm]
	return missing && now.Sub(since) >= missingTimeout
}

// next returns the VMs to vacate or maintain now, those in progress first.
func (w *waveState) next(vms map[fleet.VMID]PoolVM, limit int) []fleet.VMID {
	var list []fleet.VMID
	for _, vm := range w.order.VMs {
		listed, known := vms[vm]
		if w.done[vm] || !known {
			continue
		}
		if _, ordered := w.ordered[vm]; ordered && (w.begun[vm] || listed.Condition != VMConditionUp) {
			continue
		}
		list = append(list, vm)
	}
	slices.SortStableFunc(list, func(a, b fleet.VMID) int {
		return w.rank(b) - w.rank(a)
	})
	// The limit may be the largest integer, so nothing is added to it.
	return list[:min(len(list), min(max(limit, 0), len(list))+vacateAhead)]
}

// rank ranks a VM: ordered ones first, then those that are being vacated.
func (w *waveState) rank(vm fleet.VMID) int {
	if _, ordered := w.ordered[vm]; ordered {
		return 2
	}
	if !w.vacating[vm].IsZero() {
		return 1
	}
	return 0
}

// finished reports whether each VM has had its maintenance, cannot have it, or is gone.
func (w *waveState) finished(now time.Time) bool {
	for _, vm := range w.order.VMs {
		if !w.done[vm] && !w.isGone(now, vm) {
			return false
		}
	}
	return true
}
