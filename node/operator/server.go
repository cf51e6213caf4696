package operator

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
)

// Limits of the listener. The write timeout is above CommandTimeout, so that a command that times out still gets an
// answer with what is known about it.
const (
	maxHeaderBytes = 32 << 10
	headerTimeout  = 5 * time.Second
	readTimeout    = 15 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = 60 * time.Second
	// CommandTimeout limits the processing of one command; afterwards its result is unknown.
	CommandTimeout = 20 * time.Second
	queryTimeout   = 10 * time.Second
)

// Server is the operators' HTTP server.
type Server struct {
	http *http.Server
}

// NewHandler returns the handler for all paths of the operators' interface.
func NewHandler(commands Commands, queries Queries, tokens *Tokens) http.Handler {
	r := mux.NewRouter()
	addCommands(r, commands)
	addQueries(r, queries)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		writeProblem(w, http.StatusNotFound, "route", errors.Errorf("no such path %q", req.URL.Path))
	})
	r.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		writeProblem(w, http.StatusMethodNotAllowed, "route",
			errors.Errorf("method %s is not allowed on %q", req.Method, req.URL.Path))
	})
	return authenticate(tokens, r)
}

// NewServer returns a server for handler. A nil tlsConfig means plain HTTP. Connection errors go to
// errorLog.
func NewServer(handler http.Handler, tlsConfig *tls.Config, errorLog *log.Logger) *Server {
	return &Server{http: &http.Server{
		Handler:           handler,
		TLSConfig:         tlsConfig,
		ErrorLog:          errorLog,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
	}}
}

// Serve accepts connections on l until Shutdown. It returns nil after Shutdown.
func (s *Server) Serve(l net.Listener) error {
	var err error
	if s.http.TLSConfig != nil {
		err = s.http.ServeTLS(l, "", "")
	} else {
		err = s.http.Serve(l)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrapf(err, "serve operators at %s", l.Addr())
}

// Shutdown stops accepting and waits for requests in flight until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return errors.Wrap(s.http.Shutdown(ctx), "shut down operators' listener")
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	// A failed write means that the client has disconnected, so the error cannot be reported to it.
	_ = json.NewEncoder(w).Encode(body)
}

func writeProblem(w http.ResponseWriter, status int, step string, err error) {
	writeJSON(w, status, problemOf(step, err))
}
