package gateway

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Endpoint is a running task of a service in the daemon's own zone.
type Endpoint struct {
	// Address is the IP address and TCP port of the endpoint.
	Address string
	// Worker is the id of the VM that runs the endpoint.
	Worker string
	// Run identifies the run of the task; a restarted task has a new run and starts with fresh statistics.
	Run string
	// Leaving is true if the endpoint is leaving according to the VM list or the configuration.
	Leaving bool
}

// EndpointSource lists the endpoints of the daemon's own zone. Its methods are safe for concurrent use.
type EndpointSource interface {
	// Endpoints returns the endpoints of a service. The caller does not change the slice.
	Endpoints(service string) []Endpoint
	// Changed returns a channel that is closed at the next change of any service's endpoints.
	Changed() <-chan struct{}
}

// Service is the part of a service's configuration that decides how its requests are routed.
type Service struct {
	Name string
	// Timeout applies to requests without a timeout of their own.
	Timeout time.Duration
	// IdempotentPaths lists path prefixes whose POST and PATCH requests may be repeated.
	IdempotentPaths []string
	// Zones lists the zones with replicas of the service.
	Zones []string
}

// Zone is one availability zone of the document.
type Zone struct {
	Name   string
	Region string
	// OutOfService is true for a zone that must not receive requests from other zones.
	OutOfService bool
}

// Catalog provides the configuration in force. Its methods are safe for concurrent use.
type Catalog interface {
	// Service returns the configuration of a service, or false if the document does not name it.
	Service(name string) (Service, bool)
	// Zones returns all zones in document order. The caller does not change the slice.
	Zones() []Zone
	// CallerRate returns the requests per second allowed to one caller at this daemon; 0 is unlimited.
	CallerRate() float64
	// LinkRate returns the bytes per second that forwarded requests may use between regions; 0 forbids it.
	LinkRate() float64
}

// Purpose is the reason why a request is forwarded. It limits further forwarding.
type Purpose uint8

// Purposes of a forwarded request.
const (
	// PurposeRoute requests routing to an endpoint in the peer's own zone, without further forwarding.
	PurposeRoute Purpose = 1
	// PurposeClaim requests that a peer in the home zone of the request's key claims the key and routes the
	// request. The peer may forward it once more with PurposeRoute.
	PurposeClaim Purpose = 2
)

// ForwardRequest is a request that is forwarded to a peer daemon.
type ForwardRequest struct {
	Purpose Purpose
	Service string
	Method  string
	// Path is the escaped path that the endpoint receives, with the query.
	Path string
	// Header has no hop-by-hop fields and is at most MaxHeaderBytes.
	Header http.Header
	// Body is the request body; nil if there is none. It is read once, and not closed by the receiver.
	Body io.Reader
	// ContentLength is the length of Body in bytes, or -1 if it is not known.
	ContentLength int64
	// Timeout is the time left until the deadline; 0 is unlimited.
	Timeout time.Duration
	// TimeoutCoversBody is true if Timeout covers the answer's body, not only its header.
	TimeoutCoversBody bool
}

// ForwardResponse is the response of a peer daemon.
type ForwardResponse struct {
	Status int
	// Header includes Waxwingslip-Outcome.
	Header http.Header
	// Body ends with io.EOF only if the peer delivered the whole answer. The receiver closes it.
	Body io.ReadCloser
	// Trailer is complete when Body has returned io.EOF; it may be nil.
	Trailer func() http.Header
}

// Forwarder sends requests to peer daemons of other zones. An error is a *NotSentError only if the peer
// received no byte of the request; after any other error the peer may have acted on it.
type Forwarder interface {
	Forward(ctx context.Context, zone string, req *ForwardRequest) (*ForwardResponse, error)
}

// TimeBreakdown is the breakdown of a request's duration.
type TimeBreakdown struct {
	// Wait is the time spent in this daemon: admission, claim, queue and abandoned attempts.
	Wait time.Duration
	// Network is connection set-up plus transfer to and from the endpoint.
	Network time.Duration
	// Endpoint is the time that the endpoint needed until the first byte of its answer.
	Endpoint time.Duration
}

// Observation describes one finished request.
type Observation struct {
	Service string
	// Endpoint served the request; empty if none did or another zone did.
	Endpoint Endpoint
	// Zone is the zone that served the request; empty if none did.
	Zone          string
	Status        int
	Outcome       Outcome
	TimeBreakdown TimeBreakdown
	// EndpointTimeReported is true if the endpoint reported its processing time; otherwise TimeBreakdown is an
	// estimate.
	EndpointTimeReported bool
	// Attempts counts the endpoints and zones that the request was sent to, hedges included.
	Attempts int
	Hedged   bool
}

// Observer receives every finished request. Its method returns quickly and is safe for concurrent use.
type Observer interface {
	Observe(Observation)
}
