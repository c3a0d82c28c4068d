package jobentry_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	jobv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1/jobv1connect"
)

// Guards against a door that refuses clients of the job interface for the protocol that they use, and against
// compressed requests, whose decoded size is not bounded.
func TestJobInterfaceTakesEachProtocol(t *testing.T) {
	f := newFleet(t, 1, 1, 0)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = f.entries[0].Run(ctx) }()
	t.Cleanup(func() { stop(); <-done })
	for _, c := range []struct {
		name   string
		option connect.ClientOption
		want   connect.Code
	}{
		{"connect", connect.WithClientOptions(), connect.CodeNotFound},
		{"json", connect.WithProtoJSON(), connect.CodeNotFound},
		{"grpc-web", connect.WithGRPCWeb(), connect.CodeNotFound},
		{"compressed", connect.WithSendGzip(), connect.CodeUnknown},
		{"compressed grpc-web", connect.WithClientOptions(connect.WithGRPCWeb(), connect.WithSendGzip()), connect.CodeUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			client := jobv1connect.NewJobServiceClient(http.DefaultClient, "http://"+string(f.addresses[0]), c.option)
			code := connect.CodeUnavailable
			for range 400 { // until the entry listens
				_, err := client.Count(t.Context(), connect.NewRequest(&jobv1.CountRequest{Queue: "none"}))
				if code = connect.CodeOf(err); code != connect.CodeUnavailable {
					break
				}
				_ = clock.Wait(t.Context(), clock.Real(), 25*time.Millisecond)
			}
			is.Equal(code, c.want)
		})
	}
}
