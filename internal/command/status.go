package command

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v4"

	operatorv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/operator/v1"
)

func (c *cli) statusCommand(parent *ff.FlagSet) *ff.Command {
	return leaf{
		path: "status", help: "show whether the guarantees hold now; exit code 1 when one does not", example: "status",
		flags: ff.NewFlagSet("status").SetParent(parent),
		run: func(ctx context.Context, _ []string) error {
			m, err := c.status(ctx)
			if err != nil {
				return trace.Wrap(err)
			}
			if err := c.print(m, func(w *tabwriter.Writer) { writeStatus(w, m) }); err != nil {
				return trace.Wrap(err)
			}
			if !m.GetHealthy() {
				return trace.Wrap(&OutcomeError{Code: ExitFailure, Problem: "not every guarantee holds: the problems above say what to do"})
			}
			return nil
		},
	}.command()
}

func writeStatus(w *tabwriter.Writer, m *operatorv1.GetStatusResponse) {
	verdict := "all guarantees hold"
	if !m.GetHealthy() {
		verdict = "NOT ALL GUARANTEES HOLD"
	}
	_, _ = fmt.Fprintf(w, "%s; table read %s ago, VM list %s ago\n", verdict, m.GetStoreAge().AsDuration(), m.GetVmListAge().AsDuration())
	for _, p := range m.GetProblems() {
		_, _ = fmt.Fprintln(w, "problem:", p)
	}
	_, _ = fmt.Fprintln(w)
	writePoolStatus(w, m.GetPools())
	_, _ = fmt.Fprintln(w)
	writeRows(w, []string{"SERVICE", "ENDPOINTS", "EJECTED", "RUNNING", "URGENT", "NORMAL", "LONG", "SHORT-WAIT-P99"}, m.GetServices(), func(s *operatorv1.ServiceStatus) []string {
		return []string{
			s.GetService(), countText(s.GetEndpoints()), countText(s.GetEjected()), countText(s.GetRunning()), countText(s.GetQueuedUrgent()),
			countText(s.GetQueuedNormal()), countText(s.GetQueuedLong()), durationText(s.GetShortWaitP99()),
		}
	})
	_, _ = fmt.Fprintln(w)
	writeEntries(w, m.GetEntries())
	_, _ = fmt.Fprintln(w)
	writeRows(w, []string{"LEASE", "HOLDER", "EPOCH", "HELD FOR"}, m.GetLeases(), func(l *operatorv1.LeaseStatus) []string {
		return []string{l.GetDuty(), l.GetHolder(), fmt.Sprint(l.GetEpoch()), durationText(l.GetAge())}
	})
	if len(m.GetWaves()) == 0 {
		return
	}
	_, _ = fmt.Fprintln(w)
	writeRows(w, []string{"WAVE", "STATE", "DONE", "TOTAL", "REASON"}, m.GetWaves(), func(v *operatorv1.WaveStatus) []string {
		return []string{v.GetWave(), v.GetState(), countText(v.GetDone()), countText(v.GetTotal()), v.GetReason()}
	})
}

func writePoolStatus(w *tabwriter.Writer, pools []*operatorv1.PoolStatus) {
	writeRows(w, []string{"POOL", "BUDGET", "AVAILABLE", "REQUIRED", "VMS", "DISRUPTED", "GRANTS", "FAILED", "BORROWED", "LENT"}, pools, func(p *operatorv1.PoolStatus) []string {
		holds := "broken"
		if p.GetBudgetHolds() {
			holds = "holds"
		}
		return []string{
			p.GetPool(), holds, countText(p.GetAvailableVms()), countText(p.GetRequiredVms()), countText(p.GetVms()), countText(p.GetDraining()),
			countText(p.GetDisruptions()), countText(p.GetFailed()), countText(p.GetBorrowed()), countText(p.GetLent()),
		}
	})
}

func writeEntries(w *tabwriter.Writer, entries []*operatorv1.EntryStatus) {
	writeRows(w, []string{"ENTRY", "ZONE", "STATE", "REVISION", "SINCE"}, entries, func(e *operatorv1.EntryStatus) []string {
		return []string{e.GetEntry(), e.GetZone(), e.GetState(), fmt.Sprint(e.GetConfigRevision()), instantText(e.GetConfigSince())}
	})
}

// showBudgets compares the capacity of all pools, or of the named one, with their budgets.
func (c *cli) showBudgets(ctx context.Context, operands []string) error {
	m, err := c.status(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	pools := m.GetPools()
	if len(operands) == 1 {
		pool, ok := find(pools, (*operatorv1.PoolStatus).GetPool, operands[0])
		if !ok {
			return trace.Wrap(notFoundError("pool", operands[0]))
		}
		pools = []*operatorv1.PoolStatus{pool}
	}
	return c.print(&operatorv1.GetStatusResponse{Pools: pools}, func(w *tabwriter.Writer) { writePoolStatus(w, pools) })
}
