package httpdoor

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/door"
)

// listener accepts connections that have a place.
type listener struct {
	net.Listener
	door *Door
}

// Accept implements net.Listener. It closes connections that find no place, before anything is read from them.
func (l listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		placed := &connection{Conn: c, door: l.door}
		place, shed, err := l.door.Places.Take(l.door.Clock.Now(), func() { _ = c.Close() })
		if shed {
			l.door.count(door.ReasonPlaceShed)
		}
		if err != nil {
			l.door.count(door.ReasonNoPlace)
			_ = c.Close() // Nothing was read from it.
			continue
		}
		placed.place = place
		l.door.connections.Update(float64(l.door.Places.Taken()))
		return placed, nil
	}
}

// connection is a connection with a place.
type connection struct {
	net.Conn
	place *door.Place
	door  *Door
	lines headerLines
	// isUnread is set when a request was refused before its body had been read.
	isUnread atomic.Bool
}

const (
	// lingerTime and lingerBytes bound what is read and discarded behind a refusal.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
)

// Read implements net.Conn. It returns *door.Refusal within headers of too many lines.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.place.Moved(c.door.Clock.Now())
		if !c.lines.count(p[:n]) {
			c.door.count(door.ReasonTooManyFields)
			return 0, &door.Refusal{Reason: door.ReasonTooManyFields}
		}
	}
	return n, err
}

// Write implements net.Conn.
func (c *connection) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.place.Moved(c.door.Clock.Now())
	}
	return n, err
}

// Close implements net.Conn. Closing with unread data resets the connection, and the caller may lose the refusal with it.
// So the rest of an unread body is read first, until the caller has closed its side.
func (c *connection) Close() error {
	if c.isUnread.Swap(false) {
		if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
			_ = half.CloseWrite() // Fails only on a closed connection, on which the read fails too.
		}
		_ = c.SetReadDeadline(c.door.Clock.Now().Add(lingerTime))
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
	c.place.Leave()
	c.door.connections.Update(float64(c.door.Places.Taken()))
	return c.Conn.Close()
}

// enter records what a connection is doing.
func (c *connection) enter(s door.Stage) { c.place.Enter(c.door.Clock.Now(), s) }

type connectionKey struct{}

// withConnection makes a connection available in the context of its requests.
func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// BudgetOf returns the budget of the door that a request came through, for what follows on its connection.
func BudgetOf(r *http.Request) *door.Budget {
	return r.Context().Value(connectionKey{}).(*connection).door.Budget
}

// recordState records when a connection becomes idle and when a request begins. A connection that the handler has
// taken over keeps its place until it is closed.
func recordState(c net.Conn, s http.ConnState) {
	placed, ok := c.(*connection)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		placed.enter(door.StageReceiving)
	case http.StateIdle:
		placed.lines.reset()
		placed.enter(door.StageIdle)
	case http.StateHijacked:
		placed.enter(door.StageServing)
	}
}
