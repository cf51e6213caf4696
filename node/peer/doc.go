// Package peer implements calls between daemons over QUIC with mutual TLS 1.3.
//
// Each call uses one bidirectional stream, so that a late response cannot reach another caller. The caller sends
// one request frame and, for a forwarded request, the raw body; the end of the stream ends the body. The
// response has the same form. A frame is a 4-byte big-endian length followed by that many bytes of CBOR, at most
// MaxFrameBytes. Reading a truncated body always returns an error, because QUIC distinguishes the regular end of a
// stream from its reset and from the loss of the connection.
//
// A server that shuts down opens one unidirectional stream to each caller. The caller then starts no more
// calls on that connection, lets the running ones finish, and closes the connection.
//
// The error of a call that failed and is known not to have run on the peer matches ErrNotSent.
package peer
