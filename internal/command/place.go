package command

import (
	"context"
	"fmt"
	"strconv"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v4"
	"google.golang.org/protobuf/encoding/protojson"

	jobv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1"
)

func (c *cli) jobPlace(parent *ff.FlagSet) leaf {
	return leaf{
		path: "job place", operands: "<file>", minOperands: 1, maxOperands: 1,
		help:    "explain where the next task of a job would go now, without submitting it; of a stored job the file needs the id and the queue only; - is the standard input",
		example: "job place job.json", flags: ff.NewFlagSet("place").SetParent(parent),
		run: func(ctx context.Context, operands []string) error {
			data, err := readInput(operands[0])
			if err != nil {
				return trace.Wrap(err)
			}
			job := &jobv1.Job{}
			if err := protojson.Unmarshal(data, job); err != nil {
				return trace.Wrap(&UsageError{Problem: "job place: " + err.Error()})
			}
			jobs, err := c.jobClient()
			if err != nil {
				return trace.Wrap(err)
			}
			r, err := jobs.Explain(ctx, connect.NewRequest(&jobv1.ExplainRequest{Job: job}))
			if err != nil {
				return trace.Wrap(err)
			}
			return c.print(r.Msg, func(w *tabwriter.Writer) { writePlacement(w, r.Msg.GetPlacement()) })
		},
	}
}

// writePlacement prints a placement.
func writePlacement(w *tabwriter.Writer, p *jobv1.Placement) {
	line := func(name, format string, values ...any) { _, _ = fmt.Fprintf(w, name+"\t"+format+"\n", values...) }
	line("verdict", "%s", p.GetVerdict())
	if p.GetTask() != "" {
		line("task", "%s", p.GetTask())
		line("rank", "%d steps ahead, priority %d, due %s, late %t", p.GetAhead(), p.GetPriority(), p.GetDue().AsTime().UTC().Format(time.RFC3339Nano), p.GetLate())
	}
	line("job known", "%t", p.GetKnown())
	if p.GetAccount() != "" {
		line("account", "%s, %d millicores in use", p.GetAccount(), p.GetRunning())
	}
	if p.GetEndpoint() != "" {
		line("endpoint", "%s on rack %q", p.GetEndpoint(), p.GetRack())
	}
	if p.GetNearReason() != "" {
		line("near its data", "%s: wait %s, costs %s, saves %s", p.GetNearReason(), rounded(p.GetNearWait().AsDuration()), rounded(p.GetNearCosts().AsDuration()),
			rounded(p.GetNearSaves().AsDuration()))
	}
	if len(p.GetCandidates()) == 0 {
		return
	}
	_, _ = fmt.Fprintln(w)
	writeRows(w, []string{"ENDPOINT", "RACK", "PASSED OVER", "SCORE"}, p.GetCandidates(), func(e *jobv1.PlaceCandidate) []string {
		score := ""
		if e.GetPassedOver() == "" {
			score = strconv.FormatFloat(e.GetScore(), 'f', 2, 64)
		}
		return []string{e.GetEndpoint(), e.GetRack(), e.GetPassedOver(), score}
	})
}

func rounded(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
