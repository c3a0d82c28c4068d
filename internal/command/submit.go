package command

import (
	"context"
	"encoding/base64"
	"fmt"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v4"
	"google.golang.org/protobuf/types/known/durationpb"

	callerv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/caller/v1"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/caller/v1/callerv1connect"
)

// submitFlags describe a request.
type submitFlags struct {
	account, secret, service, requestType, body, id, group, ticket *string
	timeout                                                        *time.Duration
	once                                                           *bool
}

func newSubmitFlags(set *ff.FlagSet) submitFlags {
	return submitFlags{
		account:     set.StringLong("account", "", "Client account."),
		secret:      set.StringLong("secret", "", "Secret of the account."),
		service:     set.StringLong("service", "", "Service."),
		requestType: set.StringLong("type", "", "Request type."),
		body:        set.StringLong("body", "", "Body of the request."),
		id:          set.StringLong("request-id", "", "Id under which the request can be cancelled; chosen when empty."),
		group:       set.StringLong("group", "", "Label of requests that may be cancelled together."),
		ticket:      set.StringLong("ticket", "", "Ticket of an earlier attempt, to get its outcome again."),
		timeout:     set.DurationLong("timeout", 30*time.Second, "How long to wait for the outcome."),
		once:        set.BoolLong("once", "Get a ticket first, for a request that must not be repeated."),
	}
}

// callMargin is added to the timeout of the request to get the timeout of the call.
const callMargin = 5 * time.Second

func (c *cli) submitCommand(parent *ff.FlagSet) *ff.Command {
	set := ff.NewFlagSet("submit").SetParent(parent)
	flags := newSubmitFlags(set)
	return leaf{
		path: "submit", help: "submit a request as a client account", flags: set,
		example: "submit --account newsroom --secret s3cret --service rota --type swap --once --body 'vm 7 to 9'",
		run: func(ctx context.Context, _ []string) error {
			client, err := c.callerClient(*flags.account, *flags.secret, *flags.timeout+callMargin)
			if err != nil {
				return trace.Wrap(err)
			}
			m, err := flags.request(ctx, client)
			if err != nil {
				return trace.Wrap(err)
			}
			response, err := client.Submit(ctx, connect.NewRequest(m))
			if err != nil {
				return trace.Wrap(err)
			}
			if err := c.print(response.Msg, func(w *tabwriter.Writer) { writeOutcome(w, response.Msg) }); err != nil {
				return trace.Wrap(err)
			}
			return outcomeError(response.Msg, m.GetTicket())
		},
	}.command()
}

func (f submitFlags) request(ctx context.Context, client callerv1connect.CallerServiceClient) (*callerv1.SubmitRequest, error) {
	m := &callerv1.SubmitRequest{
		Service: *f.service, RequestType: *f.requestType, RequestId: *f.id, Group: *f.group, Body: []byte(*f.body), Timeout: durationpb.New(*f.timeout),
	}
	if *f.ticket != "" {
		ticket, err := base64.StdEncoding.DecodeString(*f.ticket)
		if err != nil {
			return nil, trace.Wrap(&UsageError{Problem: "--ticket: want the text that an earlier submit printed"})
		}
		m.Ticket = ticket
		return m, nil
	}
	if *f.once {
		tickets, err := client.IssueTickets(ctx, connect.NewRequest(&callerv1.IssueTicketsRequest{Count: 1}))
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if len(tickets.Msg.GetTickets()) == 0 {
			return nil, trace.Wrap(&OutcomeError{Code: ExitRefused, Problem: "the entry issued no ticket: run the command again"})
		}
		m.Ticket = tickets.Msg.GetTickets()[0]
	}
	return m, nil
}

func writeOutcome(w *tabwriter.Writer, m *callerv1.SubmitResponse) {
	switch v := m.GetOutcome().(type) {
	case *callerv1.SubmitResponse_Answer:
		_, _ = fmt.Fprintf(w, "answer (%s): %s\n", v.Answer.GetStatus(), v.Answer.GetBody())
	case *callerv1.SubmitResponse_NotRun:
		_, _ = fmt.Fprintf(w, "not run: %s\n", v.NotRun.GetReason())
	case *callerv1.SubmitResponse_Unknown:
		_, _ = fmt.Fprintf(w, "unknown: %s\n", v.Unknown.GetReason())
	}
}

// outcomeError returns nil for an answer that did not fail and *OutcomeError otherwise, so that scripts can
// tell them apart.
func outcomeError(m *callerv1.SubmitResponse, ticket []byte) error {
	var e *OutcomeError
	switch v := m.GetOutcome().(type) {
	case *callerv1.SubmitResponse_Answer:
		if v.Answer.GetStatus() != "failed" {
			return nil
		}
		e = &OutcomeError{Code: ExitFailure, Problem: "the work failed: the answer says why"}
	case *callerv1.SubmitResponse_NotRun:
		e = &OutcomeError{Code: ExitRefused, Problem: fmt.Sprintf("request %s did not run (%s): submit it again", m.GetRequestId(), v.NotRun.GetReason())}
		if after := v.NotRun.GetRetryAfter(); after != nil {
			e.Problem += " after " + after.AsDuration().String()
		}
	default:
		e = &OutcomeError{Code: ExitUnavailable, Problem: fmt.Sprintf("request %s may have run", m.GetRequestId())}
		if len(ticket) > 0 {
			e.Problem += ": ask again with --ticket " + base64.StdEncoding.EncodeToString(ticket)
		} else {
			e.Problem += ": submit it again if it may run twice"
		}
	}
	return trace.Wrap(e)
}

func (c *cli) cancelCommand(parent *ff.FlagSet) *ff.Command {
	set := ff.NewFlagSet("cancel").SetParent(parent)
	account := set.StringLong("account", "", "Client account.")
	secret := set.StringLong("secret", "", "Secret of the account.")
	group := set.StringLong("group", "", "Cancel all requests with this label.")
	return leaf{
		path: "cancel", operands: "[<request-id>...]", maxOperands: -1, help: "cancel requests of a client account", flags: set,
		example: "cancel --account newsroom --secret s3cret --group week-23",
		run: func(ctx context.Context, ids []string) error {
			if len(ids) == 0 && *group == "" {
				return trace.Wrap(&UsageError{Problem: "cancel: want request ids or --group"})
			}
			client, err := c.callerClient(*account, *secret, operatorTimeout)
			if err != nil {
				return trace.Wrap(err)
			}
			response, err := client.Cancel(ctx, connect.NewRequest(&callerv1.CancelRequest{RequestIds: ids, Group: *group}))
			if err != nil {
				return trace.Wrap(err)
			}
			return c.print(response.Msg, func(w *tabwriter.Writer) {
				_, _ = fmt.Fprintf(w, "%d removed from queues, %d asked to stop\n", response.Msg.GetDequeued(), response.Msg.GetStopping())
			})
		},
	}.command()
}
