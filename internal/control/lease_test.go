package control_test

import (
	"context"
	"testing"

	"github.com/mimosawharf/mimosawharf/internal/control"
	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// acquireLeases makes an entry acquire all leases.
func acquireLeases(t *testing.T, e *entry) {
	for range 2 {
		e.holder.Step(t.Context())
		e.poller.Poll(t.Context())
	}
}

// Guards against leases and a row that remain after the graceful stop of their entry, so that no entry
// performs its duties until they expire.
func TestStoppingEntryHandsOverItsLeases(t *testing.T) {
	is, s := newIdleSimulation(t)
	first, second := s.entries[0], s.entries[2]
	acquireLeases(t, first)
	first.holder.Inbox = ring.New[control.Deregister]("leave", 1)
	done := ring.New[bool]("done", 1)
	is.NoErr(first.holder.Inbox.Push(control.Deregister{Done: done}))
	group, ctx := duty.NewGroup(context.Background())
	group.Start(ctx, first.holder)
	removed, err := done.Pop(ctx)
	is.NoErr(err)
	is.True(removed)
	group.Stop()
	is.NoErr(group.Wait())
	is.Equal(len(first.holder.Held.Get()), 0)
	acquireLeases(t, second) // no time passes
	is.Equal(second.view.Get().Leases[fleet.DutyFleetDriver].Holder, second.holder.Entry.ID)
}

// Guards against two processes under one entry id that overwrite each other's row, and against an entry that
// keeps using leases that it could not renew.
func TestHolderDropsLeasesThatItCannotRenew(t *testing.T) {
	is, s := newIdleSimulation(t)
	first := s.entries[0]
	acquireLeases(t, first)
	first.cut = true
	first.holder.Step(t.Context())
	is.True(len(first.holder.Held.Get()) > 0) // the leases outlast one missed renewal
	expireLeases(s.clock)
	first.holder.Step(t.Context())
	is.Equal(len(first.holder.Held.Get()), 0)

	first.cut = false
	acquireLeases(t, first)
	stopped := 0
	first.holder.Superseded = func() { stopped++ }
	later := s.newEntry(first.holder.Entry.ID, "z0")
	acquireLeases(t, later)
	acquireLeases(t, later) // the first attempt reads the version of the row
	for range 3 {
		first.holder.Step(t.Context())
	}
	is.Equal(stopped, 1)
	is.Equal(len(first.holder.Held.Get()), 0)
	later.poller.Poll(t.Context())
	is.Equal(later.view.Get().Entries[later.holder.Entry.ID].Incarnation, later.holder.Entry.Incarnation)
}
