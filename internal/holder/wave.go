package holder

import (
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	jobv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// waveState is the progress of one wave.
type waveState struct {
	order     WaveOrder
	startedAt time.Time
	ordered   map[fleet.VMID]time.Time
	seenDown  map[fleet.VMID]bool
	done      map[fleet.VMID]bool
	vacating  map[fleet.VMID]time.Time
	reported  bool
	completed bool
	// changed is set while the stored progress is out of date.
	changed bool
}

// row returns the stored form of the wave.
func (w *waveState) row() rowstore.Row {
	row := &jobv1.WaveProgress{Wave: string(w.order.Wave), Completed: w.completed}
	for vm := range w.ordered {
		row.Ordered = append(row.Ordered, string(vm))
	}
	for vm := range w.done {
		row.Done = append(row.Done, string(vm))
	}
	slices.Sort(row.Ordered)
	slices.Sort(row.Done)
	return mustRow(tableProgress, dutyPart(DutyMaintenance), rowstore.Key(keyWave+string(w.order.Wave)), row)
}

// observe updates which VMs are done and returns how many are down for the wave, or may be.
func (w *waveState) observe(now time.Time, vms map[fleet.VMID]PoolVM) int {
	down := 0
	for vm, at := range w.ordered {
		if w.done[vm] {
			continue
		}
		listed, known := vms[vm]
		switch {
		case !known:
			w.done[vm], w.changed = true, true
		case listed.Condition == VMConditionMaintenance:
			w.seenDown[vm] = true
			down++
		case listed.Condition != VMConditionUp:
			// It crashed or is being moved, which says nothing about its order.
			down++
		case now.Sub(at) < settleAfterOrder:
			down++
		case w.seenDown[vm]:
			w.done[vm], w.changed = true, true
		default:
			// Listed as up, and never seen down: either the maintenance is over, or the order was lost.
			// It is sent again, which is harmless when the maintenance is over.
			down++
		}
	}
	return down
}

// next returns the VMs to vacate or maintain now, those in progress first.
func (w *waveState) next(vms map[fleet.VMID]PoolVM, limit int) []fleet.VMID {
	var list []fleet.VMID
	for _, vm := range w.order.VMs {
		listed, known := vms[vm]
		if w.done[vm] || !known {
			continue
		}
		if _, ordered := w.ordered[vm]; ordered && (w.seenDown[vm] || listed.Condition != VMConditionUp) {
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

func (w *waveState) finished(vms map[fleet.VMID]PoolVM) bool {
	for _, vm := range w.order.VMs {
		if _, known := vms[vm]; known && !w.done[vm] {
			return false
		}
	}
	return true
}
