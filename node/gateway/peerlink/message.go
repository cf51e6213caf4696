// Package peerlink carries forwarded requests and claim messages between daemons over node/peer.
package peerlink

import (
	"net/http"
	"time"

	"waxwingslip.example/node/gateway"
)

// Methods at the peer server.
const (
	methodForward  = "gateway/forward"
	methodGrant    = "claim/grant"
	methodWithdraw = "claim/withdraw"
	methodFinish   = "claim/finish"
	methodLookup   = "claim/lookup"
	methodSeal     = "claim/seal"
	methodInstall  = "claim/install"
)

// requestHeader precedes the body of a forwarded request.
type requestHeader struct {
	Purpose       uint8       `cbor:"1,keyasint"`
	Service       string      `cbor:"2,keyasint"`
	Method        string      `cbor:"3,keyasint"`
	Path          string      `cbor:"4,keyasint"`
	Header        http.Header `cbor:"5,keyasint,omitempty"`
	ContentLength int64       `cbor:"6,keyasint,omitempty"`
	TimeoutUs     int64       `cbor:"7,keyasint,omitempty"`
	WholeAnswer   bool        `cbor:"8,keyasint,omitempty"`
	HasBody       bool        `cbor:"9,keyasint,omitempty"`
}

// answerHeader precedes the body of an answer.
type answerHeader struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint,omitempty"`
	// Framed is true if the body is in frames, with a trailer after them.
	Framed bool `cbor:"3,keyasint,omitempty"`
}

func toWire(r *gateway.ForwardRequest) requestHeader {
	return requestHeader{Purpose: uint8(r.Purpose), Service: r.Service, Method: r.Method, Path: r.Path,
		Header: r.Header, ContentLength: r.ContentLength, TimeoutUs: r.Timeout.Microseconds(),
		WholeAnswer: r.WholeAnswer, HasBody: r.Body != nil}
}

func fromWire(h requestHeader) *gateway.ForwardRequest {
	// The limit keeps the product from overflowing.
	timeout := time.Duration(min(max(0, h.TimeoutUs), gateway.MaxTimeout.Microseconds())) * time.Microsecond
	return &gateway.ForwardRequest{Purpose: gateway.Purpose(h.Purpose), Service: h.Service, Method: h.Method,
		Path: h.Path, Header: h.Header, ContentLength: h.ContentLength, Timeout: timeout, WholeAnswer: h.WholeAnswer}
}

// empty is the answer of methods that return nothing.
type empty struct{}
