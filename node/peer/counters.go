package peer

import (
	"expvar"
	"io"
)

// Counters counts the operations of a Transport or a Server since its start. expvar can publish the values.
type Counters struct {
	// Calls counts calls that were started; for a Server, incoming calls.
	Calls expvar.Int
	// Active is the number of streams in use.
	Active expvar.Int
	// NotSent counts calls that failed before a handler received them; for a Server, calls that it refused.
	NotSent expvar.Int
	// Failed counts calls that failed and may have run; for a Server, errors of handlers and encoding errors.
	Failed expvar.Int
	// BodiesCut counts bodies that ended in an error; for a Server, responses that could not be sent completely.
	BodiesCut expvar.Int
	// Dials and DialFailures count connection attempts of a Transport; Accepted counts connections of a Server.
	Dials        expvar.Int
	DialFailures expvar.Int
	Accepted     expvar.Int
	// BytesSent and BytesReceived count the bytes of frames and bodies, without the overhead of QUIC.
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
