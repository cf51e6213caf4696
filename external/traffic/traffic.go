// Package traffic counts the bytes that the clients of the platform's interfaces send and receive.
package traffic

import (
	"context"
	"net"
)

// Counter adds up bytes; *expvar.Int is one. It must be safe for concurrent use.
type Counter interface{ Add(bytes int64) }

// Meter counts the bytes of TCP streams, HTTP headers included, without the headers of TCP and IP. A nil Meter counts
// nothing.
type Meter struct {
	Sent, Received Counter
}

// DialFunc opens a connection, as http.Transport's DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a DialFunc whose connections are counted.
func (m *Meter) Dial(dial DialFunc) DialFunc {
	if m == nil {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c, meter: m}, nil
	}
}

type conn struct {
	net.Conn
	meter *Meter
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.Received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.Sent.Add(int64(n))
	return n, err
}
