// Package httpapi is shared by the HTTP clients and handlers of the platform's interfaces. It provides bounded
// connection pools, size limits, and errors that keep their type on the wire.
package httpapi

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"waxwingslip.example/external/traffic"
)

// ClientOptions configures the connections of a client.
type ClientOptions struct {
	// ConnectionsPerHost limits the connections to each host; further calls wait for a free one.
	ConnectionsPerHost int
	// IdleConnections limits the idle connections to all hosts.
	IdleConnections int
	// Meter counts the bytes of all connections; nil counts nothing.
	Meter *traffic.Meter
}

const (
	dialTimeout     = 3 * time.Second
	keepAlive       = 15 * time.Second
	idleConnTimeout = 30 * time.Second
	maxHeaderBytes  = 32 << 10
	maxErrorBytes   = 64 << 10
	maxDrainBytes   = 64 << 10
)

// NewClient returns an HTTP client with its own connection pool. Deadlines come from the contexts of the calls.
func NewClient(o ClientOptions) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            o.Meter.Dial(dialer.DialContext),
			MaxConnsPerHost:        o.ConnectionsPerHost,
			MaxIdleConnsPerHost:    o.ConnectionsPerHost,
			MaxIdleConns:           o.IdleConnections,
			IdleConnTimeout:        idleConnTimeout,
			MaxResponseHeaderBytes: maxHeaderBytes,
			DisableCompression:     true, // Do decompresses, with fewer allocations
		},
		// Following a redirect could repeat a command at another server.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Request is one call.
type Request struct {
	Method      string
	URL         string
	ContentType string
	Body        []byte
	// MaxResponseBytes limits the body of the response.
	MaxResponseBytes int64
	// Compressed requests a compressed response; MaxResponseBytes limits the decompressed body.
	Compressed bool
	// Errors maps error codes of responses to typed errors.
	Errors ErrorTable
}

// Do executes a call and returns the body of a 200 response. After an error that wraps none of r.Errors, the
// outcome of the call is unknown. With an error of r.Errors, Do returns the extra data that the server sent.
func Do(ctx context.Context, client *http.Client, r Request) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, r.URL, bytes.NewReader(r.Body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.Header.Set("User-Agent", "") // omits the default header, which adds 32 bytes to every call
	if r.ContentType != "" {
		req.Header.Set("Content-Type", r.ContentType)
	}
	if r.Compressed {
		req.Header.Set("Accept-Encoding", "gzip")
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "send request")
	}
	defer func() {
		// Draining a short remainder allows the connection to be reused.
		_, _ = io.CopyN(io.Discard, resp.Body, maxDrainBytes)
		_ = resp.Body.Close()
	}()
	if resp.StatusCode != http.StatusOK {
		return parseError(resp, r.Errors)
	}
	if resp.Header.Get("Content-Encoding") == "gzip" {
		return readCompressed(resp.Body, r.MaxResponseBytes)
	}
	return readLimited(resp.Body, r.MaxResponseBytes)
}

// gzipReaders avoids an allocation of 40 KB per response.
var gzipReaders = sync.Pool{New: func() any { return new(gzip.Reader) }}

func readCompressed(body io.Reader, limit int64) ([]byte, error) {
	z := gzipReaders.Get().(*gzip.Reader)
	defer gzipReaders.Put(z)
	if err := z.Reset(body); err != nil {
		return nil, errors.Wrap(err, "decompress body")
	}
	return readLimited(z, limit)
}

func readLimited(body io.Reader, limit int64) ([]byte, error) {
	buf := new(bytes.Buffer)
	n, err := buf.ReadFrom(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "read body")
	}
	if n > limit {
		return nil, errors.Errorf("body has more than %d bytes", limit)
	}
	return buf.Bytes(), nil
}
