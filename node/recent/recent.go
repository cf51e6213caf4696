// Package recent provides a set of keys that expire, which callers use not to repeat an action before its effect is
// visible.
package recent

import "time"

// addsPerSweep is the number of additions after which expired keys are removed.
const addsPerSweep = 256

// Set is a set of keys that expire. It is not safe for concurrent use.
type Set struct {
	ttl     time.Duration
	addedAt map[string]time.Duration
	adds    int
}

// NewSet returns a set whose keys expire after ttl.
func NewSet(ttl time.Duration) *Set {
	return &Set{ttl: ttl, addedAt: map[string]time.Duration{}}
}

// Add adds the key at the monotonic time now and reports whether it was absent or expired.
func (s *Set) Add(key string, now time.Duration) bool {
	if at, ok := s.addedAt[key]; ok && now-at < s.ttl {
		return false
	}
	s.addedAt[key] = now
	if s.adds++; s.adds%addsPerSweep == 0 {
		s.removeExpired(now)
	}
	return true
}

func (s *Set) removeExpired(now time.Duration) {
	for k, at := range s.addedAt {
		if now-at >= s.ttl {
			delete(s.addedAt, k)
		}
	}
}
