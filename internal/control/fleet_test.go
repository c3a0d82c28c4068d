package control_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/configuration"
	"github.com/mimosawharf/mimosawharf/internal/control"
	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/internal/operation"
	"github.com/mimosawharf/mimosawharf/internal/platform"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/standin"
	standinplatform "github.com/mimosawharf/mimosawharf/internal/standin/platform"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	platformv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/platform/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

var schedules = flag.Int("schedules", 200, "random schedules of the fleet test")

const (
	vms       = 6
	leaseTime = 2 * time.Second
	holdTime  = 4 * time.Second
	maxAge    = 10 * time.Second
)

// site is one platform and its entries, all driven by one goroutine.
type site struct {
	is      *is.I
	random  *rand.Rand
	clock   *clockwork.FakeClock
	store   *standinplatform.Store
	entries []*entry
	rows    map[fleet.TableKey]fleet.VM
}

// entry is the decision code of one entry with a dispatcher that never has work in flight.
type entry struct {
	site       *site
	zone       fleet.ZoneID
	client     *platform.Client
	view       *ring.Latest[*fleet.View]
	status     *ring.Latest[dispatch.Status]
	poller     *control.Poller
	holder     *control.LeaseHolder
	driver     *control.FleetDriver
	executor   *operation.Executor
	cut        bool
	busy       bool
	lastConfig fleet.ConfigRevision
}

// Commit records what takes effect and lets other entries run between a decision and its transaction.
func (e *entry) Commit(ctx context.Context, r *connect.Request[platformv1.CommitRequest]) (*connect.Response[platformv1.CommitResponse], error) {
	if e.cut {
		return nil, connect.NewError(connect.CodeUnavailable, &standinplatform.DownError{})
	}
	if s := e.site; s.random.IntN(3) == 0 {
		s.step(ctx)
	}
	response, err := e.site.store.Commit(ctx, r)
	e.site.check(ctx)
	return response, err
}

func (e *entry) Read(ctx context.Context, r *connect.Request[platformv1.ReadRequest]) (*connect.Response[platformv1.ReadResponse], error) {
	if e.cut {
		return nil, connect.NewError(connect.CodeUnavailable, &standinplatform.DownError{})
	}
	return e.site.store.Read(ctx, r)
}

func (e *entry) Changes(ctx context.Context, r *connect.Request[platformv1.ChangesRequest]) (*connect.Response[platformv1.ChangesResponse], error) {
	if e.cut {
		return nil, connect.NewError(connect.CodeUnavailable, &standinplatform.DownError{})
	}
	return e.site.store.Changes(ctx, r)
}

func (s *site) newEntry(id fleet.EntryID, zone fleet.ZoneID) *entry {
	e := &entry{site: s, zone: zone, view: &ring.Latest[*fleet.View]{}, status: &ring.Latest[dispatch.Status]{}}
	e.client = platform.NewClientOf(platform.Services{Table: e, Objects: s.store, VMs: s.store}, time.Minute)
	polls, held, log := ring.New[control.PollerEvent]("p", 64), &ring.Latest[control.Leases]{}, zap.NewNop()
	e.poller = &control.Poller{
		Table: e.client, Inbox: polls, View: e.view, Dispatcher: ring.New[dispatch.Event]("d", 1), Clock: s.clock, Log: log, Zone: zone, HoldTime: holdTime,
	}
	e.holder = &control.LeaseHolder{
		Entry:  fleet.Entry{ID: id, Incarnation: fleet.NewIncarnation(), Zone: zone, Duration: leaseTime},
		Duties: []fleet.DutyName{fleet.DutyFleetDriver}, Table: e.client, View: e.view, Status: e.status, Held: held, Clock: s.clock, Log: log,
	}
	e.driver = &control.FleetDriver{
		Entry: id, Table: e.client, Platform: e.client, View: e.view, Held: held, Poller: polls, Clock: s.clock, Log: log, HoldTime: holdTime, ListMaxAge: maxAge,
	}
	e.executor = &operation.Executor{
		Entry: id, Table: e.client, Platform: e.client, View: e.view, PollNow: func() {}, Clock: s.clock, Log: log, ListMaxAge: maxAge,
	}
	return e
}

func newSite(is *is.I, seed uint64) *site {
	c := clockwork.NewFakeClock()
	s := &site{
		is: is, random: rand.New(rand.NewPCG(seed, 1)), clock: c, store: standinplatform.NewStore(c, 500*time.Millisecond, time.Second),
		rows: map[fleet.TableKey]fleet.VM{},
	}
	for i := range vms {
		s.store.PutVM(standin.NewVM(vmID(i), zoneOf(i), "r", fleet.Address(fmt.Sprintf("127.0.0.1:%d", i+1))))
	}
	c.Advance(time.Second)
	for i := range 3 {
		s.entries = append(s.entries, s.newEntry(fleet.EntryID(fmt.Sprint("e", i)), zoneOf(i)))
	}
	changes := []configuration.Change{
		{PutPool: &fleet.Pool{ID: "rota", Budget: fleet.Budget{MaxUnavailableVMs: 1}}},
		{PutPool: &fleet.Pool{ID: "spare", Budget: fleet.Budget{MaxUnavailableVMs: 1, MaxUnavailablePerZone: 1}}},
	}
	reply := ring.New[operation.Result[operation.Applied]]("r", 1)
	s.entries[0].executor.Execute(context.Background(), operation.ApplyConfig{Identity: operation.Identity{ID: fleet.NewOperationID()}, Changes: changes, Reply: reply})
	for i := range vms {
		s.change(s.entries[0], operation.VMCommandAdopt, vmID(i), []fleet.PoolID{"rota", "spare"}[i%2], fleet.NewOperationID())
	}
	return s
}

