package daemon

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"golang.org/x/net/netutil"

	"github.com/mimosawharf/mimosawharf/internal/caller"
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
	// TLS is nil for a server without TLS. HTTP/2 is served with TLS, and without it only when
	// PlainHTTP2 is set.
	TLS        *tls.Config
	PlainHTTP2 bool
	// MaxConnections bounds the open connections; 0 stands for defaultConnections. Further clients
	// wait until a connection is closed.
	MaxConnections int
	// CountAccounts counts connections for the accounts that use them.
	CountAccounts bool
	// Log may be nil.
	Log *zap.Logger
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

// Connections that servers hold open by default, and streams of one HTTP/2 connection.
const (
	defaultConnections = 256
	maxStreams         = 256
)

// Bounds of HTTP/2. A client that answers no ping or reads nothing loses its connection.
const (
	pingAfter    = 30 * time.Second
	pingTimeout  = 15 * time.Second
	writeTimeout = 30 * time.Second
	// receiveBytes bounds what one connection may send before it is read.
	receiveBytes = 1 << 20
)

// Run implements duty.Duty. It closes the listener and all connections when the context ends. The
// supervisor ends it only when no request is in flight and, for callers, after Closed.
func (s *Server) Run(ctx context.Context) error {
	server := s.server()
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
	err := s.serve(server)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return trace.Wrap(ctx.Err())
	}
	return trace.Wrap(err)
}

func (s *Server) server() *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(s.TLS != nil)
	protocols.SetUnencryptedHTTP2(s.TLS == nil && s.PlainHTTP2)
	server := &http.Server{
		Handler:           s.Handler,
		TLSConfig:         s.TLS,
		Protocols:         protocols,
		ReadHeaderTimeout: s.HeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(errorLog{log: s.Log}, "", 0),
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams, MaxReceiveBufferPerConnection: receiveBytes, MaxReceiveBufferPerStream: receiveBytes,
			SendPingTimeout: pingAfter, PingTimeout: pingTimeout, WriteByteTimeout: writeTimeout,
		},
	}
	if s.CountAccounts {
		server.ConnContext = caller.ConnContext
	}
	return server
}

// errorLog logs failed connections, each line as a value because it may quote bytes from outside.
type errorLog struct {
	log *zap.Logger
}

// Write implements io.Writer.
func (e errorLog) Write(line []byte) (int, error) {
	if e.log != nil {
		e.log.Debug("server: connection failed", zap.ByteString("detail", bytes.TrimSpace(line)))
	}
	return len(line), nil
}

func (s *Server) serve(server *http.Server) error {
	limit := s.MaxConnections
	if limit == 0 {
		limit = defaultConnections
	}
	listener := netutil.LimitListener(s.Listener, limit)
	if s.CountAccounts {
		listener = caller.Listener{Listener: listener}
	}
	if s.TLS != nil {
		return server.ServeTLS(listener, "", "")
	}
	return server.Serve(listener)
}
