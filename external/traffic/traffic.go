// Package traffic counts the bytes that clients of the platform's interfaces send and receive.
package traffic

import (
	"context"
	"net"
)

// Counter sums bytes; *expvar.Int implements it. It must be safe for concurrent use.
type Counter interface{ Add(bytes int64) }

// Meter counts the bytes of TCP streams: HTTP headers are included, TCP and IP headers are not. A nil Meter counts
// nothing.
type Meter struct {
	Sent, Received Counter
}

// DialFunc opens a connection; it has the type of http.Transport's DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a DialFunc that opens connections with dial and counts their bytes.
func (m *Meter) Dial(dial DialFunc) DialFunc {
	if m == nil {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &meteredConn{Conn: c, meter: m}, nil
	}
}

type meteredConn struct {
	net.Conn
	meter *Meter
}

// Read implements net.Conn.
func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.Received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.Sent.Add(int64(n))
	return n, err
}
