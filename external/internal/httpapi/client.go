// Package httpapi holds what the HTTP clients and handlers of the platform's interfaces share: bounded
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

// ClientOptions bounds the connections of a client.
type ClientOptions struct {
	// ConnectionsPerHost limits the connections to one host; further calls wait for a free one.
	ConnectionsPerHost int
	// IdleConnections limits the idle connections to all hosts.
	IdleConnections int
	// Meter counts the bytes of all connections, unless it is nil.
	Meter *traffic.Meter
}

const (
	dialTimeout     = 3 * time.Second
	keepAlive       = 15 * time.Second
	idleConnTimeout = 30 * time.Second
	maxHeaderBytes  = 32 << 10
	maxErrorBytes   = 64 << 10
	drainBytes      = 64 << 10
)

// NewClient returns an HTTP client with its own connection pool. Deadlines come from the calls' contexts.
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
		// A redirect could repeat a command elsewhere.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Request is one call.
type Request struct {
	Method      string
	URL         string
	ContentType string
	Body        []byte
	// MaxAnswerBytes limits the body of the answer.
	MaxAnswerBytes int64
	// Compressed asks the server to compress its answer; MaxAnswerBytes limits what comes out.
	Compressed bool
	// Errors maps the codes of refusals to typed errors.
	Errors ErrorTable
}

// Do executes a call and returns the body of a 200 answer. An error that wraps none of the table's errors
// leaves the outcome open. The body is returned with an error of the table too.
func Do(ctx context.Context, client *http.Client, r Request) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, r.URL, bytes.NewReader(r.Body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.Header.Set("User-Agent", "") // would add 32 bytes to every call
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
		// Draining a short rest lets the connection be used again.
		_, _ = io.CopyN(io.Discard, resp.Body, drainBytes)
		_ = resp.Body.Close()
	}()
	if resp.StatusCode != http.StatusOK {
		return readError(resp, r.Errors)
	}
	if resp.Header.Get("Content-Encoding") == "gzip" {
		return readCompressed(resp.Body, r.MaxAnswerBytes)
	}
	return readLimited(resp.Body, r.MaxAnswerBytes)
}

// gzipReaders saves the allocation of 40 KB for each answer.
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
