package control_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/mimosawharf/mimosawharf/internal/control"
	"github.com/mimosawharf/mimosawharf/internal/platform"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Guards against unused grants that take up a budget for ever, and against releases that wait for the row of
// an entry that is gone.
func TestDriverReturnsGrantsAndRemovesGoneEntries(t *testing.T) {
	is, s := newIdleSimulation(t)
	e := s.entries[0]
	ledger := fleet.Ledger{Pool: "rota", Grants: []fleet.Grant{{ID: "g", VM: "vm-0"}}}
	gone := fleet.Entry{ID: "gone", VM: "vm-gone", Zone: "z0", Duration: leaseDuration}
	alive := fleet.Entry{ID: "alive", VM: "vm-1", Zone: "z0", Duration: leaseDuration}
	_, err := e.client.Commit(t.Context(), platform.Transaction{Puts: []platform.Put{
		{Key: wire.KeyLedger("rota"), Value: wire.EncodeLedger(ledger)},
		{Key: wire.KeyEntry(gone.ID), Value: wire.EncodeEntry(gone)},
		{Key: wire.KeyEntry(alive.ID), Value: wire.EncodeEntry(alive)},
	}})
	is.NoErr(err)
	for range 2 {
		e.holder.Step(t.Context())
		e.poller.Poll(t.Context())
		e.driver.Step(t.Context())
	}
	is.Equal(len(e.view.Get().Entries), 3)
	expireLeases(s.clock)
	list, err := e.client.ListVMs(t.Context())
	is.NoErr(err)
	e.poller.Handle(t.Context(), control.PollerEvent{List: &list})
	e.driver.Step(t.Context())
	e.poller.Poll(t.Context())
	view := e.view.Get()
	is.Equal(len(view.Ledgers["rota"].Grants), 0)
	_, stays := view.Entries["alive"]
	is.True(stays) // its VM is still listed
	_, stays = view.Entries["gone"]
	is.True(!stays)
}

func expireLeases(c *clockwork.FakeClock) { c.Advance(leaseDuration + time.Millisecond) }
