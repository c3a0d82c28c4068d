package command

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v4"

	configv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/config/v1"
)

// accountFlags are the flags of account put.
type accountFlags struct {
	secret, secretFile            *string
	weight, rate, burst, inFlight *uint
	grants                        *[]string
}

func newAccountFlags(set *ff.FlagSet) accountFlags {
	return accountFlags{
		secret:     set.StringLong("secret", "", "Secret of the account; other users of this machine may see it, so prefer --secret-file."),
		secretFile: set.StringLong("secret-file", "", "File with the secret, or - for the standard input. Without a secret an existing account keeps its own."),
		weight:     set.UintLong("weight", 1, "Share relative to other accounts, up to 1000."),
		rate:       set.UintLong("requests-per-second", 0, "Quota over all entries; 0 for no limit."),
		burst:      set.UintLong("burst", 0, "Requests above the rate that may come at once."),
		inFlight:   set.UintLong("in-flight", 0, "Requests that may be queued and running; 0 for no limit."),
		grants:     set.StringListLong("grant", "Priority grant as service:request-type:class; may be repeated."),
	}
}

func (f accountFlags) account(id string) (*configv1.ClientAccount, error) {
	account := &configv1.ClientAccount{Id: id, Weight: saturate(*f.weight)}
	if *f.rate+*f.burst+*f.inFlight > 0 {
		account.Quota = &configv1.Quota{RequestsPerSecond: saturate(*f.rate), Burst: saturate(*f.burst), InFlight: saturate(*f.inFlight)}
	}
	secret := []byte(*f.secret)
	if *f.secretFile != "" {
		data, err := readInput(*f.secretFile)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		secret = bytes.TrimSpace(data)
	}
	if len(secret) > 0 {
		hash := sha256.Sum256(secret)
		account.CredentialHash = hash[:]
	}
	for _, text := range *f.grants {
		parts := strings.Split(text, ":")
		if len(parts) != 3 {
			return nil, trace.Wrap(&UsageError{Problem: fmt.Sprintf("--grant %q: want service:request-type:class", text)})
		}
		account.PriorityGrants = append(account.PriorityGrants, &configv1.PriorityGrant{Service: parts[0], RequestType: parts[1], Class: parts[2]})
	}
	return account, nil
}

func (c *cli) accountCommands(parent *ff.FlagSet) *ff.Command {
	set := ff.NewFlagSet("put").SetParent(parent)
	options, flags := c.configFlags(set), newAccountFlags(set)
	put := leaf{
		path: "account put", operands: "<account>", minOperands: 1, maxOperands: 1, help: "create a client account or replace its settings", flags: set,
		example: "account put --secret-file newsroom.secret --requests-per-second 50 --grant rota:storm-call:urgent newsroom",
		run: func(ctx context.Context, operands []string) error {
			account, err := flags.account(operands[0])
			if err != nil {
				return trace.Wrap(err)
			}
			return c.applyOne(ctx, options, &configv1.Change{Item: &configv1.Change_PutAccount{PutAccount: account}})
		},
	}
	return group(parent, "account", "manage client accounts", "account list", append(itemCommands(c, parent, itemKind[*configv1.ClientAccount]{
		name: "account", items: (*configv1.Configuration).GetAccounts, id: (*configv1.ClientAccount).GetId, write: writeAccounts,
		wrap: func(list []*configv1.ClientAccount) *configv1.Configuration {
			return &configv1.Configuration{Accounts: list}
		},
		remove: func(id string) *configv1.Change {
			return &configv1.Change{Item: &configv1.Change_DeleteAccount{DeleteAccount: id}}
		},
	}), put, c.accountExplain(parent))...)
}

func writeAccounts(w *tabwriter.Writer, accounts []*configv1.ClientAccount) {
	writeRows(w, []string{"ACCOUNT", "WEIGHT", "RATE", "BURST", "IN-FLIGHT", "GRANTS", "REVISION"}, accounts, func(a *configv1.ClientAccount) []string {
		var grants []string
		for _, g := range a.GetPriorityGrants() {
			grants = append(grants, g.GetService()+":"+g.GetRequestType()+":"+g.GetClass())
		}
		q := a.GetQuota()
		return []string{
			a.GetId(), countText(a.GetWeight()), limitText(q.GetRequestsPerSecond()), limitText(q.GetBurst()), limitText(q.GetInFlight()),
			strings.Join(grants, ","), fmt.Sprint(a.GetRevision()),
		}
	})
}
