package control_test

import (
	"context"
	"testing"

	"github.com/mimosawharf/mimosawharf/internal/control"
	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// register makes an entry take all leases.
func register(t *testing.T, e *entry) {
	for range 2 {
		e.holder.Step(t.Context())
		e.poller.Poll(t.Context())
	}
}

// Guards against leases and a row that stay with an entry after its graceful stop, so that nobody does
// its duties until they lapse.
func TestLeavingEntryPassesItsLeasesOn(t *testing.T) {
	is, s := calm(t)
	first, second := s.entries[0], s.entries[2]
	register(t, first)
	first.holder.Inbox = ring.New[control.Leave]("leave", 1)
	done := ring.New[bool]("done", 1)
	is.NoErr(first.holder.Inbox.Push(control.Leave{Done: done}))
	group, ctx := duty.NewGroup(context.Background())
	group.Start(ctx, first.holder)
	removed, err := done.Pop(ctx)
	is.NoErr(err)
	is.True(removed)
	group.Stop()
	is.NoErr(group.Wait())
	is.Equal(len(first.holder.Held.Get()), 0)
	register(t, second) // no time passes
	is.Equal(second.view.Get().Leases[fleet.DutyFleetDriver].Holder, second.holder.Entry.ID)
}

// Guards against two processes under one entry id that take turns in writing its row, and against an
// entry that believes in leases which it could not renew.
func TestHolderGivesUpWhatItCannotRenew(t *testing.T) {
	is, s := calm(t)
	first := s.entries[0]
	register(t, first)
	first.cut = true
	first.holder.Step(t.Context())
	is.True(len(first.holder.Held.Get()) > 0) // a missed renewal is no loss yet
	wait(s.clock)
	first.holder.Step(t.Context())
	is.Equal(len(first.holder.Held.Get()), 0)

	first.cut = false
	register(t, first)
	stopped := 0
	first.holder.Superseded = func() { stopped++ }
	later := s.newEntry(first.holder.Entry.ID, "z0")
	register(t, later)
	register(t, later) // the first try learns the version of the row
	for range 3 {
		first.holder.Step(t.Context())
	}
	is.Equal(stopped, 1)
	is.Equal(len(first.holder.Held.Get()), 0)
	later.poller.Poll(t.Context())
	is.Equal(later.view.Get().Entries[later.holder.Entry.ID].Incarnation, later.holder.Entry.Incarnation)
}