func vmID(i int) fleet.VMID     { return fleet.VMID(fmt.Sprint("vm-", i)) }
func zoneOf(i int) fleet.ZoneID { return fleet.ZoneID(fmt.Sprint("z", i%2)) }

func (s *site) change(e *entry, command operation.VMCommand, vm fleet.VMID, pool fleet.PoolID, id fleet.OperationID) {
	e.executor.Execute(context.Background(), operation.ChangeVM{
		Identity: operation.Identity{ID: id, Actor: "ada"}, VM: vm, Command: command, Pool: pool, Reply: ring.New[operation.Result[fleet.VM]]("r", 1),
	})
}

var commands = []operation.VMCommand{
	operation.VMCommandDrain, operation.VMCommandMove, operation.VMCommandReboot, operation.VMCommandReplace, operation.VMCommandCancel,
}

// step lets one entry that is not in the middle of a call do one thing. An entry that is not chosen for
// long is a paused one.
func (s *site) step(ctx context.Context) {
	e := s.entries[s.random.IntN(len(s.entries))]
	if e.busy {
		return
	}
	e.busy = true
	defer func() { e.busy = false }()
	switch s.random.IntN(6) {
	case 0, 1:
		e.poller.Poll(ctx)
		if list, err := e.client.ListVMs(ctx); err == nil {
			e.poller.Handle(ctx, control.PollerEvent{List: &list})
		}
		e.status.Set(dispatch.Status{Acknowledged: e.view.Get().Revision})
	case 2:
		e.holder.Step(ctx)
	case 3, 4:
		e.driver.Step(ctx)
	default:
		id := fleet.NewOperationID()
		command, vm, pool := commands[s.random.IntN(len(commands))], vmID(s.random.IntN(vms)), []fleet.PoolID{"rota", "spare"}[s.random.IntN(2)]
		for range 1 + s.random.IntN(2) { // a client may repeat its call
			s.change(e, command, vm, pool, id)
		}
	}
	if v := e.view.Get(); v != nil {
		s.is.True(v.Configuration.Revision >= e.lastConfig) // the configuration never reverts
		e.lastConfig = v.Configuration.Revision
	}
}

// trouble changes the faults.
func (s *site) trouble() {
	f, r := &s.store.Faults, s.random
	switch r.IntN(11) {
	case 8, 9, 10: // most faults pass
		*f = standinplatform.Faults{}
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
	default:
		i := r.IntN(len(s.entries))
		if !s.entries[i].busy { // a new incarnation under the same id
			s.entries[i] = s.newEntry(s.entries[i].holder.Entry.ID, s.entries[i].zone)
		}
	}
}

// check compares the rows of the table with what the guarantees allow.
func (s *site) check(ctx context.Context) {
	faults := s.store.Faults
	s.store.Faults = standinplatform.Faults{}
	direct := platform.NewClientOf(platform.Services{Table: s.store, Objects: s.store, VMs: s.store}, time.Minute)
	changes, err := direct.Changes(ctx, 0, 0, wire.PrefixVM)
	s.is.NoErr(err)
	s.store.Faults = faults
	unavailable := map[fleet.PoolID]int{}
	for _, row := range changes.Rows {
		vm, err := wire.DecodeVM(row.Value)
		s.is.NoErr(err)
		if vm.State != fleet.VMStateServing {
			unavailable[vm.Pool]++
		}
		old := s.rows[row.Key]
		s.is.True(vm.AssignmentEpoch >= old.AssignmentEpoch)
		if old.Pool != "" && old.Pool != vm.Pool { // a pool changes only with the epoch
			s.is.Equal(vm.AssignmentEpoch, old.AssignmentEpoch+1)
		}
		s.rows[row.Key] = vm
	}
	for pool, n := range unavailable {
		if n > 1 {
			s.is.Equal(pool, fleet.PoolID("within its budget of 1"))
		}
	}
}

// Guards against broken budgets, VMs in two pools, configurations that revert and effects without an
// audit row, when entries race, pause, restart or are cut off and the store fails in every way.
func TestFleetHoldsGuaranteesOverRandomSchedules(t *testing.T) {
	moved := fleet.AssignmentEpoch(0)
	for seed := range uint64(*schedules) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			is := is.New(t)
			s := newSite(is, seed)
			for range 400 {
				if s.random.IntN(12) == 0 {
					s.trouble()
				}
				s.step(t.Context())
				s.clock.Advance(time.Duration(s.random.IntN(400)) * time.Millisecond)
			}
			s.check(t.Context())
			s.checkAudit(t.Context())
			for _, vm := range s.rows {
				moved += vm.AssignmentEpoch - 1
			}
		})
	}
	is.New(t).True(moved > 0) // schedules without a finished move prove nothing
	t.Logf("%d schedules, %d finished moves", *schedules, moved)
}

// checkAudit compares the audit trail with the state: each VM row names an operation in the trail.
func (s *site) checkAudit(ctx context.Context) {
	s.store.Faults = standinplatform.Faults{}
	direct := platform.NewClientOf(platform.Services{Table: s.store, Objects: s.store, VMs: s.store}, time.Minute)
	for _, vm := range s.rows {
		rows, err := direct.Read(ctx, wire.KeyAudit(vm.OperationID), wire.KeyVM(vm.ID))
		s.is.NoErr(err)
		s.is.True(rows[0].Exists())
		s.is.Equal(rows[0].Version, rows[1].Version) // written by one transaction
	}
}
