package holder_test

import (
	"context"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/election"
	"github.com/mimosawharf/mimosawharf/internal/holder"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/internal/standin/rows"
	jobv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// vmPlatform is a platform whose VMs go down for a while when maintenance is ordered.
type vmPlatform struct {
	mu       sync.Mutex
	downTo   map[fleet.VMID]time.Time
	begun    map[fleet.VMID]int
	orders   map[fleet.VMID]int
	peakDown int
	complete bool
	// crashed is until when the first VM is down without maintenance.
	crashed time.Time
	// services are those of the VMs, where they have endpoints.
	services []fleet.ServiceID
	// maintained is called with each order; it may be nil.
	maintained func()
	// otherWave is until when VMs are down for another wave.
	otherWave map[fleet.VMID]time.Time
	// beforeOrder is called with each order before it is carried out; it may be nil. The order is lost when it returns
	// false.
	beforeOrder func(vm fleet.VMID) bool
	// unlisted is the VM that lists lack until unlistedUntil.
	unlisted      fleet.VMID
	unlistedUntil time.Time
	// holderUnreachable is set when the VMs have endpoints of a service whose holder does not answer.
	holderUnreachable bool
}

const (
	vmDownTime = 200 * time.Millisecond
	waveVMs    = 6
	waveDown   = 2
)

func newVMPlatform() *vmPlatform {
	return &vmPlatform{downTo: map[fleet.VMID]time.Time{}, otherWave: map[fleet.VMID]time.Time{}, begun: map[fleet.VMID]int{}, orders: map[fleet.VMID]int{}}
}

func vmName(i int) fleet.VMID { return fleet.VMID(rune('a' + i)) }

func (p *vmPlatform) down() int {
	n := 0
	for _, at := range p.downTo {
		if time.Now().Before(at) {
			n++
		}
	}
	return n
}

// VMs implements holder.VMPlatform.
func (p *vmPlatform) VMs(context.Context) ([]holder.PoolVM, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []holder.PoolVM
	for i := range waveVMs {
		vm := holder.PoolVM{VM: vmName(i), Service: "idle", Condition: holder.VMConditionUp}
		if i == 0 && time.Now().Before(p.crashed) {
			vm.Condition = holder.VMConditionDown
		}
		if len(p.services) > i {
			vm.Service, vm.Endpoint = p.services[i], fleet.EndpointID(vm.VM)
		}
		if p.holderUnreachable {
			vm.Service, vm.Endpoint = "working", fleet.EndpointID(vm.VM)
		}
		if vm.VM == p.unlisted && time.Now().Before(p.unlistedUntil) {
			continue
		}
		if time.Now().Before(p.downTo[vm.VM]) || time.Now().Before(p.otherWave[vm.VM]) {
			vm.Condition = holder.VMConditionMaintenance
		}
		list = append(list, vm)
	}
	return list, nil
}

// Maintain implements holder.VMPlatform.
func (p *vmPlatform) Maintain(_ context.Context, vm fleet.VMID, _ fleet.WaveID, _ fleet.FencingToken) holder.MaintenanceAnswer {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.orders[vm]++
	if p.maintained != nil {
		p.maintained()
	}
	if p.beforeOrder != nil && !p.beforeOrder(vm) {
		return holder.MaintenanceUnknown
	}
	if p.begun[vm] > 0 {
		return holder.MaintenanceDone
	}
	if time.Now().Before(p.otherWave[vm]) {
		return holder.MaintenanceBusy
	}
	p.begun[vm]++
	p.downTo[vm] = time.Now().Add(vmDownTime)
	p.peakDown = max(p.peakDown, p.down())
	return holder.MaintenanceDone
}

// Move implements holder.VMPlatform.
func (*vmPlatform) Move(context.Context, fleet.VMID, fleet.ServiceID, fleet.FencingToken) holder.MaintenanceAnswer {
	return holder.MaintenanceRefused
}

// Report implements holder.VMPlatform.
func (p *vmPlatform) Report(_ context.Context, _ fleet.WaveID, completed bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.complete = p.complete || completed
	return nil
}

func (p *vmPlatform) progress() (begun int, complete bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.begun), p.complete
}

