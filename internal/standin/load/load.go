// Package load simulates the callers of a client account: it sends a mixed load through several
// entries, checks each outcome and compares them with what the endpoints ran.
package load

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/caller/v1/callerv1connect"
	endpointv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/endpoint/v1"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/endpoint/v1/endpointv1connect"
	"github.com/mimosawharf/mimosawharf/pkg/client"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// FindingsError reports that guarantees were violated.
type FindingsError struct {
	Count int
}

// Error implements error.
func (e *FindingsError) Error() string {
	return fmt.Sprintf("load: %d findings: see the lines above", e.Count)
}

// Run sends the load and writes a report, and one line for each request to records. It returns
// *OptionError, and *FindingsError when a guarantee was violated.
func Run(ctx context.Context, o Options, output, records io.Writer) error {
	if err := o.check(); err != nil {
		return trace.Wrap(err)
	}
	tally, err := send(ctx, o)
	if err != nil {
		return trace.Wrap(err)
	}
	runs, err := collectRuns(ctx, o.Clock, o.Endpoints)
	if err != nil {
		return trace.Wrap(err)
	}
	tally.checkRuns(runs)
	for _, r := range tally.Records {
		if _, err := fmt.Fprintln(records, r.ID, r.Type, r.Outcome, r.Reason, runs[r.ID]); err != nil {
			return trace.Wrap(err)
		}
	}
	return tally.write(output)
}

// send runs the workers until the end of the load and returns the merged tallies.
func send(ctx context.Context, o Options) (*Tally, error) {
	group, running := duty.NewGroup(ctx)
	b := &balancer{entries: o.Entries, clock: o.Clock}
	b.checkReadiness(running)
	group.Start(running, b)
	reports := ring.New[*Tally]("load-reports", o.Workers)
	clients := newClients(o)
	end := o.Clock.Now().Add(o.Duration)
	for i := range o.Workers {
		group.Start(running, &worker{
			number: i, options: o, clients: clients, ready: &b.ready, clock: o.Clock, end: end, reports: reports,
		})
	}
	total := newTally()
	for range o.Workers {
		report, err := reports.Pop(running)
		if err != nil {
			break
		}
		total.merge(report)
	}
	group.Stop()
	if err := group.Wait(); err != nil {
		return nil, trace.Wrap(err)
	}
	return total, trace.Wrap(ctx.Err())
}

// idleConnections is how many idle connections the load keeps to one entry.
const idleConnections = 256

func newClients(o Options) map[fleet.EntryID]callerv1connect.CallerServiceClient {
	shared := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}}
	clients := map[fleet.EntryID]callerv1connect.CallerServiceClient{}
	for _, e := range o.Entries {
		clients[e.ID] = client.NewCaller("http://"+string(e.Caller), client.CallerOptions{Account: o.Account, Secret: o.Secret, HTTP: shared})
	}
	return clients
}

// Requests that their callers abandoned continue at the endpoints, which are polled until nothing runs, at
// most for quietTimeout.
const (
	quietInterval = 500 * time.Millisecond
	quietTimeout  = time.Minute
)

// collectRuns returns how often each request ran over all endpoints, once nothing runs or quietTimeout has
// passed.
func collectRuns(ctx context.Context, c clock.Clock, endpoints []fleet.Address) (map[fleet.RequestID]int, error) {
	until := c.Now().Add(quietTimeout)
	for {
		runs, running, err := listRuns(ctx, endpoints)
		if err != nil || running == 0 || c.Now().After(until) {
			return runs, trace.Wrap(err)
		}
		if err := clock.Wait(ctx, c, quietInterval); err != nil {
			return nil, trace.Wrap(err)
		}
	}
}

func listRuns(ctx context.Context, endpoints []fleet.Address) (map[fleet.RequestID]int, int, error) {
	runs, running := map[fleet.RequestID]int{}, 0
	for _, address := range endpoints {
		c := endpointv1connect.NewObservationServiceClient(http.DefaultClient, "http://"+string(address))
		response, err := c.ListRuns(ctx, connect.NewRequest(&endpointv1.ListRunsRequest{}))
		if err != nil {
			return nil, 0, trace.Wrap(err)
		}
		running += int(response.Msg.GetRunning())
		for _, r := range response.Msg.GetRequests() {
			runs[fleet.RequestID(r.GetRequestId())] += int(r.GetRuns())
		}
	}
	return runs, running, nil
}

// maxExamples bounds the examples of one finding in a report.
const maxExamples = 10

// write writes the report. It returns *FindingsError when there are findings.
func (t *Tally) write(output io.Writer) error {
	for _, kind := range slices.Sorted(maps.Keys(t.Attempts)) {
		_, _ = fmt.Fprintf(output, "calls %s: %d\n", kind, t.Attempts[kind])
	}
	outcomes, found := "", ""
	for _, kind := range slices.Sorted(maps.Keys(t.Outcomes)) {
		outcomes += fmt.Sprintf(" %s=%d", kind, t.Outcomes[kind])
	}
	count := 0
	for _, f := range []Finding{FindingFalseNotRun, FindingDoubleRun, FindingWrongAnswer, FindingCutOff} {
		list := t.Findings[f]
		found += fmt.Sprintf(" %s=%d", f, len(list))
		count += len(list)
		for _, example := range list[:min(len(list), maxExamples)] {
			_, _ = fmt.Fprintf(output, "finding %s: %s\n", f, example)
		}
	}
	p99 := time.Duration(t.Short.ValueAtQuantile(99)) * time.Microsecond
	_, _ = fmt.Fprintf(output, "load: requests=%d%s short-p99=%s outcomes:%s\n", len(t.Records), found, p99, outcomes)
	if count > 0 {
		return trace.Wrap(&FindingsError{Count: count})
	}
	return nil
}
