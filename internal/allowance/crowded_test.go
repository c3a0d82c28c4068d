package allowance_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/allowance"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// claimRoom is what the claim of a service with a name of one letter takes of a ledger.
var claimRoom = allowance.Ledger{"A": {}}.Size()

// Guards against services that start nothing any more once the claims of all of them exceed a row of the store.
func TestRunningNeverExceedsLimitInCrowdedLedger(t *testing.T) {
	reached := 0
	for seed := range uint64(200) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			is := is.New(t)
			// Beyond half of the room services leave the ledger that have nothing to run.
			room := claimRoom * fleet.Bytes(2+seed%5)
			m := newModel(seed, 1+int(seed%17), 4, 3, room)
			for range 3000 {
				m.step()
				is.True(m.running() <= m.limit)
				is.True(m.ledger.Size() <= room)
				if m.running() == m.limit {
					reached++
				}
			}
			if room >= 4*claimRoom {
				is.True(m.settles()) // No fault strands what waits.
			}
		})
	}
	is.New(t).True(reached >= 5000)
}

// Guards against a service that waits without end for room in the ledger: those before it leave once they have run.
func TestServiceWithoutRoomInLedgerFollowsOthers(t *testing.T) {
	is := is.New(t)
	m := newModel(1, 40, 4, 4, 2*claimRoom)
	names := []fleet.ServiceID{"A", "B", "C", "D"}
	for i, e := range m.entries {
		e.held[names[i]].asks = 8
	}
	done := 0
	for range 12 {
		for i, e := range m.entries {
			m.round(e, false)
			is.True(m.ledger.Size() <= m.room)
			h := e.held[names[i]]
			if h.asks > 0 && e.book.Allows(names[i], h.epoch, account, cores(h.asks)) {
				h.asks, done = 0, done+1
			}
		}
	}
	is.Equal(done, 4)
}