// maintain runs a holder of the maintenance duty until the condition holds.
func maintain(t *testing.T, store *rows.Store, p *vmPlatform, name fleet.EntryID, previous election.Lease, until func() bool) {
	t.Helper()
	run(t, store, p, ring.New[holder.Event]("scheduler", 1024), name, previous, waveDown, false, until)
}

// maintainWith is maintain with a scheduler that answers, and with all VMs down at a time if need be.
func maintainWith(t *testing.T, store *rows.Store, p *vmPlatform, scheduler *ring.Ring[holder.Event], until func() bool) {
	t.Helper()
	run(t, store, p, scheduler, "entry", election.Lease{}, waveVMs, false, until)
}

// run runs a holder of the maintenance duty until the condition holds. With release it releases its lease then.
func run(t *testing.T, store *rows.Store, p *vmPlatform, scheduler *ring.Ring[holder.Event], name fleet.EntryID, previous election.Lease, down int, release bool, until func() bool) {
	t.Helper()
	group, ctx := duty.NewGroup(context.Background())
	ctx, cancel := context.WithCancel(ctx)
	c := clock.Real()
	chain := &holder.Chain{Duty: holder.DutyMaintenance, Self: holder.Identity{Entry: name, Incarnation: fleet.NewIncarnation()}, Store: store, Clock: c}
	taken, err := holder.TakeLease(ctx, chain, previous)
	is.New(t).NoErr(err)
	m := &holder.Maintainer{
		Chain: chain, Taken: taken, Platform: p, Scheduler: scheduler, Waves: &ring.Latest[[]holder.WaveOrder]{},
		Config: &ring.Latest[*holder.Config]{}, Wake: ring.New[struct{}]("wake", 1), Duties: group, Release: ring.New[struct{}]("leave", 1), Clock: c, Log: zap.NewNop(),
		TakeoverDelay: 100 * time.Millisecond,
	}
	order := holder.WaveOrder{Wave: "1", Duration: 20 * time.Second, MaxDown: down}
	for i := range waveVMs {
		order.VMs = append(order.VMs, vmName(i))
	}
	m.Waves.Set([]holder.WaveOrder{order})
	done := make(chan struct{})
	go func() { defer close(done); _ = m.Run(ctx) }()
	for range 1200 {
		if until() {
			break
		}
		_ = clock.Wait(ctx, c, 10*time.Millisecond)
	}
	if release {
		is.New(t).NoErr(m.Release.Push(struct{}{}))
		for range 100 {
			if readLease(t, store, holder.DutyMaintenance).Released {
				break
			}
			_ = clock.Wait(ctx, c, 10*time.Millisecond)
		}
	}
	cancel()
	<-done
	group.Stop()
	_ = group.Wait()
}

// Guards against a new holder that restarts a wave: it vacates and orders VMs whose maintenance is over, and
// the wave is late.
func TestNewHolderResumesWave(t *testing.T) {
	is := is.New(t)
	store, p := rows.New(clock.Real()), newVMPlatform()
	// The first holder ends in the middle of the wave, a while after the first VMs were up again.
	maintain(t, store, p, "entry-a", election.Lease{}, func() bool { begun, _ := p.progress(); return begun >= 4 })
	p.mu.Lock()
	var over []fleet.VMID
	for vm, at := range p.downTo {
		if time.Now().After(at) {
			over = append(over, vm)
		}
	}
	p.mu.Unlock()
	maintain(t, store, p, "entry-b", readLease(t, store, holder.DutyMaintenance), func() bool { _, complete := p.progress(); return complete })
	begun, complete := p.progress()
	is.Equal(begun, waveVMs)
	is.True(complete)
	is.True(p.peakDown <= waveDown)
	is.True(len(over) > 0)
	for _, vm := range over {
		is.Equal(p.orders[vm], 1) // its maintenance was over before the first holder ended
	}
}

