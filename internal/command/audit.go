package command

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v4"

	fleetv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/fleet/v1"
	operatorv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/operator/v1"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/operator/v1/operatorv1connect"
)

func (c *cli) auditCommands(parent *ff.FlagSet) *ff.Command {
	set := ff.NewFlagSet("list").SetParent(parent)
	pool := set.StringLong("pool", "", "Only changes of this pool.")
	vm := set.StringLong("vm", "", "Only changes of this VM.")
	actor := set.StringLong("actor", "", "Only changes of this operator or entry.")
	since := set.StringLong("since", "", "Only changes since this time, or since this duration ago.")
	until := set.StringLong("until", "", "Only changes before this time, or before this duration ago.")
	limit := set.UintLong("limit", 100, "Maximum number of rows, up to 10000.")
	page := set.Uint64Long("page", 0, "Page that an earlier list printed; 0 starts with the newest row.")
	list := leaf{
		path: "audit list", help: "list changes, newest first", example: "audit list --vm vm-1 --since 24h", flags: set,
		run: func(ctx context.Context, _ []string) error {
			m := &operatorv1.ListAuditRequest{Pool: *pool, Vm: *vm, Actor: *actor, Limit: uint32(min(*limit, maxAuditRows+1)), Page: *page}
			from, err := parseInstant("since", *since, c.clock.Now(), past)
			if err != nil {
				return trace.Wrap(err)
			}
			to, err := parseInstant("until", *until, c.clock.Now(), past)
			if err != nil {
				return trace.Wrap(err)
			}
			m.Since, m.Until = timestamp(from), timestamp(to)
			return c.listAudit(ctx, m)
		},
	}
	return group(parent, "audit", "read the audit trail", "audit list --since 24h", list)
}

// maxAuditRows is the largest number of rows that an entry returns at once.
const maxAuditRows = 10000

// listAudit collects rows until the limit or the end of the trail. A page of the entry may be short
// because it reads a bounded part of the trail at a time.
func (c *cli) listAudit(ctx context.Context, m *operatorv1.ListAuditRequest) error {
	all, limit := &operatorv1.ListAuditResponse{}, m.GetLimit()
	for {
		response, err := call(ctx, c, operatorv1connect.OperatorServiceClient.ListAudit, m)
		if err != nil {
			return trace.Wrap(err)
		}
		all.Rows = append(all.Rows, response.GetRows()...)
		all.NextPage = response.GetNextPage()
		if all.GetNextPage() == 0 || uint32(len(all.GetRows())) >= limit {
			break
		}
		m.Page, m.Limit = all.GetNextPage(), limit-uint32(len(all.GetRows()))
	}
	return c.print(all, func(w *tabwriter.Writer) {
		writeRows(w, []string{"TIME", "ACTOR", "ACTION", "SUBJECTS", "FROM", "TO", "REASON", "OUTCOME", "OPERATION"}, all.GetRows(), func(a *fleetv1.AuditRow) []string {
			return []string{
				instantText(a.GetAt()), a.GetActor(), a.GetAction(), strings.Join(a.GetSubjects(), " "), a.GetFrom(), a.GetTo(),
				a.GetReason(), a.GetOutcome(), a.GetOperationId(),
			}
		})
		if all.GetNextPage() != 0 {
			_, _ = fmt.Fprintf(w, "older rows: --page %d\n", all.GetNextPage())
		}
	})
}
