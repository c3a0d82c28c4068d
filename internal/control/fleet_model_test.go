package control_test

import (
	"context"
	"fmt"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/configuration"
	"github.com/mimosawharf/mimosawharf/internal/control"
	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/internal/maintenance"
	"github.com/mimosawharf/mimosawharf/internal/operation"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/spare"
	standinplatform "github.com/mimosawharf/mimosawharf/internal/standin/platform"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// counts holds how often a schedule exercised each behaviour.
type counts struct {
	moves, operatorDrains, waveDrains, spareDrains, actions, attempts, losses, restores int
}

func (c *counts) add(o counts) {
	c.moves += o.moves
	c.operatorDrains += o.operatorDrains
	c.waveDrains += o.waveDrains
	c.spareDrains += o.spareDrains
	c.actions += o.actions
	c.attempts += o.attempts
	c.losses += o.losses
	c.restores += o.restores
}

// model is the actual state of the fleet, which the entries see late or in part.
type model struct {
	counts counts
	// isCalm excludes losses, restores and changes of budgets, so that budgets hold at all times.
	isCalm   bool
	zonesCut bool
	lostAt   map[fleet.VMID]time.Time
	// endpoints holds the newest assignment for which each endpoint has run a request.
	endpoints map[fleet.VMID]assignment
	// firstUsers holds the entry that sent the first request of that assignment.
	firstUsers map[fleet.VMID]*entry
	load       ring.Latest[control.Load]
	history    fleet.TableHistory
	revision   fleet.TableRevision
	budgets    map[fleet.PoolID]fleet.Budget
	rows       map[fleet.TableKey]fleet.VM
	audits     map[fleet.TableKey]fleet.RowVersion
	issued     []issuedChange
	waves      int
	backup     bool
}

type assignment struct {
	pool  fleet.PoolID
	epoch fleet.AssignmentEpoch
}

// attempt is a request in flight. It ends when the VM is lost.
type attempt struct {
	vm fleet.VMID
	assignment
	since time.Time
}

// issuedChange is a call that its client may repeat at any time and through any entry.
type issuedChange struct {
	change operation.ChangeVM
	id     fleet.OperationID
}

func newModel(seed uint64) *model {
	return &model{
		isCalm: seed%3 == 0, lostAt: map[fleet.VMID]time.Time{}, endpoints: map[fleet.VMID]assignment{},
		firstUsers: map[fleet.VMID]*entry{},
		budgets:    map[fleet.PoolID]fleet.Budget{},
		rows:       map[fleet.TableKey]fleet.VM{}, audits: map[fleet.TableKey]fleet.RowVersion{},
	}
}

// Decide implements control.MovePlanner. It lends or reclaims VMs at random.
func (s *simulation) Decide(_ time.Time, list []spare.Pool) []spare.Move {
	for _, p := range list {
		for _, vm := range p.Home {
			if p.Lender && s.random.IntN(4) == 0 {
				return []spare.Move{{VM: vm.ID, From: p.ID, To: "rota"}}
			}
		}
		for _, vm := range p.Borrowed {
			if s.random.IntN(2) == 0 {
				return []spare.Move{{VM: vm.ID, From: p.ID, To: vm.HomePool}}
			}
		}
	}
	return nil
}

// interrupt runs steps of other entries in the middle of a call.
func (s *simulation) interrupt(ctx context.Context) {
	for s.random.IntN(3) == 0 {
		s.step(ctx)
	}
}

// step runs one random action of a random entry, unless that entry is in the middle of a call. An entry
// that is not chosen for a long time acts like a paused process.
func (s *simulation) step(ctx context.Context) {
	e := s.entries[s.random.IntN(len(s.entries))]
	if e.busy {
		return
	}
	e.busy = true
	defer func() { e.busy = false }()
	switch s.random.IntN(11) {
	case 0, 1:
		e.poll(ctx)
	case 2:
		e.holder.Step(ctx)
	case 3, 4:
		e.driver.Step(ctx)
	case 5:
		e.waves.Step(ctx)
	case 6:
		e.spares.Step(ctx)
	case 7, 8:
		e.runRequests(ctx)
	case 9:
		s.operateWave(ctx, e)
	default:
		s.operate(e)
	}
	if v := e.view.Get(); v != nil {
		s.is.True(v.Configuration.Revision >= e.lastConfig) // the configuration never goes back
		e.lastConfig = v.Configuration.Revision
	}
}

func (e *entry) poll(ctx context.Context) {
	for {
		ev, ok := e.inbox.TryPop()
		if !ok {
			break
		}
		e.poller.Handle(ctx, ev)
	}
	e.poller.Poll(ctx)
	if list, err := e.client.ListVMs(ctx); err == nil {
		e.poller.Handle(ctx, control.PollerEvent{List: &list})
	}
	if e.sim.random.IntN(3) > 0 { // the dispatcher may lag behind the poller
		e.dispatch()
	}
}

// dispatch passes the current view to the dispatcher and publishes the acknowledged revision.
func (e *entry) dispatch() {
	if view := e.view.Get(); view != nil {
		e.dispatcherView = view
	}
	revision := e.dispatcherView.Revision
	for _, a := range e.attempts {
		vm, ok := e.dispatcherView.VMs[a.vm]
		if ok && vm.State == fleet.VMStateDraining && fleet.TableRevision(vm.RowVersion) <= revision {
			revision = fleet.TableRevision(vm.RowVersion) - 1
		}
	}
	e.status.Set(dispatch.Status{Acknowledged: revision, History: e.dispatcherView.History})
}

// crossZoneRunTime is the longest run time of a request to another zone in the model. An entry uses such a
// VM for up to half the hold time after it last read the table, and the release waits for the lease duration
// plus the hold time from the drain on. A request that runs longer is not covered by that rule.
const crossZoneRunTime = leaseDuration + holdTime/2

// runRequests ends requests or sends one.
func (e *entry) runRequests(ctx context.Context) {
	s, now := e.sim, e.sim.clock.Now()
	var rest []attempt
	for _, a := range e.attempts {
		isForeign := zoneOfVM(a.vm) != e.zone
		if isLost := !s.model.lostAt[a.vm].IsZero(); !isLost && (isForeign && now.Sub(a.since) < crossZoneRunTime || !isForeign) && s.random.IntN(4) > 0 {
			rest = append(rest, a)
		}
	}
	e.attempts = rest
	if view := e.view.Get(); view != nil && now.Sub(view.RefreshedAt) > holdTime/2 {
		e.poller.Poll(ctx) // the poll interval is shorter than half the hold time
	}
	e.dispatch()
	vm, ok := e.dispatcherView.VMs[vmID(s.random.IntN(vms))]
	if !ok || vm.State != fleet.VMStateServing || e.dispatcherView.Leaving[vm.ID] || !s.model.lostAt[vm.ID].IsZero() {
		return
	}
	last, current := s.model.endpoints[vm.ID], assignment{vm.Pool, vm.AssignmentEpoch}
	if current.epoch < last.epoch || current.epoch == last.epoch && current.pool != last.pool {
		s.is.True(current.epoch < last.epoch) // an epoch belongs to one pool only
		return                                // the endpoint refuses the request
	}
	for _, other := range s.entries {
		for _, a := range other.attempts {
			if a.vm == vm.ID && a.assignment != current && (other.zone == zoneOfVM(vm.ID) || now.Sub(a.since) < crossZoneRunTime) {
				s.is.Equal(a.assignment, current) // a VM runs requests of one assignment only
			}
		}
	}
	if last != current {
		s.model.endpoints[vm.ID], s.model.firstUsers[vm.ID] = current, e
	}
	s.model.counts.attempts++
	e.attempts = append(e.attempts, attempt{vm: vm.ID, assignment: current, since: now})
	e.dispatch()
}

func zoneOfVM(id fleet.VMID) fleet.ZoneID {
	var i int
	_, _ = fmt.Sscanf(string(id), "vm-%d", &i)
	return zoneOf(i)
}

func (s *simulation) operate(e *entry) {
	r, m := s.random, s.model
	if len(m.issued) > 0 && r.IntN(3) == 0 { // a client repeats its call
		p := m.issued[r.IntN(len(m.issued))]
		s.change(e, p.change, p.id)
		return
	}
	if !m.isCalm && r.IntN(6) == 0 {
		budget := fleet.Budget{MaxUnavailableVMs: fleet.VMCount(1 + r.IntN(2))}
		if r.IntN(2) == 0 { // depends on VMs that moved away, which a stale read may still show in the pool
			budget = fleet.Budget{MinAvailableVMs: fleet.VMCount(1 + r.IntN(2))}
		}
		s.apply(e, configuration.Change{PutPool: &fleet.Pool{ID: "rota", Budget: budget}})
		return
	}
	p := issuedChange{id: fleet.NewOperationID(), change: operation.ChangeVM{
		Command: commands[r.IntN(len(commands))], VM: vmID(r.IntN(vms)), Pool: pools[r.IntN(2)],
	}}
	if p.change.Command == operation.VMCommandRollOut {
		p.change.Version = "v2"
	}
	m.issued = append(m.issued, p)
	s.change(e, p.change, p.id)
}

// waveID numbers the waves, so that their order depends on the seed only.
func waveID(i int) fleet.WaveID { return fleet.WaveID(fmt.Sprintf("wave-%03d", i)) }

func (s *simulation) operateWave(ctx context.Context, e *entry) {
	id := operation.Identity{ID: fleet.NewOperationID(), Actor: "ada"}
	view := e.view.Get()
	if view == nil {
		return
	}
	open := 0
	for _, w := range view.Waves {
		if !w.State.IsFinal() {
			open++
		}
	}
	if open < 2 && s.random.IntN(4) == 0 {
		s.model.waves++
		o := operation.CreateWave{
			Identity: id, ID: waveID(s.model.waves), Reply: ring.New[operation.Result[maintenance.Plan]]("r", 1),
			Spec: fleet.WaveSpec{Action: fleet.WaveActionReboot, Limits: fleet.WaveLimits{Soak: 8 * time.Second}},
		}
		e.executor.Execute(ctx, o)
		return
	}
	actions := []fleet.WaveCommand{fleet.WaveCommandStart, fleet.WaveCommandStart, fleet.WaveCommandHalt, fleet.WaveCommandResume, fleet.WaveCommandCancel}
	e.executor.Execute(ctx, operation.ControlWave{
		Identity: id, ID: waveID(s.random.IntN(s.model.waves + 1)), Command: actions[s.random.IntN(len(actions))], Reply: ring.New[operation.Result[fleet.Wave]]("r", 1),
	})
}

// changeFaults changes the faults.
func (s *simulation) changeFaults() {
	f, r, m := &s.store.Faults, s.random, s.model
	kinds := 18
	if m.isCalm {
		kinds = 14
	}
	switch r.IntN(kinds) {
	case 8, 9, 10, 11: // faults of the platform and partitions end, but lost VMs stay lost
		*f = standinplatform.Faults{}
		m.zonesCut = false
		for _, e := range s.entries {
			e.cut = false
		}
	case 0:
		f.LoseAnswers = r.IntN(3)
	case 1:
		f.StaleReads, f.StaleBy = r.IntN(4), r.IntN(6)
	case 2:
		f.Duplicates = r.IntN(3)
	case 3:
		f.Conflicts, f.RateExceeded = r.IntN(2), r.IntN(3)
	case 4:
		f.Down = r.IntN(4) == 0
	case 5:
		f.ListLate = time.Duration(r.IntN(2)) * 30 * time.Second
	case 6:
		e := s.entries[r.IntN(len(s.entries))]
		e.cut = !e.cut
	case 7: // an entry restarts under the same id; requests of the old process end with their connections
		if i := r.IntN(len(s.entries)); !s.entries[i].busy {
			s.entries[i] = s.newEntry(s.entries[i].holder.Entry.ID, s.entries[i].zone)
		}
	case 12: // a partition between the zones, and between some entries and the platform
		m.zonesCut = true
		for _, e := range s.entries {
			e.cut = e.zone == zoneOf(r.IntN(2))
		}
	case 13:
		m.load.Set(control.Load{Pools: map[fleet.PoolID]control.PoolLoad{"rota": {Queued: time.Duration(r.IntN(60)) * time.Minute}}})
	case 14, 15:
		s.loseOrReturn()
	default:
		s.restore()
	}
}

// loseOrReturn loses a VM or a rack of two VMs, or brings all lost VMs back.
func (s *simulation) loseOrReturn() {
	m := s.model
	if len(m.lostAt) > 0 {
		for i := range vms {
			if !m.lostAt[vmID(i)].IsZero() {
				s.putVM(i)
			}
		}
		clear(m.lostAt)
		return
	}
	first, n := s.random.IntN(vms), 1+s.random.IntN(2)
	for i := range vms {
		if i == first || n == 2 && i/2 == first/2 {
			m.lostAt[vmID(i)] = s.clock.Now()
			s.store.RemoveVM(vmID(i))
			m.counts.losses++
			for _, e := range s.entries {
				e.dropAttempts(vmID(i))
			}
		}
	}
}

func (e *entry) dropAttempts(id fleet.VMID) {
	var rest []attempt
	for _, a := range e.attempts {
		if a.vm != id {
			rest = append(rest, a)
		}
	}
	e.attempts = rest
}

// restore takes a backup of the table, or restores the last one.
func (s *simulation) restore() {
	m := s.model
	if !m.backup {
		s.store.Backup()
		m.backup = true
		return
	}
	m.history, m.backup = fleet.TableHistory(s.store.Restore()), false
	m.revision, m.rows, m.audits = 0, map[fleet.TableKey]fleet.VM{}, map[fleet.TableKey]fleet.RowVersion{}
	m.issued = nil // a call whose effect the restore removed may take effect again
	m.counts.restores++
}
