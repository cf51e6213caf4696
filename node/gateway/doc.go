// Package gateway forwards callers' HTTP requests to the endpoints of services.
//
// A request is routed to an endpoint in the daemon's own zone, or through a peer daemon to another zone. The
// response header Waxwingslip-Outcome gives the outcome of each request:
//
//   - answered: the answer comes from the endpoint, and is complete unless the connection breaks.
//   - not-run: no endpoint received a byte of this request and, if it has a key, none will under that key. The
//     caller sends it again under a new key.
//   - unknown: an endpoint may have received the request. The caller repeats it with the same key.
package gateway
