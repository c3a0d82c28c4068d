package peer_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/peer"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// countingLink counts the frames and bytes that links write.
type countingLink struct {
	ctx           context.Context
	frames, bytes *atomic.Int64
}

func (c countingLink) Dial(context.Context, fleet.EntryID, fleet.Address) (peer.Outgoing, error) {
	return c, nil
}
func (c countingLink) Context() context.Context { return c.ctx }
func (countingLink) Close()                     {}
func (c countingLink) Write(p []byte) (int, error) {
	c.frames.Add(1)
	c.bytes.Add(int64(len(p)))
	return len(p), nil
}

// busyDispatcher simulates a dispatcher with five busy services; short work waits in the first of them.
type busyDispatcher struct {
	waiting int
	hub     *ring.Ring[peer.HubEvent]
	soon    func() error
}

func (a *busyDispatcher) Push(ev dispatch.Event) error {
	requested, ok := ev.(dispatch.LoanReportRequested)
	if !ok {
		return nil
	}
	var r dispatch.LoanReport
	for i := range 5 {
		load := dispatch.ServiceLoad{Service: fleet.ServiceID(fmt.Sprintf("service-%d", i)), Running: 13}
		if i < a.waiting {
			load.QueuedNormal, load.Wanted = 20, 4
			r.Waiting += 20
		}
		r.Services = append(r.Services, load)
	}
	if a.waiting > 0 {
		_ = a.soon()
	}
	return requested.Reply.Push(r)
}

// BenchmarkReportBytes measures the reports that an entry with seven peers in its zone sends per second,
// without packet headers, when 8 or 128 entries are alive.
func BenchmarkReportBytes(b *testing.B) {
	for _, entries := range []int{8, 128} {
		for _, waiting := range []int{0, 1} {
			b.Run(fmt.Sprintf("%d-entries/%d-waiting", entries, waiting), func(b *testing.B) {
				is := is.New(b)
				const window = 4 * time.Second
				group, ctx := duty.NewGroup(context.Background())
				c := countingLink{ctx, &atomic.Int64{}, &atomic.Int64{}}
				inbox := ring.New[peer.HubEvent]("hub", 1024)
				forwarder := &peer.Forwarder{Hub: inbox}
				hub := &peer.Hub{
					Entry: fleet.Entry{ID: "entry", Zone: "zone-0", Incarnation: "1"}, Inbox: inbox, View: &ring.Latest[*fleet.View]{},
					Status: &ring.Latest[dispatch.Status]{}, Directory: &ring.Latest[*peer.Directory]{}, Dialer: c,
					Dispatcher: &busyDispatcher{waiting: waiting, hub: inbox, soon: forwarder.ReportSoon}, Clock: clock.Real(), Log: zap.NewNop(),
					Interval: 100 * time.Millisecond, Rate: 1 << 20, Start: func(d duty.Duty) { group.Start(ctx, d) },
				}
				view := fleet.NewView()
				view.Revision, view.Configuration.Revision, view.ConfigSince = 1e6, 1e4, clock.Real().Now()
				hub.View.Set(view)
				for i := range entries - 1 {
					hub.StaticPeers = append(hub.StaticPeers, peer.StaticPeer{
						ID: fleet.EntryID(fmt.Sprintf("entry-%d", i)), Zone: fleet.ZoneID(fmt.Sprintf("zone-%d", i/7)), Address: "127.0.0.1:1",
					})
				}
				group.Start(ctx, hub)
				is.NoErr(clock.Wait(ctx, clock.Real(), time.Second))
				frames, bytes := c.frames.Load(), c.bytes.Load()
				is.NoErr(clock.Wait(ctx, clock.Real(), window))
				b.ReportMetric(float64(c.frames.Load()-frames)/window.Seconds(), "frames/s")
				b.ReportMetric(float64(c.bytes.Load()-bytes)/window.Seconds(), "bytes/s")
				group.Stop()
				_ = group.Wait()
			})
		}
	}
}
