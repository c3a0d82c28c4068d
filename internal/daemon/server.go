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
	// TLS is nil for a server without TLS, which serves HTTP/2 only when PlainHTTP2 is set.
	TLS        *tls.Config
	PlainHTTP2 bool
	// MaxConnections bounds the open connections; 0 means defaultConnections. Further clients wait until
	// a connection is closed.
	MaxConnections int
	// CountAccounts enables counting connections per account.
	CountAccounts bool
	// Log may be nil.
	Log *zap.Logger
	// Closing may be nil. When it ends, which is before Run's context does, the server accepts no more
	// connections, finishes the requests in flight and then pushes an item to Closed.
	Closing context.Context
	Closed  *ring.Ring[ServerClosed]
}

// ServerClosed reports that a server has written all of its responses, or that closeTimeout has passed.
type ServerClosed struct{}

// closeTimeout bounds the wait for clients that do not read their responses.
const closeTimeout = 5 * time.Second

// maxHeaderBytes bounds the headers of a request.
const maxHeaderBytes = 32 << 10

// idleTimeout is how long an unused connection stays open.
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

// Default limit of open connections, and limit of concurrent streams of one HTTP/2 connection.
const (
	defaultConnections      = 256
	maxStreamsPerConnection = 256
)

// Limits of HTTP/2. The connection of a client that does not answer pings or does not read is closed.
const (
	pingInterval = 30 * time.Second
	pingTimeout  = 15 * time.Second
	writeTimeout = 30 * time.Second
	// receiveBufferBytes bounds the unread data of one connection and of each of its streams.
	receiveBufferBytes = 1 << 20
)

// Run implements duty.Duty. It closes the listener and all connections when the context ends. The
// supervisor ends the context only when no request is in flight and, for callers, after Closed.
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
			MaxConcurrentStreams: maxStreamsPerConnection, MaxReceiveBufferPerConnection: receiveBufferBytes, MaxReceiveBufferPerStream: receiveBufferBytes,
			SendPingTimeout: pingInterval, PingTimeout: pingTimeout, WriteByteTimeout: writeTimeout,
		},
	}
	if s.CountAccounts {
		server.ConnContext = caller.ConnContext
	}
	return server
}

// errorLog logs connection errors. Each line becomes a field, which is escaped, because it may contain
// untrusted bytes.
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
