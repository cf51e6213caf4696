// Package account holds the client accounts of one version of the configuration: who may call which queue, and how much
// each account may have running.
package account

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"iter"
	"maps"

	"waxwingslip.example/core/resource"
)

// Account is a client account.
type Account struct {
	Name string
	// Weight is the account's share of the capacity while all of it is in use, relative to that of other accounts. It is also
	// the number of jobs a second that the account usually sends.
	Weight float64
	// Limit is the most that the account may have running across all workers. Components that are 0 have no limit.
	Limit resource.Vector
}

// Set is the accounts of one version of the configuration. It does not change.
type Set struct {
	byName map[string]*Account
	byKey  map[uint64][]keyEntry
}

// keyEntry is a key, of which only the hash is kept.
type keyEntry struct {
	hash    Hash
	account *Account
}

// Hash identifies a key without revealing it.
type Hash [sha256.Size]byte

// HashOf returns the hash of a key. It allocates no memory for keys of usual length.
func HashOf(key string) Hash {
	var buffer [256]byte
	return sha256.Sum256(append(buffer[:0], key...))
}

// bucket returns the index of a hash in Set.byKey.
func bucket(hash *Hash) uint64 { return binary.BigEndian.Uint64(hash[:8]) }

// Account returns an account by its name, or nil. It may be called on a nil set.
func (s *Set) Account(name string) *Account {
	if s == nil {
		return nil
	}
	return s.byName[name]
}

// Names returns the names of the accounts. It may be called on a nil set.
func (s *Set) Names() iter.Seq[string] {
	if s == nil {
		return func(func(string) bool) {}
	}
	return maps.Keys(s.byName)
}

// Len returns the number of accounts. It may be called on a nil set.
func (s *Set) Len() int {
	if s == nil {
		return 0
	}
	return len(s.byName)
}

// ByKey returns the account of a key, or nil. It may be called on a nil set. Its duration depends on hashes only, and
// callers cannot choose those: it does not reveal how much of a key is right.
func (s *Set) ByKey(key string) *Account {
	if s == nil || key == "" {
		return nil
	}
	return s.byHash(HashOf(key))
}

func (s *Set) byHash(hash Hash) *Account {
	var found *Account
	for i := range s.byKey[bucket(&hash)] {
		e := &s.byKey[bucket(&hash)][i]
		if subtle.ConstantTimeCompare(e.hash[:], hash[:]) == 1 {
			found = e.account
		}
	}
	return found
}

// Scope is the set of jobs that a caller may ask for and cancel. The zero value contains all jobs, as without accounts.
type Scope struct {
	// Limited scopes contain the jobs of Account, those of Queue, and those without an account.
	Limited bool   `cbor:"1,keyasint,omitempty"`
	Account string `cbor:"2,keyasint,omitempty"`
	// Queue is a public queue: a caller may hand a job in there with a key, and ask for it without one.
	Queue string `cbor:"3,keyasint,omitempty"`
}

// Contains reports whether a job of an account and a queue is in the scope.
func (s Scope) Contains(account, queue string) bool {
	return !s.Limited || account == "" || account == s.Account || s.Queue != "" && queue == s.Queue
}
