package holder_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/election"
	"github.com/mimosawharf/mimosawharf/internal/holder"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/internal/standin/rows"
	jobv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// storeWave stores the progress of a wave that an earlier holder has committed.
func storeWave(is *is.I, store *rows.Store, progress *jobv1.WaveProgress) {
	is.Helper()
	value, err := proto.Marshal(progress)
	is.NoErr(err)
	_, err = store.Transact(context.Background(), rowstore.Transaction{Puts: []rowstore.Row{
		{Table: "mimosawharf-progress", Part: "duty-maintenance", Key: "wave-1", Value: value},
	}})
	is.NoErr(err)
}

// Guards against a wave that is said to be completed although a VM has had no maintenance for it: the list of VMs does
// not say for which wave a VM is down.
func TestMaintenanceForOtherWaveIsNotCounted(t *testing.T) {
	const other = 700 * time.Millisecond
	vm := vmName(0)
	for _, c := range []struct {
		name    string
		ordered []string
		prepare func(*vmPlatform)
	}{
		{"intent of an earlier holder that was not sent", []string{string(vm)}, func(p *vmPlatform) { p.otherWave[vm] = time.Now().Add(other) }},
		{"order that was lost", nil, func(p *vmPlatform) {
			lost := false
			p.beforeOrder = func(ordered fleet.VMID) bool {
				if lost || ordered != vm {
					return true
				}
				lost, p.otherWave[vm] = true, time.Now().Add(other)
				return false
			}
		}},
		{"order that was rejected", nil, func(p *vmPlatform) {
			p.beforeOrder = func(ordered fleet.VMID) bool {
				if ordered == vm && p.otherWave[vm].IsZero() {
					p.otherWave[vm] = time.Now().Add(other)
				}
				return true
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			store, p := rows.New(clock.Real()), newVMPlatform()
			storeWave(is, store, &jobv1.WaveProgress{Wave: "1", Ordered: c.ordered})
			c.prepare(p)
			maintain(t, store, p, "entry", election.Lease{}, func() bool { _, complete := p.progress(); return complete })
			begun, complete := p.progress()
			is.True(complete)
			is.Equal(begun, waveVMs)
			is.True(p.peakDown <= waveDown)
		})
	}
}

// Guards against a VM that counts as gone for good because one list lacked it.
func TestVMMissingFromOneListIsMaintained(t *testing.T) {
	for _, c := range []struct {
		name    string
		ordered []string
	}{{"before its order", nil}, {"after the intent was stored", []string{string(vmName(0))}}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			store, p := rows.New(clock.Real()), newVMPlatform()
			storeWave(is, store, &jobv1.WaveProgress{Wave: "1", Ordered: c.ordered})
			p.unlisted, p.unlistedUntil = vmName(0), time.Now().Add(400*time.Millisecond)
			run(t, store, p, ring.New[holder.Event]("scheduler", 1024), "entry", election.Lease{}, waveVMs, false, func() bool { _, complete := p.progress(); return complete })
			begun, complete := p.progress()
			is.True(complete)
			is.Equal(begun, waveVMs)
		})
	}
}

// Guards against a hand-over after which the next holder vacates and orders VMs again whose maintenance has begun: it
// finds them up, and the confirmation was known to the earlier holder only.
func TestReleaseStoresConfirmedMaintenance(t *testing.T) {
	is := is.New(t)
	store, p := rows.New(clock.Real()), newVMPlatform()
	run(t, store, p, ring.New[holder.Event]("scheduler", 1024), "entry-a", election.Lease{}, waveDown, true, func() bool { begun, _ := p.progress(); return begun > 0 })
	lease := readLease(t, store, holder.DutyMaintenance)
	is.True(lease.Released)
	first, _ := p.progress()
	maintain(t, store, p, "entry-b", lease, func() bool { _, complete := p.progress(); return complete })
	begun, complete := p.progress()
	is.True(complete)
	is.True(first < waveVMs)
	is.Equal(begun, waveVMs)
	for vm, orders := range p.orders {
		if orders != 1 {
			t.Logf("%s was ordered %d times", vm, orders)
		}
		is.Equal(orders, 1)
	}
}
