package account

import (
	"fmt"
	"math"

	"waxwingslip.example/core/resource"
)

// Row is the definition of an account.
type Row struct {
	Name string
	Keys []string
	// KeyHashes are further keys, of which only the hashes are known.
	KeyHashes []Hash
	Weight    float64
	Limit     resource.Vector
}

// Field is a field of a Row.
type Field int

// Fields of a Row.
const (
	FieldName Field = iota
	FieldKeys
	FieldWeight
	FieldLimitCPU
	FieldLimitMemory
	FieldLimitAccelerators
	FieldLimitOther
)

var fieldNames = [...]string{"name", "keys", "weight", "limit of CPU", "limit of memory", "limit of accelerators", "limit"}

// String returns the field's name.
func (f Field) String() string { return fieldNames[f] }

// InvalidError means that a row cannot be used. It never holds a key.
type InvalidError struct {
	// Row is the index of the row, and Index that of the key if the field is FieldKeys.
	Row, Index int
	Field      Field
	Reason     string
}

// Error implements error.
func (e *InvalidError) Error() string {
	if e.Field == FieldKeys {
		return fmt.Sprintf("account %d: key %d %s", e.Row, e.Index, e.Reason)
	}
	return fmt.Sprintf("account %d: %v %s", e.Row, e.Field, e.Reason)
}

// New returns the set of the accounts in the rows, or an InvalidError for the first row that cannot be used.
func New(rows []Row) (*Set, error) {
	s := &Set{byName: make(map[string]*Account, len(rows)), byKey: map[uint64][]keyEntry{}}
	for i := range rows {
		if err := s.add(i, &rows[i]); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *Set) add(row int, r *Row) error {
	invalid := func(f Field, reason string) error { return &InvalidError{Row: row, Field: f, Reason: reason} }
	switch {
	case r.Name == "":
		return invalid(FieldName, "is empty")
	case s.byName[r.Name] != nil:
		return invalid(FieldName, "is that of an earlier account")
	case math.IsNaN(r.Weight) || math.IsInf(r.Weight, 0):
		return invalid(FieldWeight, "is not a finite number")
	case r.Weight < 0:
		return invalid(FieldWeight, "is negative")
	case r.Limit.MilliCPU < 0:
		return invalid(FieldLimitCPU, "is negative")
	case r.Limit.MemoryMB < 0:
		return invalid(FieldLimitMemory, "is negative")
	case r.Limit.Accelerators < 0:
		return invalid(FieldLimitAccelerators, "is negative")
	case !r.Limit.Valid():
		return invalid(FieldLimitOther, "is negative")
	}
	a := &Account{Name: r.Name, Weight: r.Weight, Limit: r.Limit}
	s.byName[r.Name] = a
	for i, key := range r.Keys {
		reason := "is empty"
		if key != "" {
			reason = s.addKey(a, HashOf(key))
		}
		if reason != "" {
			return &InvalidError{Row: row, Index: i, Field: FieldKeys, Reason: reason}
		}
	}
	for i, hash := range r.KeyHashes {
		if reason := s.addKey(a, hash); reason != "" {
			return &InvalidError{Row: row, Index: len(r.Keys) + i, Field: FieldKeys, Reason: reason}
		}
	}
	return nil
}

// addKey adds a key of an account. It returns why it is invalid, or "".
func (s *Set) addKey(a *Account, hash Hash) string {
	if s.byHash(hash) != nil {
		return "occurs twice"
	}
	s.byKey[bucket(&hash)] = append(s.byKey[bucket(&hash)], keyEntry{hash, a})
	return ""
}
