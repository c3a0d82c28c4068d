package control

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// VMLister reads the platform's list of the VMs in some zones, or in all of them when none is given.
type VMLister interface {
	ListVMsInZones(ctx context.Context, zones ...fleet.ZoneID) (fleet.VMList, error)
}

// Rates of reading the list, in VMs per second. A VM takes 41 bytes of a compressed list, see
// BenchmarkCapacityListVMs in package platform. The rates keep the traffic below 9 KB/s; reading all of
// 7,400 VMs every second took 300 KB/s at each entry.
const (
	// wholeListRate reads 7,400 VMs every 45 s, within the maximum age of a list for grants.
	wholeListRate = 165
	// zoneListRate reads the 463 VMs of one zone of 16 every 9 s.
	zoneListRate = 50
)

// VMListReader is the duty that reads the platform's list of VMs for the poller. A large list is read
// less often than every Interval, and the part of the entry's own zone more often than the whole list.
type VMListReader struct {
	// The fields are set before Run.
	Platform VMLister
	// Zone is the zone whose part is also read separately; if it is empty, only the whole list is read.
	Zone     fleet.ZoneID
	Poller   *ring.Ring[PollerEvent]
	Clock    clock.Clock
	Log      *zap.Logger
	Interval time.Duration

	failing bool
	// wholeAt and zoneAt are when the next reads of the whole list and of the zone's part are due.
	wholeAt, zoneAt time.Time
}

// Name implements duty.Duty.
func (*VMListReader) Name() fleet.DutyName { return "vm-list" }

// Run implements duty.Duty.
func (r *VMListReader) Run(ctx context.Context) error {
	for {
		r.Step(ctx)
		if err := clock.Wait(ctx, r.Clock, r.Interval); err != nil {
			return trace.Wrap(err)
		}
	}
}

// Step reads the list, or the part of the zone, if it is due. Only Run and tests call it.
func (r *VMListReader) Step(ctx context.Context) {
	now := r.Clock.Now()
	switch {
	case !now.Before(r.wholeAt):
		if n, ok := r.read(ctx, PollerEvent{}); ok {
			r.wholeAt, r.zoneAt = now.Add(r.pause(n, wholeListRate)), now.Add(r.Interval)
		}
	case r.Zone != "" && !now.Before(r.zoneAt):
		if n, ok := r.read(ctx, PollerEvent{ListZone: r.Zone}, r.Zone); ok {
			r.zoneAt = now.Add(r.pause(n, zoneListRate))
		}
	}
}

// pause returns how long to wait before a list of this length is read again.
func (r *VMListReader) pause(vms, perSecond int) time.Duration {
	return max(r.Interval, time.Duration(vms)*time.Second/time.Duration(perSecond))
}

// read reads the list of some zones, or of all, sends it to the poller and returns its length.
func (r *VMListReader) read(ctx context.Context, ev PollerEvent, zones ...fleet.ZoneID) (int, bool) {
	list, err := r.Platform.ListVMsInZones(ctx, zones...)
	if err != nil {
		if !r.failing {
			r.Log.Warn("vm-list: list of VMs cannot be read", zap.Error(err))
		}
		r.failing = true
		return 0, false
	}
	r.failing = false
	ev.List = &list
	if err := r.Poller.Push(ev); err != nil {
		r.Log.Warn("vm-list: list of VMs dropped, poller is busy", zap.Error(err))
		return 0, false
	}
	return len(list.VMs), true
}
