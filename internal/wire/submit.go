package wire

import (
	"time"

	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/internal/request"
	callerv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/caller/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// SubmitRequest converts a request to its message. The timeout is the time left until the deadline.
func SubmitRequest(now time.Time, r *request.Request) *callerv1.SubmitRequest {
	return &callerv1.SubmitRequest{
		Service:     string(r.Service),
		RequestType: string(r.Type),
		RequestId:   string(r.ID),
		Group:       string(r.Group),
		Ticket:      r.Ticket,
		Timeout:     Duration(max(r.Deadline.Sub(now), time.Millisecond)),
		Body:        r.Body,
	}
}

// FromSubmitRequest converts a request of an account from its message. A request without a timeout
// gets the default one.
func FromSubmitRequest(now time.Time, account fleet.ClientAccountID, m *callerv1.SubmitRequest, defaultTimeout time.Duration) *request.Request {
	timeout := FromDuration(m.GetTimeout())
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return &request.Request{
		ID:       fleet.RequestID(m.GetRequestId()),
		Account:  account,
		Service:  fleet.ServiceID(m.GetService()),
		Type:     fleet.RequestType(m.GetRequestType()),
		Group:    fleet.RequestGroup(m.GetGroup()),
		Ticket:   m.GetTicket(),
		Body:     m.GetBody(),
		Received: now,
		Deadline: now.Add(timeout),
	}
}

// FromCancelRequest converts a cancellation of an account from its message.
func FromCancelRequest(account fleet.ClientAccountID, m *callerv1.CancelRequest) dispatch.CancellationRequested {
	return dispatch.CancellationRequested{
		Account: account, IDs: FromStrings[fleet.RequestID](m.GetRequestIds()), Group: fleet.RequestGroup(m.GetGroup()),
	}
}
