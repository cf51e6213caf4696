// Package fake implements an in-memory log store with injectable faults.
package fake

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"waxwingslip.example/external/fault"
	"waxwingslip.example/external/logstore"
)

// Names of the operations for fault.Setting.Operations.
const (
	OpAppend = "append"
	OpRead   = "read"
)

// Retention limits the entries that the store keeps. A zero field sets no limit.
type Retention struct {
	// Entries is the number of newest entries kept in each stream.
	Entries int `json:"entries,omitempty"`
	// AgeMs is the age in milliseconds above which entries expire.
	AgeMs int64 `json:"ageMs,omitempty"`
}

// Store is an in-memory logstore.Store. It is safe for concurrent use.
type Store struct {
	// Faults injects faults into the calls.
	Faults fault.Switch

	now       func() time.Time
	mu        sync.Mutex
	retention Retention
	streams   map[string]*stream
	appends   int64
}

type stream struct {
	first       int64
	entries     []logstore.Entry
	appendTimes []time.Time
	appended    chan struct{}
}

var _ logstore.Store = (*Store)(nil)

// New returns an empty store. A nil clock means time.Now.
func New(now func() time.Time) *Store {
	if now == nil {
		now = time.Now
	}
	return &Store{now: now, streams: map[string]*stream{}}
}

// SetRetention changes the retention of all streams.
func (s *Store) SetRetention(r Retention) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retention = r
}

// ExpireBefore removes the entries of a stream below the offset.
func (s *Store) ExpireBefore(name string, offset int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	st.dropOldest(min(offset, st.end()) - st.first)
}

// Appends returns how many Append calls took effect.
func (s *Store) Appends() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

// Streams returns the number of entries that each stream keeps.
func (s *Store) Streams() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	sizes := make(map[string]int, len(s.streams))
	for name, st := range s.streams {
		sizes[name] = len(st.entries)
	}
	return sizes
}

// Append implements logstore.Store.
func (s *Store) Append(ctx context.Context, name string, payloads [][]byte) (int64, error) {
	if err := s.Faults.Before(ctx, OpAppend, logstore.ErrRejected); err != nil {
		return 0, errors.Wrap(err, "append")
	}
	if err := logstore.CheckBatch(name, payloads); err != nil {
		return 0, err
	}
	first := s.appendEntries(name, payloads)
	if err := s.Faults.After(ctx, OpAppend); err != nil {
		return 0, errors.Wrap(err, "append")
	}
	return first, nil
}

func (s *Store) appendEntries(name string, payloads [][]byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	first, now := st.end(), s.now()
	for i, p := range payloads {
		st.entries = append(st.entries, logstore.Entry{Offset: first + int64(i), Payload: append([]byte(nil), p...)})
		st.appendTimes = append(st.appendTimes, now)
	}
	s.appends++
	s.expire(st)
	close(st.appended)
	st.appended = make(chan struct{})
	return first
}

// Read implements logstore.Store.
func (s *Store) Read(ctx context.Context, name string, from int64, limit int, wait time.Duration) (logstore.Page, error) {
	if name == "" || limit <= 0 {
		return logstore.Page{}, errors.Wrapf(logstore.ErrRejected, "read stream %q, max %d", name, limit)
	}
	timeout := time.NewTimer(max(wait, 0))
	defer timeout.Stop()
	for timedOut := wait <= 0; ; {
		changed := s.Faults.Changed()
		if err := s.Faults.Before(ctx, OpRead, logstore.ErrRejected); err != nil {
			return logstore.Page{}, errors.Wrap(err, "read")
		}
		page, appended, err := s.readPage(name, from, limit)
		if err != nil || len(page.Entries) > 0 || timedOut {
			if faultErr := s.Faults.After(ctx, OpRead); faultErr != nil {
				return logstore.Page{}, errors.Wrap(faultErr, "read")
			}
			return page, err
		}
		select {
		case <-appended:
		case <-changed:
		case <-timeout.C:
			timedOut = true
		case <-ctx.Done():
			return logstore.Page{}, errors.Wrap(ctx.Err(), "read")
		}
	}
}

func (s *Store) readPage(name string, from int64, limit int) (logstore.Page, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	s.expire(st)
	page := logstore.Page{First: st.first, End: st.end()}
	if from < st.first {
		return page, nil, errors.Wrapf(logstore.ErrExpired, "read stream %q from %d, first %d", name, from, st.first)
	}
	size := 0
	for i := from - st.first; i < int64(len(st.entries)) && len(page.Entries) < limit; i++ {
		size += len(st.entries[i].Payload)
		if size > logstore.MaxPageBytes && len(page.Entries) > 0 {
			break
		}
		page.Entries = append(page.Entries, st.entries[i])
	}
	return page, st.appended, nil
}

// stream returns the named stream and creates it if needed. The caller holds mu.
func (s *Store) stream(name string) *stream {
	st := s.streams[name]
	if st == nil {
		st = &stream{first: 1, appended: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

// expire applies the retention. The caller holds mu.
func (s *Store) expire(st *stream) {
	var n int64
	if r := s.retention.Entries; r > 0 {
		n = int64(len(st.entries) - r)
	}
	if s.retention.AgeMs > 0 {
		oldest := s.now().Add(-time.Duration(s.retention.AgeMs) * time.Millisecond)
		for n = max(n, 0); n < int64(len(st.appendTimes)) && st.appendTimes[n].Before(oldest); {
			n++
		}
	}
	st.dropOldest(n)
}

func (st *stream) end() int64 { return st.first + int64(len(st.entries)) }

func (st *stream) dropOldest(n int64) {
	if n <= 0 {
		return
	}
	st.first += n
	st.entries = st.entries[n:]
	st.appendTimes = st.appendTimes[n:]
}
