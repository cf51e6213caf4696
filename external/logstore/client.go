package logstore

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"waxwingslip.example/external/internal/httpapi"
	"waxwingslip.example/external/traffic"
)

// Timeouts of the HTTP client; a Read adds the time that it may wait.
const (
	appendTimeout = 10 * time.Second
	readTimeout   = 10 * time.Second
)

// HTTPClient is a Store that calls a server of NewHandler. It is safe for concurrent use.
type HTTPClient struct {
	base string
	http *http.Client
}

var _ Store = (*HTTPClient)(nil)

// NewHTTPClient returns a client for a base URL such as http://127.0.0.1:7000.
func NewHTTPClient(baseURL string) *HTTPClient { return NewMeteredHTTPClient(baseURL, nil) }

// NewMeteredHTTPClient returns a client whose traffic m counts; m may be nil.
func NewMeteredHTTPClient(baseURL string, m *traffic.Meter) *HTTPClient {
	return &HTTPClient{
		base: strings.TrimSuffix(baseURL, "/"),
		// A daemon keeps one long poll open on each of two streams and appends to both.
		http: httpapi.NewClient(httpapi.ClientOptions{ConnectionsPerHost: 8, IdleConnections: 8, Meter: m}),
	}
}

// Close closes idle connections.
func (c *HTTPClient) Close() { c.http.CloseIdleConnections() }

func (c *HTTPClient) entriesURL(stream string) string {
	return c.base + "/v1/streams/" + url.PathEscape(stream) + "/entries"
}

// Append implements Store.
func (c *HTTPClient) Append(ctx context.Context, stream string, payloads [][]byte) (int64, error) {
	if err := CheckBatch(stream, payloads); err != nil {
		return 0, err
	}
	body, err := cbor.Marshal(wireBatch{Payloads: payloads})
	if err != nil {
		return 0, errors.Wrap(ErrRejected, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	response, err := httpapi.Do(ctx, c.http, httpapi.Request{
		Method: http.MethodPost, URL: c.entriesURL(stream), ContentType: contentType, Body: body,
		MaxResponseBytes: maxAppendResponseBytes, Errors: errorTable,
	})
	if err != nil {
		return 0, errors.Wrapf(err, "append to stream %s at %s", stream, c.base)
	}
	var out wireAppendResult
	if err := cbor.Unmarshal(response, &out); err != nil || out.First < 1 {
		return 0, errors.Errorf("append to stream %s at %s: invalid response", stream, c.base)
	}
	return out.First, nil
}

// Read implements Store.
func (c *HTTPClient) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Page, error) {
	if stream == "" || len(stream) > MaxNameBytes || limit <= 0 {
		return Page{}, errors.Wrapf(ErrRejected, "read stream %q, max %d", stream, limit)
	}
	wait = min(max(wait, 0), maxWait)
	query := url.Values{
		"from":   {strconv.FormatInt(from, 10)},
		"max":    {strconv.Itoa(limit)},
		"waitMs": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	response, err := httpapi.Do(ctx, c.http, httpapi.Request{
		Method: http.MethodGet, URL: c.entriesURL(stream) + "?" + query.Encode(),
		MaxResponseBytes: maxPageResponseBytes, Errors: errorTable,
	})
	if err != nil {
		err = errors.Wrapf(err, "read stream %s at %s", stream, c.base)
		if !errors.Is(err, ErrExpired) {
			return Page{}, err
		}
	}
	var w wirePage
	if decodeErr := cbor.Unmarshal(response, &w); decodeErr != nil {
		return Page{}, errors.Wrapf(decodeErr, "read stream %s at %s", stream, c.base)
	}
	page, pageErr := w.validPage(from)
	if pageErr != nil {
		return Page{}, errors.Wrapf(pageErr, "read stream %s at %s", stream, c.base)
	}
	return page, err
}
