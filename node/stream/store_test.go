package stream

import (
	"context"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"waxwingslip.example/core/record"
	"waxwingslip.example/platform/fault"
	"waxwingslip.example/platform/logstore"
	"waxwingslip.example/platform/logstore/fake"
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
	seen map[[16]byte]bool
	jobs []string
	sum  uint64
	// padding makes snapshots larger.
	padding int
}

func newLogMachine() *logMachine { return &logMachine{seen: map[[16]byte]bool{}} }

func (m *logMachine) Apply(offset int64, rec record.Record) Verdict {
	if m.seen[rec.ID] {
		return Verdict{Duplicate: true}
	}
	m.seen[rec.ID] = true
	m.sum = m.sum*31 + uint64(offset)
	c, ok := rec.Body.(*record.Cancel)
	if !ok || c.Job == "no" {
		return Verdict{Reason: "refused"}
	}
	m.jobs = append(m.jobs, c.Job)
	return Verdict{Accepted: true, Events: []any{c.Job}}
}

func (m *logMachine) Snapshot() ([]byte, error) {
	out := binary.BigEndian.AppendUint64(nil, m.sum)
	for _, j := range m.jobs {
		out = append(append(out, byte(len(j))), j...)
	}
	out = append(out, 0)
	// Bytes that do not compress, so that a snapshot has several parts.
	for i, x := 0, uint64(1); i < m.padding; i++ {
		x = x*6364136223846793005 + 1442695040888963407
		out = append(out, byte(x>>56))
	}
	return out, nil
}

func (m *logMachine) Restore(data []byte) error {
	if len(data) < 9 {
		return errors.New("short state")
	}
	sum, rest, jobs := binary.BigEndian.Uint64(data), data[8:], []string(nil)
	for rest[0] > 0 {
		n := int(rest[0])
		jobs, rest = append(jobs, string(rest[1:1+n])), rest[1+n:]
	}
	m.sum, m.jobs, m.seen = sum, jobs, map[[16]byte]bool{}
	return nil
}
