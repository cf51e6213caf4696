package telemetry

import (
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// LogConfig configures the daemon's log.
type LogConfig struct {
	// Level is debug, info, warn or error.
	Level string
	// VM, Zone and Member identify the daemon in every line.
	VM, Zone, Member string
	// Now returns the time of a line; nil means time.Now.
	Now func() time.Time
}

// NewLogger returns a logger that writes one JSON object per line with times in UTC.
func NewLogger(w io.Writer, c LogConfig) (zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(c.Level)
	if err != nil || level < zerolog.DebugLevel || level > zerolog.ErrorLevel {
		return zerolog.Nop(), errors.Errorf("log level is %q, allowed are debug, info, warn, error", c.Level)
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	// A hook sets the time because zerolog's own time format is global to the process.
	timeHook := zerolog.HookFunc(func(e *zerolog.Event, _ zerolog.Level, _ string) {
		e.Str("time", c.Now().UTC().Format("2006-01-02T15:04:05.000Z"))
	})
	ctx := zerolog.New(zerolog.SyncWriter(w)).Level(level).Hook(timeHook).With()
	for _, f := range []struct{ key, value string }{{"vm", c.VM}, {"zone", c.Zone}, {"member", c.Member}} {
		if f.value != "" {
			ctx = ctx.Str(f.key, f.value)
		}
	}
	return ctx.Logger(), nil
}

// maxTrackedPairs limits the (step, peer) pairs of a StateLog.
const maxTrackedPairs = 4096

// StateLog logs a line only when the state of a step with a peer changes. It is safe for concurrent use.
type StateLog struct {
	log zerolog.Logger

	mu     sync.Mutex // guards states
	states map[stateKey]string
}

type stateKey struct{ step, peer string }

// NewStateLog returns a StateLog without states.
func NewStateLog(log zerolog.Logger) *StateLog {
	return &StateLog{log: log, states: map[stateKey]string{}}
}

// Set records the state of a step with a peer under a configuration version and reports whether it changed. A
// change with an error is logged as a warning; the error itself is not compared.
func (s *StateLog) Set(step, peer, state string, version int64, err error) bool {
	previous, changed := s.replaceState(stateKey{step, peer}, state)
	if !changed {
		return false
	}
	event := s.log.Info()
	if err != nil {
		event = s.log.Warn().Err(err)
	}
	event.Str("step", step).Str("peer", peer).Int64("version", version).Str("from", previous).Msg(state)
	return true
}

// RemovePeer removes the states of a peer, for all steps.
func (s *StateLog) RemovePeer(peer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.states {
		if k.peer == peer {
			delete(s.states, k)
		}
	}
}

func (s *StateLog) replaceState(k stateKey, state string) (previous string, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous, known := s.states[k]
	if known && previous == state {
		return previous, false
	}
	if !known && len(s.states) >= maxTrackedPairs {
		clear(s.states) // the next change of each pair is logged once more
	}
	s.states[k] = state
	return previous, true
}
