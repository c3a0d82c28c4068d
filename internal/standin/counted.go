package standin

import (
	"net"
	"sync/atomic"
)

// CountingListener counts the bytes of its connections in both directions.
type CountingListener struct {
	net.Listener
	Bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l CountingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.Bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	return c.Conn.Write(p)
}
