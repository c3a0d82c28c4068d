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
}

func (u *use) add(v fleet.WaveVM) {
	u.exposed++
	if v.State != fleet.WaveVMStateSoaking {
		u.started++
		u.zone = v.Zone
	}
}

// starts returns the VMs to disrupt now. Pools proceed in parallel. Within a pool only one zone is
// open, rack by rack in the order of the plan. Waiting for the last VM of each rack instead made a
// roll-out of 63.1 minutes take 68.2, because a pool's VMs do not fill their racks.
func starts(w fleet.Wave, f Facts) []fleet.VMID {
	limits := WithDefaults(w.Spec.Limits)
	pools, total := map[fleet.PoolID]*use{}, use{}
	for i := range w.VMs {
		if v := &w.VMs[i]; isExposed(*v) {
			if pools[v.Pool] == nil {
				pools[v.Pool] = &use{}
			}
			pools[v.Pool].add(*v)
			total.add(*v)
		}
	}
	var list []fleet.VMID
	var u *use
	for i, v := range w.VMs {
		// The VMs of a pool follow each other, so its use is looked up once.
		if i == 0 || v.Pool != w.VMs[i-1].Pool {
			if u = pools[v.Pool]; u == nil {
				u = &use{}
			}
		}
		// Most VMs find no room, so their rows are not looked up.
		if v.State != fleet.WaveVMStatePending || !u.hasRoom(w, v) || f.VMs[v.VM].State != fleet.VMStateServing || f.Lost[v.VM] {
			continue
		}
		if w.Width == 0 && total.exposed+w.Healthy >= limits.CanaryVMs {
			break
		}
		if limits.MaxParallelVMs > 0 && total.started >= limits.MaxParallelVMs {
			break
		}
		if !f.Budget.Take(f.VMs[v.VM]) {
			continue
		}
		v.State = fleet.WaveVMStateStarted
		u.add(v)
		total.add(v)
		list = append(list, v.VM)
	}
	return list
}

// hasRoom reports whether the width and the open failure domain of the pool admit the VM.
func (u *use) hasRoom(w fleet.Wave, v fleet.WaveVM) bool {
	width := max(1, w.Width)
	if u.started >= width || u.exposed >= exposurePerWidth*width {
		return false
	}
	return u.started == 0 || u.zone == v.Zone
}
