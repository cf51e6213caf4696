package gateway

import (
	"net"
	"sync/atomic"
)

// countedConn counts writes, so that an attempt can prove that no byte of its request left this process.
type countedConn struct {
	net.Conn
	// started counts Write calls, empty counts those that ended without a byte written.
	started, empty atomic.Int64
	frozen         atomic.Bool
}

// Write implements net.Conn. The count rises before the check, so that no write can start unseen by freeze.
func (c *countedConn) Write(p []byte) (int, error) {
	c.started.Add(1)
	if c.frozen.Load() {
		c.empty.Add(1)
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(p)
	if n == 0 {
		c.empty.Add(1)
	}
	return n, err
}

// writes returns the number of writes that may have sent a byte.
func (c *countedConn) writes() int64 {
	empty := c.empty.Load() // read first: a write that ends in between counts as sent
	return c.started.Load() - empty
}

// freeze forbids further writes, closes the connection and returns writes().
func (c *countedConn) freeze() int64 {
	c.frozen.Store(true)
	_ = c.Conn.Close()
	return c.writes()
}
