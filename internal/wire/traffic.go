package wire

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes of connections, handshakes included. TCP and IP headers
// are not counted.
type Traffic struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

// Sent returns the number of bytes written.
func (t *Traffic) Sent() uint64 { return t.sent.Load() }

// Received returns the number of bytes read.
func (t *Traffic) Received() uint64 { return t.received.Load() }

// count wraps conn to count its bytes; a nil Traffic returns conn unchanged.
func (t *Traffic) count(conn net.Conn) net.Conn {
	if t == nil {
		return conn
	}
	return &countedConn{Conn: conn, traffic: t}
}

type countedConn struct {
	net.Conn
	traffic *Traffic
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(uint64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(uint64(n))
	return n, err
}
