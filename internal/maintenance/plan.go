package maintenance

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// DeadlineError reports a wave that cannot end before its deadline. Nothing was planned or started.
type DeadlineError struct {
	Wave     fleet.WaveID
	Deadline time.Time
	Expected time.Time
}

// Error implements error.
func (e *DeadlineError) Error() string {
	return fmt.Sprintf("wave %s is expected to end at %s, after its deadline %s: set a later deadline or fewer pools",
		e.Wave, e.Expected.Format(time.RFC3339), e.Deadline.Format(time.RFC3339))
}

// EmptyError reports a wave that no VM matches. Nothing was planned.
type EmptyError struct {
	Wave fleet.WaveID
}

// Error implements error.
func (e *EmptyError) Error() string {
	return fmt.Sprintf("no VM matches the pools and the filter of wave %s", e.Wave)
}

// VersionError reports a roll-out without a version, or another action with one.
type VersionError struct {
	Action fleet.WaveAction
}

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("action %s: a version is needed for roll-out and allowed for no other action", e.Action)
}

// Step is a set of VMs of one pool and rack that the wave disrupts together.
type Step struct {
	Pool fleet.PoolID
	Zone fleet.ZoneID
	Rack fleet.RackID
	VMs  []fleet.VMID
}

// Plan is a wave that has not started, with the steps that are expected if nothing fails.
type Plan struct {
	Wave     fleet.Wave
	Steps    []Step
	Expected time.Duration
}

// Request is the input of a plan.
type Request struct {
	ID   fleet.WaveID
	Spec fleet.WaveSpec
	VMs  []fleet.VM
	// Parallel is how many VMs of each configured pool the budget lets a wave disrupt concurrently.
	// VMs of other pools have no budget and are left out.
	Parallel map[fleet.PoolID]fleet.VMCount
	// StepTime is how long a drain and its action are expected to take.
	StepTime time.Duration
}

// DefaultStepTime is the expected time of a drain and its action.
const DefaultStepTime = 6 * time.Minute

// NewPlan plans a wave. It returns *EmptyError, *VersionError or *DeadlineError.
func NewPlan(r Request, now time.Time) (Plan, error) {
	if (r.Spec.Action == fleet.WaveActionRollOut) != (r.Spec.Version != "") {
		return Plan{}, trace.Wrap(&VersionError{Action: r.Spec.Action})
	}
	w := fleet.Wave{ID: r.ID, Spec: r.Spec, State: fleet.WaveStatePlanned, CreatedAt: now, ChangedAt: now, VMs: selectVMs(r)}
	if len(w.VMs) == 0 {
		return Plan{}, trace.Wrap(&EmptyError{Wave: r.ID})
	}
	p := Plan{Wave: w}
	p.Steps, p.Expected = simulate(w, r)
	if end := now.Add(p.Expected); !w.Spec.Deadline.IsZero() && end.After(w.Spec.Deadline) {
		return Plan{}, trace.Wrap(&DeadlineError{Wave: r.ID, Deadline: w.Spec.Deadline, Expected: end})
	}
	return p, nil
}

// selectVMs returns the VMs of a wave in the order in which it proceeds: by pool, zone, rack and id.
func selectVMs(r Request) []fleet.WaveVM {
	byPool := map[fleet.PoolID][]fleet.VM{}
	for _, vm := range r.VMs {
		if _, ok := r.Parallel[vm.Pool]; ok && matches(r.Spec, vm) {
			byPool[vm.Pool] = append(byPool[vm.Pool], vm)
		}
	}
	var list []fleet.WaveVM
	for _, vms := range byPool {
		if limit := int(r.Spec.Limits.MaxVMsPerPool); limit > 0 && len(vms) > limit {
			slices.SortFunc(vms, func(a, b fleet.VM) int {
				return cmp.Or(maintainedAt(a).Compare(maintainedAt(b)), cmp.Compare(a.ID, b.ID))
			})
			vms = vms[:limit]
		}
		for _, vm := range vms {
			list = append(list, fleet.WaveVM{
				VM: vm.ID, Pool: vm.Pool, Zone: vm.Zone, Rack: vm.Rack, State: fleet.WaveVMStatePending, PreviousVersion: vm.Version,
			})
		}
	}
	rank := zoneRanks(list, r.Parallel)
	slices.SortFunc(list, func(a, b fleet.WaveVM) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(rank[poolZone{a.Pool, a.Zone}], rank[poolZone{b.Pool, b.Zone}]),
			cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.VM, b.VM))
	})
	return list
}

// poolZone is one zone of a pool.
type poolZone struct {
	pool fleet.PoolID
	zone fleet.ZoneID
}

// zoneRanks returns the rank of each zone of a pool: zones of rank 0 are disrupted before those of rank 1. A
// canary disrupts one VM where the budget allows more, so it costs no time in a zone that needs a step of
// one VM anyway.
func zoneRanks(list []fleet.WaveVM, parallel map[fleet.PoolID]fleet.VMCount) map[poolZone]int {
	sizes := map[poolZone]fleet.VMCount{}
	for _, v := range list {
		sizes[poolZone{v.Pool, v.Zone}]++
	}
	ranks := map[poolZone]int{}
	for d, n := range sizes {
		if limit := parallel[d.pool]; limit > 1 && n%limit != 1 {
			ranks[d] = 1
		}
	}
	return ranks
}

func matches(s fleet.WaveSpec, vm fleet.VM) bool {
	f := s.Filter
	return vm.State != fleet.VMStateRemoved && vm.State != fleet.VMStateFailed &&
		(len(s.Pools) == 0 || slices.Contains(s.Pools, vm.Pool)) &&
		(len(f.Zones) == 0 || slices.Contains(f.Zones, vm.Zone)) &&
		(len(f.Racks) == 0 || slices.Contains(f.Racks, vm.Rack)) &&
		(f.MaintainedBefore.IsZero() || maintainedAt(vm).Before(f.MaintainedBefore)) &&
		(f.VersionNot == "" || vm.Version != f.VersionNot)
}

// maintainedAt returns when the VM was last maintained. A VM that never was counts from its last change of
// state, because its row does not record when it was created.
func maintainedAt(vm fleet.VM) time.Time {
	if vm.LastMaintained.IsZero() {
		return vm.Since
	}
	return vm.LastMaintained
}
