package holder

import (
	"bytes"
	"maps"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	jobv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// The progress of a wave is divided among rows by its VMs, so that waves of any number of VMs can be stored. A VM stays in
// its row while the operator's order does not change, and rows that have not changed are not written.
const (
	// keyWave is the prefix of the key of a wave's first row, keyWaveRow that of the others.
	keyWave    = "wave-"
	keyWaveRow = "wave."
	// maxWaveRow bounds the names in one row. A VM is named three times at most: as ordered, begun and done.
	maxWaveRow fleet.Bytes = 48 << 10
	// waveNameSize is what a name takes besides its text.
	waveNameSize fleet.Bytes = 4
	// maxWaveBytes bounds the rows of one transaction, well below 1 MB with their encoding.
	maxWaveBytes = 400 << 10
	// maxWaveRows bounds their number. The store accepts 100 entries.
	maxWaveRows = 90
)

// waveKey returns the key of a row of a wave.
func waveKey(wave fleet.WaveID, n int) rowstore.Key {
	if n == 0 {
		return rowstore.Key(keyWave + string(wave))
	}
	return rowstore.Key(keyWaveRow + strconv.Itoa(n) + "-" + string(wave))
}

// changedRows returns the rows whose stored values are out of date. Rows that hold no VM any more are stored empty.
func (w *waveState) changedRows() []rowstore.Row {
	var list []rowstore.Row
	vms := w.known()
	for n := 0; n == 0 || len(vms) > 0 || w.isStored(n); n++ {
		m := &jobv1.WaveProgress{Wave: string(w.order.Wave), Completed: w.completed}
		count, size := 0, fleet.Bytes(0)
		for ; count < len(vms); count++ {
			vm := vms[count]
			if size += 3 * (waveNameSize + fleet.Bytes(len(vm))); size > maxWaveRow && count > 0 {
				break
			}
			w.addVM(m, vm)
		}
		vms = vms[count:]
		row := mustRow(tableProgress, dutyPart(DutyMaintenance), waveKey(w.order.Wave, n), m)
		if old, ok := w.stored[row.Key]; !ok || !bytes.Equal(old, row.Value) {
			list = append(list, row)
		}
	}
	return list
}

// isStored reports whether a row has been written, by this holder or an earlier one.
func (w *waveState) isStored(n int) bool {
	_, ok := w.stored[waveKey(w.order.Wave, n)]
	return ok
}

// known returns the VMs of the order, and those of earlier orders that the wave has progress of.
func (w *waveState) known() []fleet.VMID {
	set := map[fleet.VMID]bool{}
	for _, vm := range w.order.VMs {
		set[vm] = true
	}
	for vm := range w.ordered {
		set[vm] = true
	}
	for vm := range w.begun {
		set[vm] = true
	}
	for vm := range w.done {
		set[vm] = true
	}
	return slices.Sorted(maps.Keys(set))
}

func (w *waveState) addVM(m *jobv1.WaveProgress, vm fleet.VMID) {
	if _, ok := w.ordered[vm]; ok {
		m.Ordered = append(m.Ordered, string(vm))
	}
	if w.begun[vm] {
		m.Begun = append(m.Begun, string(vm))
	}
	if w.done[vm] {
		m.Done = append(m.Done, string(vm))
	}
}

// waveRow decodes a row of a maintenance wave, and returns false for other rows.
func waveRow(row rowstore.Row) (WaveRow, bool) {
	if !strings.HasPrefix(string(row.Key), keyWave) && !strings.HasPrefix(string(row.Key), keyWaveRow) {
		return WaveRow{}, false
	}
	m := &jobv1.WaveProgress{}
	if err := proto.Unmarshal(row.Value, m); err != nil {
		return WaveRow{}, false
	}
	w := WaveRow{Wave: fleet.WaveID(m.GetWave()), Key: row.Key, Completed: m.GetCompleted()}
	for _, vm := range m.GetOrdered() {
		w.Ordered = append(w.Ordered, fleet.VMID(vm))
	}
	for _, vm := range m.GetBegun() {
		w.Begun = append(w.Begun, fleet.VMID(vm))
	}
	for _, vm := range m.GetDone() {
		w.Done = append(w.Done, fleet.VMID(vm))
	}
	return w, true
}
