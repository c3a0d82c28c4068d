package endpoint

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Timeouts of connections to endpoints.
const (
	dialTimeout = time.Second
	idleTimeout = 90 * time.Second
)

// NewClient returns an HTTP client that sends each request at most once and opens at most the given
// number of connections to one endpoint. It speaks HTTP/1.1, where one connection carries one request
// at a time. The TLS configuration is for addresses with https and may be nil.
func NewClient(connections fleet.Connections, config *tls.Config) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	secure := &tls.Dialer{NetDialer: dialer, Config: config}
	return &http.Client{
		Transport: &singleSend{next: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, trace.Wrap(err)
				}
				return newGuardedConn(conn), nil
			},
			// The bytes of the request are counted above TLS, because the handshake is not part of it.
			DialTLSContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				bounded, cancel := context.WithTimeout(ctx, dialTimeout)
				defer cancel()
				conn, err := secure.DialContext(bounded, network, address)
				if err != nil {
					return nil, trace.Wrap(err)
				}
				return newGuardedConn(conn), nil
			},
			MaxConnsPerHost:     int(connections),
			MaxIdleConnsPerHost: int(connections),
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		}},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// singleSend prevents net/http from resending a request when a connection breaks: the body cannot be
// rewound and no header declares the request idempotent.
type singleSend struct {
	next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (s *singleSend) RoundTrip(r *http.Request) (*http.Response, error) {
	once := r.Clone(r.Context())
	once.GetBody = nil
	once.Header.Del("Idempotency-Key")
	once.Header.Del("X-Idempotency-Key")
	if r.Body != nil {
		once.Body = struct{ io.ReadCloser }{r.Body}
	}
	// The error is returned unchanged, because net/http recognizes timeouts by its type.
	return s.next.RoundTrip(once)
}

// sealed is the count of a connection that accepts no more bytes.
const sealed = -1

// guardedConn counts the bytes passed to the network. It can be closed on the condition that no bytes were
// passed since an earlier count, which proves that a request was not sent. It sends no request after bytes that
// answer none, because net/http may take them for the answer to the next request.
type guardedConn struct {
	net.Conn
	written atomic.Int64

	mu      sync.Mutex
	changed *sync.Cond
	// isReading is true while the transport waits for bytes, having consumed all earlier ones.
	isReading bool
	// isIdle is true from settle until the first write after it.
	isIdle bool
	// isUnusable is set once the connection is closed or has received bytes while it was idle.
	isUnusable bool
}

func newGuardedConn(conn net.Conn) *guardedConn {
	g := &guardedConn{Conn: conn}
	g.changed = sync.NewCond(&g.mu)
	return g
}

// settle waits until the transport either waits for bytes or has closed the connection.
func (g *guardedConn) settle() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for !g.isReading && !g.isUnusable {
		g.changed.Wait()
	}
	g.isIdle = true
}

// Read implements net.Conn.
func (g *guardedConn) Read(p []byte) (int, error) {
	g.mu.Lock()
	g.isReading = true
	g.changed.Broadcast()
	g.mu.Unlock()
	n, err := g.Conn.Read(p)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isReading = false
	g.isUnusable = g.isUnusable || g.isIdle
	return n, err
}

// Close implements net.Conn.
func (g *guardedConn) Close() error {
	g.mu.Lock()
	g.isUnusable = true
	g.changed.Broadcast()
	g.mu.Unlock()
	return g.Conn.Close()
}

// beginWrite returns false if the connection is unusable.
func (g *guardedConn) beginWrite() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isIdle = false
	return !g.isUnusable
}

// Write implements net.Conn.
func (g *guardedConn) Write(p []byte) (int, error) {
	if !g.beginWrite() {
		return 0, net.ErrClosed
	}
	for {
		before := g.written.Load()
		if before == sealed {
			return 0, net.ErrClosed
		}
		if g.written.CompareAndSwap(before, before+int64(len(p))) {
			return g.Conn.Write(p)
		}
	}
}

// sealIfUnused closes the connection permanently and returns true if nothing was written since the given
// count.
func (g *guardedConn) sealIfUnused(count int64) bool {
	if !g.written.CompareAndSwap(count, sealed) {
		return false
	}
	_ = g.Close()
	return true
}

// seal closes the connection permanently.
func (g *guardedConn) seal() {
	g.written.Store(sealed)
	_ = g.Close()
}
