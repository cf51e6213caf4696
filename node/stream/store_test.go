package stream

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"waxwingslip.example/core/record"
	"waxwingslip.example/external/fault"
	"waxwingslip.example/external/logstore"
	"waxwingslip.example/external/logstore/fake"
)

const testStream = "test.zone.a"

// testStore is a log that can also reject single payloads.
type testStore struct {
	*fake.Store
	// reject refuses batches that hold a payload for which it returns true. It is set before use.
	reject func(payload []byte) bool

	mu      sync.Mutex
	appends []time.Time
}

func newTestStore() *testStore { return &testStore{Store: fake.New(nil)} }

func (s *testStore) Append(ctx context.Context, stream string, payloads [][]byte) (int64, error) {
	if s.reject != nil && slices.ContainsFunc(payloads, s.reject) {
		return 0, errors.Wrap(logstore.ErrRejected, "test")
	}
	s.mu.Lock()
	s.appends = append(s.appends, time.Now())
	s.mu.Unlock()
	return s.Store.Append(ctx, stream, payloads)
}

func (s *testStore) down(down bool) { s.Faults.Set(fault.Setting{Down: down}) }

func (s *testStore) expire(first int64) { s.ExpireBefore(testStream, first) }

// logMachine keeps the job ids of the Cancel records that it applied, once per record id. Job "no" is rejected.
type logMachine struct {
	Jobs []string
	Seen []uuid.UUID
	// Sum depends on the offsets of all applied records.
	Sum uint64
	// Padding makes snapshots larger; it does not compress.
	Padding []byte
}

func newLogMachine() *logMachine { return &logMachine{} }

func (m *logMachine) Apply(offset int64, rec record.Record) Verdict {
	if slices.Contains(m.Seen, rec.ID) {
		return Verdict{Duplicate: true}
	}
	m.Seen = append(m.Seen, rec.ID)
	m.Sum = m.Sum*31 + uint64(offset)
	c, ok := rec.Body.(*record.Cancel)
	if !ok || c.Job == "no" {
		return Verdict{Reason: "refused"}
	}
	m.Jobs = append(m.Jobs, c.Job)
	return Verdict{Accepted: true, Events: []any{c.Job}}
}

func (m *logMachine) Snapshot() ([]byte, error) { return cbor.Marshal(m) }

func (m *logMachine) Restore(data []byte) error {
	var next logMachine
	if err := cbor.Unmarshal(data, &next); err != nil {
		return err
	}
	*m = next
	return nil
}

// incompressibleBytes returns bytes that do not compress.
func incompressibleBytes(n int) []byte {
	out := make([]byte, n)
	for i, x := 0, uint64(1); i < n; i++ {
		x = x*6364136223846793005 + 1442695040888963407
		out[i] = byte(x >> 56)
	}
	return out
}
