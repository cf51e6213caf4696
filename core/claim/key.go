// Package claim decides which attempt of a request with an idempotency key may run.
//
// An attempt claims a key when a majority of the current view's members grant it. Each member refuses a second
// attempt. Claims survive a view change because the claims of a set of members that intersects every majority are
// copied to all members of the next view. An attempt that won a majority and then sends nothing keeps its claim,
// so that the key never runs and "not run" is true for all attempts.
//
// The package does no I/O. Clocks and attempt ids are parameters.
package claim

import (
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// MaxKeyBytes limits the text of a key with its zone.
const MaxKeyBytes = 128

// Key is the UUIDv7 of a request.
type Key [16]byte

// UnixMs returns the timestamp in the key, in milliseconds since the Unix epoch.
func (k Key) UnixMs() int64 {
	var ms int64
	for _, b := range k[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms
}

// String returns the canonical text form of the UUID.
func (k Key) String() string { return uuid.UUID(k).String() }

// Attempt identifies one round of an attempt to claim a key. It is never reused.
type Attempt [16]byte

// ParseKey parses "uuid" or "zone/uuid". The zone is empty if the text has none.
func ParseKey(text string) (zone string, key Key, err error) {
	if len(text) > MaxKeyBytes {
		return "", Key{}, errors.Errorf("key has %d bytes; allowed are %d", len(text), MaxKeyBytes)
	}
	id := text
	if before, after, found := strings.Cut(text, "/"); found {
		if zone, id = before, after; zone == "" {
			return "", Key{}, errors.Errorf("key %q has an empty zone", text)
		}
	}
	// Only the 36 byte form is valid: other forms of one UUID would differ in length limits and logs.
	if len(id) != 36 {
		return "", Key{}, errors.Errorf("key %.60q is not a UUIDv7", text)
	}
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != 7 || u.Variant() != uuid.RFC4122 {
		return "", Key{}, errors.Errorf("key %.60q is not a UUIDv7", text)
	}
	return zone, Key(u), nil
}

// HomeZone returns the zone whose members grant the key, by rendezvous hashing: the zone with the highest hash.
// Daemons with the same zones, in any order, get the same result.
func HomeZone(key Key, zones []string) string {
	best, home := uint64(0), ""
	buffer := make([]byte, 0, MaxKeyBytes)
	for _, zone := range zones {
		buffer = append(append(buffer[:0], key[:]...), zone...)
		if h := xxhash.Sum64(buffer); home == "" || h > best || h == best && zone < home {
			best, home = h, zone
		}
	}
	return home
}
