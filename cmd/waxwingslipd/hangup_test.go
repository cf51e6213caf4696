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

// logBuffer collects log output in memory. It is safe for concurrent use.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *logBuffer) contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.buf.String(), text)
}

// Guards against a daemon that exits on the SIGHUP sent after a change of its settings file and drops its callers'
// requests, and against an invalid file that is reported only at the next start.
func TestHangupChecksSettings(t *testing.T) {
	is := is.New(t)
	log := &logBuffer{}
	var loadErrMu sync.Mutex
	var loadErr error
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	validateOnHangup(ctx, zerolog.New(log), func() error {
		loadErrMu.Lock()
		defer loadErrMu.Unlock()
		return loadErr
	})
	sendHangup := func(want string) {
		is.NoErr(syscall.Kill(syscall.Getpid(), syscall.SIGHUP))
		for deadline := time.Now().Add(10 * time.Second); !log.contains(want); time.Sleep(5 * time.Millisecond) {
			is.True(time.Now().Before(deadline)) // the signal is handled
		}
	}
	sendHangup("are valid")
	loadErrMu.Lock()
	loadErr = errors.New("bounds.graceSeconds: is 0, the least is 1")
	loadErrMu.Unlock()
	sendHangup("bounds.graceSeconds")
}
