package maintenance

import (
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// exposurePerWidth bounds the VMs of a pool that were disrupted and are not judged yet, as a multiple
// of the width. At 2 a pool is not held up by soaks that are shorter than its steps.
const exposurePerWidth = 2

// use counts what a wave has under way in one pool.
type use struct {
	started, exposed fleet.VMCount
	zone             fleet.ZoneID
	rack             fleet.RackID
}

func (u *use) add(v fleet.WaveVM) {
	u.exposed++
	if v.State != fleet.WaveVMStateSoaking {
		u.started++
		u.zone, u.rack = v.Zone, v.Rack
	}
}

// starts returns the VMs to disrupt now. Pools proceed in parallel; within a pool only one failure
// domain is open: one rack up to the width of a rack, and one zone beyond.
func starts(w fleet.Wave, f Facts) []fleet.VMID {
	limits := WithDefaults(w.Spec.Limits)
	pools, total := map[fleet.PoolID]*use{}, use{}
	for _, v := range w.VMs {
		if pools[v.Pool] == nil {
			pools[v.Pool] = &use{}
		}
		if isExposed(v) {
			pools[v.Pool].add(v)
			total.add(v)
		}
	}
	var list []fleet.VMID
	for _, v := range w.VMs {
		u := pools[v.Pool]
		if v.State != fleet.WaveVMStatePending || f.VMs[v.VM].State != fleet.VMStateServing || f.Lost[v.VM] {
			continue
		}
		if w.Width == 0 && total.exposed+w.Healthy >= limits.CanaryVMs {
			break
		}
		if limits.MaxParallelVMs > 0 && total.started >= limits.MaxParallelVMs {
			break
		}
		if !u.hasRoom(w, v) || !f.Budget.Take(f.VMs[v.VM]) {
			continue
		}
		v.State = fleet.WaveVMStateStarted
		u.add(v)
		total.add(v)
		list = append(list, v.VM)
	}
	return list
}

// vmsPerRack is how many workers a rack houses.
const vmsPerRack = 4

// hasRoom reports whether the width and the open failure domain of the pool admit the VM.
func (u *use) hasRoom(w fleet.Wave, v fleet.WaveVM) bool {
	width := max(1, w.Width)
	if u.started >= width || u.exposed >= exposurePerWidth*width {
		return false
	}
	if u.started == 0 {
		return true
	}
	return u.zone == v.Zone && (u.rack == v.Rack || width > vmsPerRack)
}
