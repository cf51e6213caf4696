package peer

import (
	"expvar"
	"io"
)

// Counters counts what a Transport or a Server did since its start. The values may be published by expvar.
type Counters struct {
	// Calls counts calls that were begun, incoming ones for a Server.
	Calls expvar.Int
	// Active is the number of streams that run now.
	Active expvar.Int
	// NotSent counts calls that failed before a handler saw them; for a Server, calls that it refused.
	NotSent expvar.Int
	// Failed counts calls that failed and may have run; for a Server, errors of handlers.
	Failed expvar.Int
	// BodiesCut counts bodies that ended in an error.
	BodiesCut expvar.Int
	// Dials and DialFailures count connection attempts of a Transport; Accepted counts connections of a Server.
	Dials        expvar.Int
	DialFailures expvar.Int
	Accepted     expvar.Int
	// BytesSent and BytesReceived count frames and bodies without the overhead of QUIC.
	BytesSent     expvar.Int
	BytesReceived expvar.Int
	// Panics counts panics of handlers.
	Panics expvar.Int
}

// Each calls f with the name and value of every counter.
func (c *Counters) Each(f func(name string, v *expvar.Int)) {
	f("calls", &c.Calls)
	f("active", &c.Active)
	f("notSent", &c.NotSent)
	f("failed", &c.Failed)
	f("bodiesCut", &c.BodiesCut)
	f("dials", &c.Dials)
	f("dialFailures", &c.DialFailures)
	f("accepted", &c.Accepted)
	f("bytesSent", &c.BytesSent)
	f("bytesReceived", &c.BytesReceived)
	f("panics", &c.Panics)
}

type countingReader struct {
	r io.Reader
	n *expvar.Int
}

func (c countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n.Add(int64(n))
	return n, err
}

type countingWriter struct {
	w io.Writer
	n *expvar.Int
}

func (c countingWriter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	c.n.Add(int64(n))
	return n, err
}
