package maintenance

import (
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// inFlightPerWidth bounds the VMs of a pool that are disrupted or soaking, as a multiple of the width. At
// 2, soaks that are shorter than the steps do not delay the pool.
const inFlightPerWidth = 2

// poolUsage counts the VMs of one pool that a wave has in flight. started excludes soaking VMs.
type poolUsage struct {
	started, inFlight fleet.VMCount
	zone              fleet.ZoneID
}

func (u *poolUsage) add(v fleet.WaveVM) {
	u.inFlight++
	if v.State != fleet.WaveVMStateSoaking {
		u.started++
		u.zone = v.Zone
	}
}

// selectStarts returns the VMs to disrupt now. Pools proceed in parallel. Within a pool only one zone is
// disrupted at a time, in the order of the plan. Racks may overlap: waiting for the last VM of each rack
// prolonged a roll-out from 63.1 to 68.2 minutes, because a pool's VMs do not fill their racks.
func selectStarts(w fleet.Wave, f Facts) []fleet.VMID {
	limits := WithDefaults(w.Spec.Limits)
	pools, total := map[fleet.PoolID]*poolUsage{}, poolUsage{}
	for i := range w.VMs {
		if v := &w.VMs[i]; isInFlight(*v) {
			if pools[v.Pool] == nil {
				pools[v.Pool] = &poolUsage{}
			}
			pools[v.Pool].add(*v)
			total.add(*v)
		}
	}
	var list []fleet.VMID
	var usage *poolUsage
	for i, v := range w.VMs {
		// The VMs of a pool are adjacent, so its usage is looked up once.
		if i == 0 || v.Pool != w.VMs[i-1].Pool {
			if usage = pools[v.Pool]; usage == nil {
				usage = &poolUsage{}
			}
		}
		// hasRoom comes first, because it rules out most VMs without a look-up of their rows.
		if v.State != fleet.WaveVMStatePending || !usage.hasRoom(w, v) || f.VMs[v.VM].State != fleet.VMStateServing || f.Unavailable[v.VM] {
			continue
		}
		if w.Width == 0 && total.inFlight+w.Healthy >= limits.CanaryVMs {
			break
		}
		if limits.MaxParallelVMs > 0 && total.started >= limits.MaxParallelVMs {
			break
		}
		if !f.Budget.Reserve(f.VMs[v.VM]) {
			continue
		}
		v.State = fleet.WaveVMStateStarted
		usage.add(v)
		total.add(v)
		list = append(list, v.VM)
	}
	return list
}

// hasRoom reports whether the width and the zone in progress of the pool admit the VM.
func (u *poolUsage) hasRoom(w fleet.Wave, v fleet.WaveVM) bool {
	width := max(1, w.Width)
	if u.started >= width || u.inFlight >= inFlightPerWidth*width {
		return false
	}
	return u.started == 0 || u.zone == v.Zone
}
