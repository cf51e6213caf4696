package boundary_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"waxwingslip.example/node/boundary"
	"waxwingslip.example/node/telemetry"
)

// Guards against a panic that ends the process instead of being returned with its stack.
func TestRun(t *testing.T) {
	is := is.New(t)
	is.NoErr(boundary.Run(func() {}))
	err := boundary.Run(func() { panic("odd record") })
	var p *boundary.PanicError
	is.True(errors.As(err, &p))
	is.Equal(p.Value, "odd record")
	is.True(len(p.Stack) > 0)
}

// Guards against callers without a response after a panic, and against a second status after a response has begun.
func TestHandler(t *testing.T) {
	is := is.New(t)
	panics := telemetry.New(time.Now).Counter("callers_panics")
	h := boundary.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/begun":
			w.WriteHeader(http.StatusOK)
			panic("late")
		case "/early":
			panic("early")
		}
		w.WriteHeader(http.StatusTeapot)
	}), zerolog.Nop(), panics)
	for path, want := range map[string]int{"/early": http.StatusInternalServerError, "/fine": http.StatusTeapot} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		is.Equal(w.Code, want)
	}
	err := boundary.Run(func() {
		h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/begun", nil))
	})
	var p *boundary.PanicError
	is.True(errors.As(err, &p))
	is.Equal(p.Value, http.ErrAbortHandler) // net/http closes the connection
	is.Equal(panics.Value(), int64(2))
}
