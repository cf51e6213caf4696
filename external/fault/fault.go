// Package fault injects faults into the fakes of the platform's interfaces.
package fault

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Error is a fault that a caller cannot distinguish from a broken connection.
type Error string

// Faults of a service. To the caller of either, the outcome of the operation is unknown.
const (
	// ErrDown means that the service did not respond; the operation had no effect.
	ErrDown Error = "service is down"
	// ErrResponseLost means that the operation took effect and its response was lost.
	ErrResponseLost Error = "answer was lost"
)

// Error implements error.
func (e Error) Error() string { return string(e) }

// AbortConnection makes HTTP handlers close the connection without a response.
func (e Error) AbortConnection() bool { return true }

// Setting describes the faults of a service. The zero value is a healthy service.
type Setting struct {
	// Down makes every operation fail without effect.
	Down bool `json:"down,omitempty"`
	// Reject makes every operation fail with the error that the interface defines for rejections.
	Reject bool `json:"reject,omitempty"`
	// DelayMs is the time in milliseconds before an operation takes effect.
	DelayMs int64 `json:"delayMs,omitempty"`
	// ResponseDelayMs is the time in milliseconds between the effect and the response.
	ResponseDelayMs int64 `json:"answerDelayMs,omitempty"`
	// LoseResponses is the number of further responses to lose after the effect; a negative value loses all.
	LoseResponses int `json:"loseAnswers,omitempty"`
	// Operations names the operations that the faults apply to; empty means all.
	Operations []string `json:"operations,omitempty"`
}

func (s Setting) appliesTo(op string) bool {
	return len(s.Operations) == 0 || slices.Contains(s.Operations, op)
}

// Switch holds a Setting that may change at any time. The zero value is ready for use. It is safe for concurrent use.
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

// Get returns the current setting, with the remaining number in LoseResponses.
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

// Before applies the faults that precede the effect of operation op. If it returns an error, the operation
// must have no effect; rejectErr is returned for Setting.Reject.
func (s *Switch) Before(ctx context.Context, op string, rejectErr error) error {
	setting := s.Get()
	if !setting.appliesTo(op) {
		return ctx.Err()
	}
	if err := sleep(ctx, time.Duration(setting.DelayMs)*time.Millisecond); err != nil {
		return err
	}
	if setting.DelayMs > 0 {
		setting = s.Get()
	}
	switch {
	case setting.Down && setting.appliesTo(op):
		return ErrDown
	case setting.Reject && setting.appliesTo(op):
		return rejectErr
	}
	return nil
}

// After applies the faults that follow the effect of operation op. An error replaces the response.
func (s *Switch) After(ctx context.Context, op string) error {
	setting := s.Get()
	if !setting.appliesTo(op) {
		return nil
	}
	if err := sleep(ctx, time.Duration(setting.ResponseDelayMs)*time.Millisecond); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.setting.appliesTo(op) || s.setting.LoseResponses == 0 {
		return nil
	}
	if s.setting.LoseResponses > 0 {
		s.setting.LoseResponses--
	}
	return ErrResponseLost
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
