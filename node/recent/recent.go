// Package recent remembers for a short time what was done, so that it is not repeated before its effect can
// be seen.
package recent

import "time"

// sweepEvery is the number of additions between sweeps of expired keys.
const sweepEvery = 256

// Set is a set of keys that expire. It is not safe for concurrent use.
type Set struct {
	keep  time.Duration
	added map[string]time.Duration
	adds  int
}

// NewSet returns a set whose keys expire after keep.
func NewSet(keep time.Duration) *Set {
	return &Set{keep: keep, added: map[string]time.Duration{}}
}

// Add adds the key at a monotonic time and reports whether it was absent or expired.
func (s *Set) Add(key string, now time.Duration) bool {
	if at, ok := s.added[key]; ok && now-at < s.keep {
		return false
	}
	s.added[key] = now
	if s.adds++; s.adds%sweepEvery == 0 {
		s.sweep(now)
	}
	return true
}

func (s *Set) sweep(now time.Duration) {
	for k, at := range s.added {
		if now-at >= s.keep {
			delete(s.added, k)
		}
	}
}
