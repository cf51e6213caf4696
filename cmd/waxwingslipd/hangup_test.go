package main

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// lines keeps a log. It is safe for concurrent use.
type lines struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *lines) contain(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.buf.String(), text)
}

// Guards against a daemon that ends when it is told that its settings file has changed, and cuts its callers off
// (sacudi-lima mix 559619176663, LOST), and against a file that is found bad at the next start only.
func TestHangupChecksSettings(t *testing.T) {
	is := is.New(t)
	log := &lines{}
	var mu sync.Mutex
	var fault error
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	checkOnHangup(ctx, zerolog.New(log), func() error {
		mu.Lock()
		defer mu.Unlock()
		return fault
	})
	hangUp := func(want string) {
		is.NoErr(syscall.Kill(syscall.Getpid(), syscall.SIGHUP))
		for deadline := time.Now().Add(10 * time.Second); !log.contain(want); time.Sleep(5 * time.Millisecond) {
			is.True(time.Now().Before(deadline)) // the signal is handled
		}
	}
	hangUp("are valid")
	mu.Lock()
	fault = errors.New("bounds.graceSeconds: is 0, the least is 1")
	mu.Unlock()
	hangUp("bounds.graceSeconds")
}
