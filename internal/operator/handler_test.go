package operator_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/operation"
	"github.com/mimosawharf/mimosawharf/internal/operator"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	configv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/config/v1"
	operatorv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/operator/v1"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/operator/v1/operatorv1connect"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// serve starts a server whose operations are never executed.
func serve(t *testing.T) (operatorv1connect.OperatorServiceClient, *ring.Ring[operation.Operation], string) {
	inbox, view := ring.New[operation.Operation]("test", 1), &ring.Latest[*fleet.View]{}
	v := fleet.NewView()
	v.Configuration.Accounts["union"] = fleet.ClientAccount{ID: "union", CredentialHash: []byte("hash")}
	view.Set(v)
	h := &operator.Handler{Inbox: inbox, View: view, Clock: clockwork.NewFakeClock()}
	mux := http.NewServeMux()
	mux.Handle(h.Route())
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return operatorv1connect.NewOperatorServiceClient(server.Client(), server.URL), inbox, server.URL
}

// Guards against messages out of bounds that reach the executor, or that are refused without a typed error.
func TestInvalidMessagesDoNotReachExecutor(t *testing.T) {
	pool := &configv1.Pool{Id: "rota", Budget: &configv1.Budget{MinAvailableVms: 1}}
	put := &configv1.Change{Item: &configv1.Change_PutPool{PutPool: pool}}
	cases := []struct {
		name string
		m    *operatorv1.ApplyConfigurationRequest
		code connect.Code
		want string
	}{
		{"nothing", &operatorv1.ApplyConfigurationRequest{}, connect.CodeInvalidArgument, "at least one change"},
		{"both", &operatorv1.ApplyConfigurationRequest{Changes: []*configv1.Change{put}, Replace: &configv1.Configuration{}}, connect.CodeInvalidArgument, "no changes next to replace"},
		{"pool twice", &operatorv1.ApplyConfigurationRequest{Replace: &configv1.Configuration{Pools: []*configv1.Pool{pool, pool}}}, connect.CodeInvalidArgument, "rota twice"},
		{"no budget", &operatorv1.ApplyConfigurationRequest{Replace: &configv1.Configuration{Pools: []*configv1.Pool{{Id: "rota"}}}}, connect.CodeInvalidArgument, "field replace.pools.budget"},
		{"long reason", &operatorv1.ApplyConfigurationRequest{Operation: &operatorv1.Operation{Reason: strings.Repeat("x", 513)}}, connect.CodeInvalidArgument, "field operation.reason: want at most 512 bytes"},
		{"oversized", &operatorv1.ApplyConfigurationRequest{Operation: &operatorv1.Operation{Reason: strings.Repeat("x", 17<<20)}}, connect.CodeResourceExhausted, "larger than"},
	}
	client, inbox, _ := serve(t)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := client.ApplyConfiguration(context.Background(), connect.NewRequest(c.m))
			is.Equal(connect.CodeOf(err), c.code)
			is.True(strings.Contains(err.Error(), c.want))
			is.Equal(inbox.Depth(), 0)
		})
	}
}

// Guards against a malformed body that is not refused with status 400.
func TestMalformedBodyIsRefused(t *testing.T) {
	is := is.New(t)
	_, _, url := serve(t)
	response, err := http.Post(url+operatorv1connect.OperatorServiceChangeVMProcedure, "application/proto", bytes.NewReader([]byte{0x0a, 0xff, 0xff}))
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusBadRequest)
	is.NoErr(response.Body.Close())
}

// cancelingInbox accepts an operation and cancels the caller's wait for its result.
type cancelingInbox struct{ cancel context.CancelFunc }

func (i cancelingInbox) Push(operation.Operation) error {
	i.cancel()
	return nil
}

// Guards against an operation in progress that is reported as refused because the wait for it has ended.
func TestEndedWaitIsNotARefusal(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	h := &operator.Handler{Inbox: cancelingInbox{cancel: cancel}, View: &ring.Latest[*fleet.View]{}, Clock: clockwork.NewFakeClock()}
	_, err := h.ChangeVM(ctx, connect.NewRequest(&operatorv1.ChangeVMRequest{Vm: "vm-1", Action: "drain"}))
	is.Equal(connect.CodeOf(err), connect.CodeUnavailable)
}

// Guards against a full ring that blocks the handler.
func TestFullRingRefuses(t *testing.T) {
	is := is.New(t)
	client, inbox, _ := serve(t)
	is.NoErr(inbox.Push(operation.ListAudit{}))
	_, err := client.ChangeVM(context.Background(), connect.NewRequest(&operatorv1.ChangeVMRequest{Vm: "vm-1", Action: "drain"}))
	is.Equal(connect.CodeOf(err), connect.CodeResourceExhausted)
}

// Guards against credential hashes that leave the entry, and a status that fails on an empty view.
func TestReadsHideCredentials(t *testing.T) {
	is := is.New(t)
	client, _, _ := serve(t)
	shown, err := client.GetConfiguration(context.Background(), connect.NewRequest(&operatorv1.GetConfigurationRequest{}))
	is.NoErr(err)
	is.Equal(len(shown.Msg.GetConfiguration().GetAccounts()[0].GetCredentialHash()), 0)
	status, err := client.GetStatus(context.Background(), connect.NewRequest(&operatorv1.GetStatusRequest{}))
	is.NoErr(err)
	is.True(!status.Msg.GetHealthy()) // the table has not been read yet
}
