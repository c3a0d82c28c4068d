package command

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v4"
	"google.golang.org/protobuf/encoding/protojson"

	jobv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1/jobv1connect"
	"github.com/mimosawharf/mimosawharf/pkg/client"
)

// jobTimeout bounds one call about a job.
const jobTimeout = 5 * time.Second

// jobClient returns the client for jobs. It returns *client.TLSError.
func (c *cli) jobClient() (jobv1connect.JobServiceClient, error) {
	http, err := client.NewHTTP(c.files, jobTimeout)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	c.target = "--job-server " + c.jobs
	return jobv1connect.NewJobServiceClient(http, c.jobs), nil
}

func (c *cli) jobCommands(parent *ff.FlagSet) *ff.Command {
	return group(parent, "job", "submit, show, cancel, count, list and explain jobs", "job submit job.json",
		c.jobSubmit(parent), c.jobGet(parent), c.jobCancel(parent), c.jobCount(parent), c.jobList(parent), c.jobPlace(parent))
}

func (c *cli) jobSubmit(parent *ff.FlagSet) leaf {
	return leaf{
		path: "job submit", operands: "<file>", minOperands: 1, maxOperands: 1, help: "submit the job that a JSON file describes; - is the standard input",
		example: "job submit job.json", flags: ff.NewFlagSet("submit").SetParent(parent),
		run: func(ctx context.Context, operands []string) error {
			data, err := readInput(operands[0])
			if err != nil {
				return trace.Wrap(err)
			}
			job := &jobv1.Job{}
			if err := protojson.Unmarshal(data, job); err != nil {
				return trace.Wrap(&UsageError{Problem: "job submit: " + err.Error()})
			}
			jobs, err := c.jobClient()
			if err != nil {
				return trace.Wrap(err)
			}
			r, err := jobs.Submit(ctx, connect.NewRequest(&jobv1.SubmitRequest{Job: job}))
			if err != nil {
				return trace.Wrap(err)
			}
			return c.print(r.Msg, func(w *tabwriter.Writer) { _, _ = fmt.Fprintf(w, "job %s is stored\n", job.GetId()) })
		},
	}
}

func (c *cli) jobGet(parent *ff.FlagSet) leaf {
	return leaf{
		path: "job get", operands: "<job-id>", minOperands: 1, maxOperands: 1, help: "show the state of a job",
		example: "job get 0123456789abcdef", flags: ff.NewFlagSet("get").SetParent(parent),
		run: func(ctx context.Context, operands []string) error {
			jobs, err := c.jobClient()
			if err != nil {
				return trace.Wrap(err)
			}
			r, err := jobs.Get(ctx, connect.NewRequest(&jobv1.GetRequest{Job: operands[0]}))
			if err != nil {
				return trace.Wrap(err)
			}
			return c.print(r.Msg, func(w *tabwriter.Writer) { _, _ = fmt.Fprintf(w, "%s\t%s\n", operands[0], r.Msg.GetState()) })
		},
	}
}

func (c *cli) jobCancel(parent *ff.FlagSet) leaf {
	return leaf{
		path: "job cancel", operands: "<job-id>", minOperands: 1, maxOperands: 1, help: "cancel a job and stop its tasks",
		example: "job cancel 0123456789abcdef", flags: ff.NewFlagSet("cancel").SetParent(parent),
		run: func(ctx context.Context, operands []string) error {
			jobs, err := c.jobClient()
			if err != nil {
				return trace.Wrap(err)
			}
			r, err := jobs.Cancel(ctx, connect.NewRequest(&jobv1.CancelRequest{Job: operands[0]}))
			if err != nil {
				return trace.Wrap(err)
			}
			return c.print(r.Msg, func(w *tabwriter.Writer) { _, _ = fmt.Fprintf(w, "job %s is cancelled\n", operands[0]) })
		},
	}
}

func (c *cli) jobCount(parent *ff.FlagSet) leaf {
	return leaf{
		path: "job count", operands: "<queue>", minOperands: 1, maxOperands: 1, help: "count the jobs of a queue that have not started",
		example: "job count plans", flags: ff.NewFlagSet("count").SetParent(parent),
		run: func(ctx context.Context, operands []string) error {
			jobs, err := c.jobClient()
			if err != nil {
				return trace.Wrap(err)
			}
			r, err := jobs.Count(ctx, connect.NewRequest(&jobv1.CountRequest{Queue: operands[0]}))
			if err != nil {
				return trace.Wrap(err)
			}
			return c.print(r.Msg, func(w *tabwriter.Writer) { _, _ = fmt.Fprintf(w, "%s\t%d waiting\n", operands[0], r.Msg.GetWaiting()) })
		},
	}
}

func (c *cli) jobList(parent *ff.FlagSet) leaf {
	return leaf{
		path: "job list", operands: "<queue>", minOperands: 1, maxOperands: 1, help: "list the jobs of a queue with their states",
		example: "job list plans", flags: ff.NewFlagSet("list").SetParent(parent),
		run: func(ctx context.Context, operands []string) error {
			jobs, err := c.jobClient()
			if err != nil {
				return trace.Wrap(err)
			}
			r, err := jobs.List(ctx, connect.NewRequest(&jobv1.ListRequest{Queue: operands[0]}))
			if err != nil {
				return trace.Wrap(err)
			}
			return c.print(r.Msg, func(w *tabwriter.Writer) {
				writeRows(w, []string{"JOB", "STATE"}, r.Msg.GetJobs(), func(j *jobv1.JobState) []string { return []string{j.GetJob(), j.GetState()} })
			})
		},
	}
}
