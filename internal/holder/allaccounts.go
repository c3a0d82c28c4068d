package holder

import (
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/mimosawharf/mimosawharf/internal/allowance"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	jobv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// keyAllAccounts is the key of the row in which earlier versions kept the ledger of all accounts.
const keyAllAccounts rowstore.Key = "ledger"

// allAccounts is the ledger of all accounts that an earlier version wrote. Before a ledger of a single account is written
// the row is sealed, so that entries of the earlier version neither read nor replace it any more: what their services hold
// then is bounded by their last read, which the sealed row still has. The ledger of an account begins with its claims.
type allAccounts struct {
	accounts map[fleet.ClientAccountID]allowance.Ledger
	version  allowance.Version
	isSealed bool
	// isUnreadable is set for a row that cannot be decoded. Accounts without a ledger of their own are not known then.
	isUnreadable bool
}

// seal is the first byte of a sealed row: a tag with field number 0, at which each decoder fails.
const seal = 0

// sealed returns the sealed row. It leaves out what services want, so that it is no longer than the row before.
func (a *allAccounts) sealed() rowstore.Row {
	claims := map[fleet.ServiceID]*jobv1.LimitClaim{}
	m := &jobv1.LimitLedger{}
	for account, l := range a.accounts {
		for s, claim := range l {
			c := claims[s]
			if c == nil {
				c = &jobv1.LimitClaim{Service: string(s), Epoch: uint64(claim.Epoch)}
				claims[s], m.Claims = c, append(m.Claims, c)
			}
			c.Positions = append(c.Positions, &jobv1.LimitPosition{Account: string(account), Held: limitCapacity(claim.Held)})
		}
	}
	row := mustRow(tableLimits, partLimits, keyAllAccounts, m)
	row.Value = append([]byte{seal}, row.Value...)
	return row
}

func decodeAllAccounts(row rowstore.Row, log *zap.Logger) *allAccounts {
	a := &allAccounts{accounts: map[fleet.ClientAccountID]allowance.Ledger{}, version: allowance.Version(row.Version)}
	value := row.Value
	if len(value) > 0 && value[0] == seal {
		a.isSealed, value = true, value[1:]
	}
	m := &jobv1.LimitLedger{}
	if err := proto.Unmarshal(value, m); err != nil {
		log.Error("limits: ledger of all accounts cannot be decoded", zap.Error(err))
		a.isUnreadable = true
		return a
	}
	for _, c := range m.GetClaims() {
		for _, p := range c.GetPositions() {
			account := fleet.ClientAccountID(p.GetAccount())
			if a.accounts[account] == nil {
				a.accounts[account] = allowance.Ledger{}
			}
			a.accounts[account][fleet.ServiceID(c.GetService())] = allowance.Claim{
				Epoch: fleet.FencingToken(c.GetEpoch()), Held: fromLimitCapacity(p.GetHeld()), Wanted: fromLimitCapacity(p.GetWanted()),
			}
		}
	}
	return a
}
