// Package peer carries calls between daemons over QUIC with mutual TLS 1.3.
//
// Each call uses one bidirectional stream, so that a late answer cannot reach another caller. The caller sends
// one request frame and, for a forwarded request, the raw body; the end of the stream ends the body. The
// answer has the same form. A frame is a length of four bytes, big endian, and so many bytes of CBOR, at most
// MaxFrameBytes. A body that is cut shows as an error and never as its end, because QUIC keeps the regular
// end of a stream apart from its reset and from the loss of the connection.
//
// A server that shuts down opens one unidirectional stream to each caller. The caller then starts no more
// calls on that connection, lets the running ones finish, and closes the connection.
//
// Every call that fails without having run on the peer is told apart by ErrNotSent.
package peer
