package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// ListenError reports an address that cannot be listened on.
type ListenError struct {
	Address fleet.Address
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string {
	return "listen on " + string(e.Address) + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// Server is a duty that serves HTTP on one listener.
type Server struct {
	// The fields are set before Run.
	Duty          fleet.DutyName
	Listener      net.Listener
	Handler       http.Handler
	HeaderTimeout time.Duration
}

// maxHeaderBytes bounds the headers of a request.
const maxHeaderBytes = 32 << 10

// idleTimeout closes connections that nobody uses.
const idleTimeout = 2 * time.Minute

// Listen opens a TCP listener. It returns *ListenError.
func Listen(address fleet.Address) (net.Listener, error) {
	l, err := net.Listen("tcp", string(address))
	if err != nil {
		return nil, trace.Wrap(&ListenError{Address: address, Cause: err})
	}
	return l, nil
}

// Name implements duty.Duty.
func (s *Server) Name() fleet.DutyName { return s.Duty }

// Run implements duty.Duty. It closes the listener and all connections when the context ends; the
// supervisor ends it only when no request is in flight.
func (s *Server) Run(ctx context.Context) error {
	server := &http.Server{
		Handler:           s.Handler,
		ReadHeaderTimeout: s.HeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(s.Listener)
	if errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(ctx.Err())
	}
	return trace.Wrap(err)
}
