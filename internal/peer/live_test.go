package peer_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/peer"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// liveRecorder records the live entries that the hub reports.
type liveRecorder struct {
	got *ring.Ring[map[fleet.ZoneID][]fleet.EntryID]
}

func (r liveRecorder) Push(ev dispatch.Event) error {
	if v, ok := ev.(dispatch.EntriesChanged); ok {
		return r.got.Push(v.Live)
	}
	return nil
}

// Guards against the share of a dead entry that stays unused, and against taking over the endpoints of
// another zone while the rows of its entries are valid.
func TestSilentEntriesLoseTheirShares(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	group, ctx := duty.NewGroup(context.Background())
	broken, cancel := context.WithCancel(ctx)
	cancel()
	recorder := liveRecorder{ring.New[map[fleet.ZoneID][]fleet.EntryID]("changes", 8)}
	view := fleet.NewView()
	view.Entries["c"] = fleet.Entry{ID: "c", Zone: "zone-2", PeerAddress: "127.0.0.1:3", Duration: 10 * time.Second, RowVersion: 1}
	h := &peer.Hub{
		Entry: fleet.Entry{ID: "a", Zone: "zone-1"}, Inbox: ring.New[peer.HubEvent]("hub", 8), View: &ring.Latest[*fleet.View]{},
		Status: &ring.Latest[dispatch.Status]{}, Directory: &ring.Latest[*peer.Directory]{}, Dispatcher: recorder, Clock: clock, Log: zap.NewNop(),
		Dialer: stuckConn{ctx: broken, entered: ring.New[bool]("entered", 1)}, Interval: 100 * time.Millisecond, Rate: 1 << 20,
		StaticPeers: []peer.StaticPeer{{ID: "b", Zone: "zone-1", Address: "127.0.0.1:2"}}, Start: func(duty.Duty) {},
	}
	h.View.Set(view)
	group.Start(ctx, h)
	// advance runs the hub for d and returns the last change.
	advance := func(d time.Duration) map[fleet.ZoneID][]fleet.EntryID {
		for range d / (100 * time.Millisecond) {
			is.NoErr(clock.BlockUntilContext(ctx, 1))
			clock.Advance(100 * time.Millisecond)
		}
		is.NoErr(clock.BlockUntilContext(ctx, 1))
		var last map[fleet.ZoneID][]fleet.EntryID
		for live, ok := recorder.got.TryPop(); ok; live, ok = recorder.got.TryPop() {
			last = live
		}
		return last
	}
	is.Equal(advance(100*time.Millisecond), map[fleet.ZoneID][]fleet.EntryID{"zone-1": {"a", "b"}, "zone-2": {"c"}})
	is.Equal(advance(4*time.Second), map[fleet.ZoneID][]fleet.EntryID{"zone-1": {"a"}, "zone-2": {"c"}})
	is.Equal(advance(8*time.Second), map[fleet.ZoneID][]fleet.EntryID{"zone-1": {"a"}})
	group.Stop()
	is.NoErr(group.Wait())
}
