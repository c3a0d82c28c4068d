package platform

import (
	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// TouchLedger returns the put that writes a pool's ledger again without a change of its grants. A
// transaction that adds a VM to a pool writes the ledger, and one that deletes the pool has the ledger's
// version as a precondition, so the two conflict.
func TouchLedger(pool fleet.PoolID, row Row, id fleet.OperationID) (Put, error) {
	ledger := fleet.Ledger{Pool: pool}
	if row.Exists() {
		var err error
		if ledger, err = wire.DecodeLedger(row.Value); err != nil {
			return Put{}, trace.Wrap(err)
		}
	}
	ledger.OperationID = id
	return Put{Key: wire.KeyLedger(pool), Value: wire.EncodeLedger(ledger)}, nil
}
