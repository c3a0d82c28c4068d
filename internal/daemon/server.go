package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/ring"
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
	// Closing, when it is not nil, ends before the daemon does: the server then takes no more
	// connections and finishes the requests that it has, and says so on Closed.
	Closing context.Context
	Closed  *ring.Ring[ServerClosed]
}

// ServerClosed says that a server has written all of its responses.
type ServerClosed struct{}

// closeTimeout bounds the wait for clients that do not read their responses.
const closeTimeout = 5 * time.Second

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

// Run implements duty.Duty. It closes the listener and all connections when the context ends. The
// supervisor ends it only when no request is in flight and, for callers, after Closed.
func (s *Server) Run(ctx context.Context) error {
	server := &http.Server{
		Handler:           s.Handler,
		ReadHeaderTimeout: s.HeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if s.Closing != nil {
		stopClosing := context.AfterFunc(s.Closing, func() {
			bounded, cancel := context.WithTimeout(ctx, closeTimeout)
			defer cancel()
			_ = server.Shutdown(bounded)
			_ = s.Closed.Push(ServerClosed{})
		})
		defer stopClosing()
	}
	err := server.Serve(s.Listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return trace.Wrap(ctx.Err())
	}
	return trace.Wrap(err)
}
