package control_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/control"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Guards against a list of one zone that removes the VMs of others or makes the whole list look fresh, and
// against an older whole list that overwrites a newer list of the zone.
func TestZoneListReplacesItsZoneOnly(t *testing.T) {
	is := is.New(t)
	f := newCapacityFleet(capacitySize{vms: 32, pools: 1, accounts: 1, entries: 1})
	p := f.read()
	whole, readAt := f.newList(), p.View.Get().ListReadAt
	f.clock.Advance(time.Second)
	zone := fleet.VMList{AsOf: f.clock.Now()}
	for _, vm := range f.list.VMs {
		if vm.Zone == p.Zone {
			zone.VMs = append(zone.VMs, vm)
		}
	}
	is.Equal(len(zone.VMs), 2)
	gone := zone.VMs[0].ID
	zone.VMs = zone.VMs[1:]
	p.Handle(context.Background(), control.PollerEvent{List: &zone, ListZone: p.Zone})
	for range 2 {
		view := p.View.Get()
		is.Equal(view.Leaving, map[fleet.VMID]bool{gone: true})
		is.Equal(len(view.List.VMs), 31)
		is.True(view.List.AsOf.Equal(whole.AsOf))
		is.True(view.ListReadAt.Equal(readAt))
		is.Equal(f.pushed, 1) // the dispatcher is notified once
		readAt = f.clock.Now()
		p.Handle(context.Background(), control.PollerEvent{List: whole})
	}
}

// lister counts the reads of the whole list and of one zone.
type lister struct {
	vms  int
	read *[2]int
}

func (l lister) ListVMsInZones(_ context.Context, zones ...fleet.ZoneID) (fleet.VMList, error) {
	l.read[len(zones)]++
	return fleet.VMList{VMs: make([]fleet.PlatformVM, l.vms>>(4*len(zones)))}, nil
}

// Guards against reading a list more often than its size allows, and so rarely that it is too old for grants.
func TestListIsReadByItsSize(t *testing.T) {
	for _, c := range []struct {
		vms, whole, zone int
	}{{50, 60, 0}, {7400, 2, 7}} {
		is := is.New(t)
		clock, polls, read := clockwork.NewFakeClock(), ring.New[control.PollerEvent]("poller", 100), [2]int{}
		r := &control.VMListReader{Platform: lister{c.vms, &read}, Zone: "z", Poller: polls, Clock: clock, Log: zap.NewNop(), Interval: time.Second}
		for range 60 {
			r.Step(context.Background())
			clock.Advance(r.Interval)
		}
		is.Equal(read, [2]int{c.whole, c.zone})
	}
}

// Guards against all entries forwarding the same row, and against forwarding the pages of a first read.
func TestPeerRowsAreForwardedByFewEntries(t *testing.T) {
	is := is.New(t)
	f := newCapacityFleet(capacitySize{vms: 16, pools: 1, accounts: 2, entries: 128})
	forwarders := 0
	for i := range 128 {
		g := *f
		p := g.poller()
		p.Entry = entryID(i)
		p.Poll(context.Background())
		is.Equal(g.forwarded, 0)
		g.account(1)
		p.Handle(context.Background(), control.PollerEvent{Rows: g.rows})
		p.Poll(context.Background())
		forwarders += g.forwarded
	}
	is.True(forwarders > 0 && forwarders <= 24) // 8 are expected
}

// Guards against a snapshot of a large fleet that exceeds the rate allowed for control traffic.
func TestSnapshotIsWrittenByItsSize(t *testing.T) {
	is := is.New(t)
	f := newCapacityFleet(capacitySizes[2])
	s := &control.Snapshot{Table: f, Objects: &objects{}, Held: held(fleet.DutySnapshot), Clock: f.clock, Log: zap.NewNop(), Interval: time.Minute}
	is.Equal(s.Pause(), time.Minute)
	is.NoErr(s.Step(context.Background()))
	is.True(s.Pause() > 5*time.Minute)
}
