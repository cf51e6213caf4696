// Package listen runs the HTTP servers of the stand-ins.
package listen

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = time.Minute
	maxHeaderBytes    = 32 << 10
)

// Server is a running HTTP server.
type Server struct {
	// Address is the bound IP:port.
	Address string

	http *http.Server
	done chan struct{}
}

// Serve starts a server on an IP:port address; port 0 picks a free port.
func Serve(address string, h http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	s := &Server{
		Address: l.Addr().String(),
		http: &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
			MaxHeaderBytes: maxHeaderBytes},
		done: make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(l) // returns http.ErrServerClosed after Close
	}()
	return s, nil
}

// Close closes all connections and waits until the listener is closed.
func (s *Server) Close() {
	_ = s.http.Close()
	<-s.done
}

// Shutdown waits for requests in flight until the context ends, then closes their connections.
func (s *Server) Shutdown(ctx context.Context) {
	_ = s.http.Shutdown(ctx)
	s.Close()
}
