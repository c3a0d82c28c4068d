package platform

import (
	"cmp"
	"slices"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	platformv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/platform/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// vms holds the VMs and the past states of them that the lagging list shows.
type vms struct {
	lag        time.Duration
	rebootTime time.Duration
	current    map[fleet.VMID]*platformv1.VM
	// pending holds the actions in progress, by VM.
	pending map[fleet.VMID]pendingAction
	// snapshots holds the list after each change, oldest first; list drops those too old to be shown again.
	snapshots []listSnapshot
	// lastAsOf is the AsOf time of the list that was returned last.
	lastAsOf time.Time
	// done holds the finished operations, so that a late duplicate has no effect.
	done map[fleet.OperationID]bool
}

type pendingAction struct {
	request *platformv1.ActOnVMRequest
	endsAt  time.Time
}

type listSnapshot struct {
	at  time.Time
	vms []*platformv1.VM
}

func newVMs(lag, rebootTime time.Duration) *vms {
	return &vms{
		lag:        lag,
		rebootTime: rebootTime,
		current:    map[fleet.VMID]*platformv1.VM{},
		pending:    map[fleet.VMID]pendingAction{},
		done:       map[fleet.OperationID]bool{},
	}
}

// put adds or replaces a VM.
func (v *vms) put(now time.Time, vm *platformv1.VM) {
	if vm.GetBootId() == "" {
		vm.BootId = uuid.NewString()
	}
	v.current[fleet.VMID(vm.GetId())] = vm
	v.record(now)
}

func (v *vms) remove(now time.Time, id fleet.VMID) {
	delete(v.current, id)
	v.record(now)
}

// act starts an action. A repeated operation id is accepted and has no effect.
func (v *vms) act(now time.Time, r *platformv1.ActOnVMRequest) *platformv1.ActOnVMResponse {
	v.advance(now)
	id := fleet.VMID(r.GetVm())
	vm, ok := v.current[id]
	if !ok {
		return &platformv1.ActOnVMResponse{}
	}
	if v.done[fleet.OperationID(r.GetOperationId())] {
		return &platformv1.ActOnVMResponse{Accepted: true}
	}
	if p, busy := v.pending[id]; busy {
		return &platformv1.ActOnVMResponse{Accepted: p.request.GetOperationId() == r.GetOperationId()}
	}
	vm.State = string(fleet.PlatformVMStateRebooting)
	v.pending[id] = pendingAction{request: r, endsAt: now.Add(v.rebootTime)}
	v.record(now)
	return &platformv1.ActOnVMResponse{Accepted: true}
}

// advance finishes the actions whose end has passed.
func (v *vms) advance(now time.Time) {
	for id, p := range v.pending {
		if now.Before(p.endsAt) {
			continue
		}
		delete(v.pending, id)
		vm := v.current[id]
		if vm == nil {
			continue
		}
		vm.State = string(fleet.PlatformVMStateLive)
		vm.BootId = uuid.NewString()
		vm.LastOperationId = p.request.GetOperationId()
		v.done[fleet.OperationID(vm.GetLastOperationId())] = true
		if p.request.GetVersion() != "" {
			vm.Version = p.request.GetVersion()
		}
		v.record(p.endsAt)
	}
}

// list returns the newest list that is at least the lag old.
func (v *vms) list(now time.Time, extraLag time.Duration, zones []string) *platformv1.ListVMsResponse {
	v.advance(now)
	slices.SortStableFunc(v.snapshots, func(a, b listSnapshot) int { return a.at.Compare(b.at) })
	limit := now.Add(-v.lag - extraLag)
	if limit.Before(v.lastAsOf) {
		// When the lag grows, the list stays at its last state; it does not go back.
		limit = v.lastAsOf
	}
	v.lastAsOf = limit
	for len(v.snapshots) > 1 && !v.snapshots[1].at.After(limit) {
		v.snapshots = v.snapshots[1:]
	}
	response := &platformv1.ListVMsResponse{AsOf: timestamppb.New(limit)}
	if len(v.snapshots) == 0 || v.snapshots[0].at.After(limit) && v.lag > 0 {
		return response
	}
	for _, vm := range v.snapshots[0].vms {
		if len(zones) == 0 || slices.Contains(zones, vm.GetZone()) {
			response.Vms = append(response.Vms, vm)
		}
	}
	return response
}

func (v *vms) record(at time.Time) {
	l := listSnapshot{at: at}
	for _, vm := range v.current {
		l.vms = append(l.vms, proto.CloneOf(vm))
	}
	slices.SortFunc(l.vms, func(a, b *platformv1.VM) int { return cmp.Compare(a.GetId(), b.GetId()) })
	v.snapshots = append(v.snapshots, l)
}
