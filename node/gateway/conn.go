package gateway

import (
	"net"
	"sync/atomic"
)

// countedConn counts writes, which shows whether a byte of an attempt's request may have left this process.
type countedConn struct {
	net.Conn
	// startedWrites counts Write calls, emptyWrites those that ended without a byte written.
	startedWrites, emptyWrites atomic.Int64
	stopped                    atomic.Bool
}

// Write implements net.Conn. It counts before the check, so that stopWrites sees every write that can still start.
func (c *countedConn) Write(p []byte) (int, error) {
	c.startedWrites.Add(1)
	if c.stopped.Load() {
		c.emptyWrites.Add(1)
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(p)
	if n == 0 {
		c.emptyWrites.Add(1)
	}
	return n, err
}

// writes returns the number of writes that may have sent a byte.
func (c *countedConn) writes() int64 {
	empty := c.emptyWrites.Load() // read first: a write that ends in between counts as sent
	return c.startedWrites.Load() - empty
}

// stopWrites prevents further writes, closes the connection and returns writes().
func (c *countedConn) stopWrites() int64 {
	c.stopped.Store(true)
	_ = c.Conn.Close()
	return c.writes()
}
