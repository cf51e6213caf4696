// Package fault is the fault switch that the fakes of the platform's interfaces share.
package fault

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Error is a fault that a caller cannot tell from a broken connection.
type Error string

// Faults of a service. Both leave open whether the operation took effect.
const (
	// ErrDown means that the service did not answer; the operation had no effect.
	ErrDown Error = "service is down"
	// ErrAnswerLost means that the operation took effect and its answer was lost.
	ErrAnswerLost Error = "answer was lost"
)

// Error implements error.
func (e Error) Error() string { return string(e) }

// AbortConnection makes HTTP handlers cut the connection instead of answering.
func (e Error) AbortConnection() bool { return true }

// Setting describes how a service misbehaves. The zero value is a healthy service.
type Setting struct {
	// Down makes every operation fail without effect.
	Down bool `json:"down,omitempty"`
	// Reject makes every operation fail with the interface's definite rejection.
	Reject bool `json:"reject,omitempty"`
	// DelayMs passes before an operation takes effect.
	DelayMs int64 `json:"delayMs,omitempty"`
	// AnswerDelayMs passes between the effect and the answer.
	AnswerDelayMs int64 `json:"answerDelayMs,omitempty"`
	// LoseAnswers is the number of next answers to lose after the effect; a negative value loses all.
	LoseAnswers int `json:"loseAnswers,omitempty"`
	// Operations limits the faults to these operations; empty means all.
	Operations []string `json:"operations,omitempty"`
}

func (s Setting) covers(op string) bool {
	return len(s.Operations) == 0 || slices.Contains(s.Operations, op)
}

// Switch holds a Setting that may change at any time. The zero value is ready for use.
type Switch struct {
	mu      sync.Mutex
	setting Setting
	changed chan struct{}
}

// Set replaces the setting.
func (s *Switch) Set(setting Setting) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setting = setting
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Get returns the current setting; LoseAnswers is the number that remains.
func (s *Switch) Get() Setting {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.setting
}

// Changed returns a channel that is closed at the next Set.
func (s *Switch) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// Before applies the faults that come before the effect of operation op. An error means that the operation
// must have no effect; rejection is returned for Setting.Reject.
func (s *Switch) Before(ctx context.Context, op string, rejection error) error {
	set := s.Get()
	if !set.covers(op) {
		return ctx.Err()
	}
	if err := sleep(ctx, time.Duration(set.DelayMs)*time.Millisecond); err != nil {
		return err
	}
	if set.DelayMs > 0 {
		set = s.Get()
	}
	switch {
	case set.Down && set.covers(op):
		return ErrDown
	case set.Reject && set.covers(op):
		return rejection
	}
	return nil
}

// After applies the faults that come after the effect of operation op. An error replaces the answer.
func (s *Switch) After(ctx context.Context, op string) error {
	set := s.Get()
	if !set.covers(op) {
		return nil
	}
	if err := sleep(ctx, time.Duration(set.AnswerDelayMs)*time.Millisecond); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.setting.covers(op) || s.setting.LoseAnswers == 0 {
		return nil
	}
	if s.setting.LoseAnswers > 0 {
		s.setting.LoseAnswers--
	}
	return ErrAnswerLost
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
