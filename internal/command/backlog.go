package command

import (
	"cmp"
	"context"
	"fmt"
	"strconv"
	"text/tabwriter"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v4"

	jobv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1"
)

func (c *cli) accountExplain(parent *ff.FlagSet) leaf {
	return leaf{
		path: "account explain", operands: "<account>", minOperands: 1, maxOperands: 1,
		help:    "explain what a client account runs and waits for in each service that runs jobs, and why its next task waits",
		example: "account explain newsroom", flags: ff.NewFlagSet("explain").SetParent(parent),
		run: func(ctx context.Context, operands []string) error {
			jobs, err := c.jobClient()
			if err != nil {
				return trace.Wrap(err)
			}
			r, err := jobs.ExplainAccount(ctx, connect.NewRequest(&jobv1.ExplainAccountRequest{Account: operands[0]}))
			if err != nil {
				return trace.Wrap(err)
			}
			return c.print(r.Msg, func(w *tabwriter.Writer) { writeAccountBacklog(w, r.Msg) })
		},
	}
}

func (c *cli) poolExplain(parent *ff.FlagSet) leaf {
	return leaf{
		path: "pool explain", operands: "<service>", minOperands: 1, maxOperands: 1,
		help:    "explain what runs and waits in the pool of a service that runs jobs, and why the next task waits",
		example: "pool explain rota", flags: ff.NewFlagSet("explain").SetParent(parent),
		run: func(ctx context.Context, operands []string) error {
			jobs, err := c.jobClient()
			if err != nil {
				return trace.Wrap(err)
			}
			r, err := jobs.ExplainPool(ctx, connect.NewRequest(&jobv1.ExplainPoolRequest{Service: operands[0]}))
			if err != nil {
				return trace.Wrap(err)
			}
			return c.print(r.Msg, func(w *tabwriter.Writer) { writePoolBacklog(w, r.Msg.GetBacklog()) })
		},
	}
}

func writeAccountBacklog(w *tabwriter.Writer, m *jobv1.ExplainAccountResponse) {
	_, _ = fmt.Fprintf(w, "weight\t%d jobs/s\nlimit\t%s\n\n", m.GetWeight(), demandText(m.GetLimit(), "none"))
	writeRows(w, []string{"SERVICE", "RUNNING", "IN-USE", "ALLOWED", "WAITING", "WANTED", "LATE", "EXCESS", "PUT-BACK", "NEXT", "VERDICT"}, m.GetServices(), func(b *jobv1.Backlog) []string {
		if b.GetUnknown() {
			return []string{b.GetService(), "", "", "", "", "", "", "", "", "", "no holder answers"}
		}
		allowed := demandText(b.GetAllowed(), "unlimited")
		if b.GetBlocked() {
			allowed = "blocked"
		}
		return []string{
			b.GetService(), count(b.GetRunning()), demandText(b.GetUsed(), ""), allowed, count(b.GetWaiting()), demandText(b.GetWanted(), ""), count(b.GetLate()),
			count(b.GetExcess()), count(b.GetPutBack()), cmp.Or(b.GetNext(), "-"), b.GetVerdict(),
		}
	})
}

func writePoolBacklog(w *tabwriter.Writer, b *jobv1.Backlog) {
	line := func(name, format string, values ...any) { _, _ = fmt.Fprintf(w, name+"\t"+format+"\n", values...) }
	line("endpoints", "%d with %s", b.GetEndpoints(), demandText(b.GetCapacity(), ""))
	line("running", "%d tasks with %s", b.GetRunning(), demandText(b.GetUsed(), ""))
	line("waiting", "%d tasks for %s: %d late, %d beyond their account's weight, %d beyond its share", b.GetWaiting(), demandText(b.GetWanted(), ""), b.GetLate(), b.GetExcess(), b.GetPutBack())
	line("next", "%s: %s", cmp.Or(b.GetNext(), "no task"), b.GetVerdict())
}

// demandText returns capacity in millicores, megabytes and accelerators.
func demandText(d *jobv1.Demand, absent string) string {
	if d == nil {
		return absent
	}
	text := fmt.Sprintf("%dm/%dMB", d.GetMillicores(), d.GetMemoryMb())
	if n := d.GetAccelerators(); n > 0 {
		text += "/" + strconv.FormatUint(n, 10) + "acc"
	}
	return text
}

func count(n uint32) string { return strconv.FormatUint(uint64(n), 10) }