// Guards against a wave whose bound of VMs that are down overflows: each holder of the duty ended.
func TestWaveWithHugeBoundCompletes(t *testing.T) {
	is := is.New(t)
	store, p := rows.New(clock.Real()), newVMPlatform()
	run(t, store, p, ring.New[holder.Event]("scheduler", 1024), "entry", election.Lease{}, math.MaxInt, false, func() bool { _, complete := p.progress(); return complete })
	begun, complete := p.progress()
	is.Equal(begun, waveVMs)
	is.True(complete)
}

// Guards against a maintenance lease that expires within a round: the holder of a service took long to answer
// for each VM, and every few seconds another entry took the lease from a healthy one.
func TestLongRoundRenewsLease(t *testing.T) {
	is := is.New(t)
	store, p := rows.New(clock.Real()), newVMPlatform()
	p.holderUnreachable = true
	var renewals uint64
	seen, longest := time.Now(), time.Duration(0)
	began := seen
	maintain(t, store, p, "entry", election.Lease{}, func() bool {
		now := time.Now()
		if l := readLease(t, store, holder.DutyMaintenance); l.Renewals != renewals {
			renewals, seen = l.Renewals, now
		}
		longest = max(longest, now.Sub(seen))
		return now.Sub(began) > 5*time.Second
	})
	is.True(renewals > 3)
	is.True(longest < election.LeaseTimeout)
}

// Guards against a VM that counts as maintained because it was down: an earlier holder had committed the
// intent without sending the order, and then the VM's rack failed.
func TestCrashIsNotCountedAsMaintenance(t *testing.T) {
	is := is.New(t)
	store, p := rows.New(clock.Real()), newVMPlatform()
	p.crashed = time.Now().Add(500 * time.Millisecond)
	value, err := proto.Marshal(&jobv1.WaveProgress{Wave: "1", Ordered: []string{string(vmName(0))}})
	is.NoErr(err)
	_, err = store.Transact(context.Background(), rowstore.Transaction{Puts: []rowstore.Row{
		{Table: "mimosawharf-progress", Part: "duty-maintenance", Key: "wave-1", Value: value},
	}})
	is.NoErr(err)
	maintain(t, store, p, "entry", election.Lease{}, func() bool { _, complete := p.progress(); return complete })
	begun, complete := p.progress()
	is.True(complete)
	is.Equal(begun, waveVMs) // the first VM among them
}

// Guards against an order that is sent too long after the answer that a VM is vacated: the holders of other
// services were asked after it and did not answer, and meanwhile the endpoint could get work again.
func TestOrderFollowsRecentVacateAnswer(t *testing.T) {
	is := is.New(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	scheduler := ring.New[holder.Event]("scheduler", 1024)
	asked := ring.New[time.Time]("asked", 1024)
	go func() {
		for {
			event, err := scheduler.Pop(ctx)
			if err != nil {
				return
			}
			if q := event.Query; q.Service == "answers" {
				_ = asked.Push(time.Now())
				q.Reply(holder.Answer{Held: true, Vacated: q.Endpoints})
			}
		}
	}()
	for range 3 { // the services are asked in any order
		p := newVMPlatform()
		p.services = []fleet.ServiceID{"answers", "b", "c", "d", "e", "f"}
		p.maintained = func() {
			last, ok := asked.TryPop()
			for next, more := asked.TryPop(); more; next, more = asked.TryPop() {
				last = next
			}
			is.True(ok && time.Since(last) < 1500*time.Millisecond) // half of the time without work
		}
		maintainWith(t, rows.New(clock.Real()), p, scheduler, func() bool { begun, _ := p.progress(); return begun > 0 })
	}
}
