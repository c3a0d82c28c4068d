package standin

import (
	"net"
	"sync/atomic"
)

// CountedListener counts the bytes of its connections in both directions.
type CountedListener struct {
	net.Listener
	Bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l CountedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countedConn{c, l.Bytes}, err
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	return c.Conn.Write(p)
}
