package traffic

import (
	"context"
	"expvar"
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
)

// Guards against bytes that are counted in the wrong direction, twice or not at all.
func TestMeterCountsBothDirections(t *testing.T) {
	is := is.New(t)
	local, remote := net.Pipe()
	defer remote.Close()
	var sent, received expvar.Int
	m := &Meter{Sent: &sent, Received: &received}
	c, err := m.Dial(func(context.Context, string, string) (net.Conn, error) { return local, nil })(t.Context(), "tcp", "")
	is.NoErr(err)
	defer c.Close()
	go func() {
		_, _ = io.ReadFull(remote, make([]byte, 5))
		_, _ = remote.Write([]byte("abc"))
	}()
	_, err = c.Write([]byte("12345"))
	is.NoErr(err)
	_, err = io.ReadFull(c, make([]byte, 3))
	is.NoErr(err)
	is.Equal(sent.Value(), int64(5))
	is.Equal(received.Value(), int64(3))
}
