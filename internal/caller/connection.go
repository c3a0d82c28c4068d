package caller

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"slices"
	"sync/atomic"

	"connectrpc.com/connect"

	"github.com/mimosawharf/mimosawharf/internal/request"
)

// Listener accepts connections that are counted for the accounts that use them. It is used with ConnContext.
type Listener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &connection{Conn: c}, nil
}

// connection is counted once for each account that has authenticated on it.
type connection struct {
	net.Conn
	// accounts holds the counters that include this connection. The slice is replaced, never modified.
	accounts atomic.Pointer[[]*atomic.Int64]
	closed   atomic.Bool
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.closed.Store(true)
	c.uncount()
	return c.Conn.Close()
}

// uncount removes the connection from all counters.
func (c *connection) uncount() {
	if list := c.accounts.Swap(nil); list != nil {
		for _, counter := range *list {
			counter.Add(-1)
		}
	}
}

// countFor counts the connection for an account. It returns false if the account has too many connections.
func (c *connection) countFor(counter *atomic.Int64, limit int64) bool {
	for {
		old := c.accounts.Load()
		var next []*atomic.Int64
		if old != nil {
			if slices.Contains(*old, counter) {
				return true
			}
			next = slices.Clone(*old)
		}
		if counter.Add(1) > limit {
			counter.Add(-1)
			return false
		}
		next = append(next, counter)
		if c.accounts.CompareAndSwap(old, &next) {
			break
		}
		counter.Add(-1)
	}
	if c.closed.Load() {
		// Close may have run before the counter was added.
		c.uncount()
	}
	return true
}

type connectionKey struct{}

// ConnContext makes a connection available in the context of its requests. It is for http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	return context.WithValue(ctx, connectionKey{}, c)
}

// Admit implements Admission: it authenticates the account and counts the connection for it.
func (h *Handler) Admit(r *http.Request) error {
	account, err := h.authenticate(r.Header)
	if err != nil {
		return err
	}
	c, ok := r.Context().Value(connectionKey{}).(*connection)
	if ok && !c.countFor(h.connections.of(account), int64(h.MaxWaiting)) {
		return refusal(connect.CodeResourceExhausted, request.ReasonQuota, &ConnectionLimitError{Limit: h.MaxWaiting})
	}
	return nil
}
