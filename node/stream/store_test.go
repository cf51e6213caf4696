package stream

import (
	"context"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"waxwingslip.example/core/record"
	"waxwingslip.example/platform/logstore"
)

var errOutage = errors.New("connection refused")

// memStore is a log of one stream with faults.
type memStore struct {
	mu      sync.Mutex
	entries []logstore.Entry // entries[i] has offset first+i
	first   int64
	changed chan struct{}
	// out makes calls fail, delay makes them slow; loseAnswers appends take effect but fail.
	out         bool
	delay       time.Duration
	loseAnswers int
	// reject refuses batches that hold a payload for which it returns true.
	reject    func(payload []byte) bool
	appends   []time.Time
	batchSize []int
}

func newMemStore() *memStore { return &memStore{first: 1, changed: make(chan struct{})} }

func (m *memStore) enter(ctx context.Context) error {
	m.mu.Lock()
	d, out := m.delay, m.out
	m.mu.Unlock()
	sleep(ctx, d)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if out {
		return errOutage
	}
	return nil
}

func (m *memStore) Append(ctx context.Context, _ string, payloads [][]byte) (int64, error) {
	if err := m.enter(ctx); err != nil {
		return 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reject != nil && slices.ContainsFunc(payloads, m.reject) {
		return 0, errors.Wrap(logstore.ErrRejected, "test")
	}
	m.appends = append(m.appends, time.Now())
	m.batchSize = append(m.batchSize, len(payloads))
	at := m.end()
	for _, p := range payloads {
		m.entries = append(m.entries, logstore.Entry{Offset: m.end(), Payload: p})
	}
	close(m.changed)
	m.changed = make(chan struct{})
	if m.loseAnswers > 0 {
		m.loseAnswers--
		return 0, errOutage
	}
	return at, nil
}

func (m *memStore) end() int64 { return m.first + int64(len(m.entries)) }

func (m *memStore) Read(ctx context.Context, _ string, from int64, max int, wait time.Duration) (logstore.Page, error) {
	if err := m.enter(ctx); err != nil {
		return logstore.Page{}, err
	}
	m.mu.Lock()
	if from >= m.end() && wait > 0 {
		ch := m.changed
		m.mu.Unlock()
		t := time.NewTimer(wait)
		defer t.Stop()
		select {
		case <-ch:
		case <-t.C:
		case <-ctx.Done():
			return logstore.Page{}, ctx.Err()
		}
		m.mu.Lock()
	}
	defer m.mu.Unlock()
	if m.out {
		return logstore.Page{}, errOutage
	}
	page := logstore.Page{First: m.first, End: m.end()}
	if from < m.first {
		return page, logstore.ErrExpired
	}
	if from < m.end() {
		rest := m.entries[from-m.first:]
		page.Entries = slices.Clone(rest[:min(len(rest), max)])
	}
	return page, nil
}

func (m *memStore) set(fn func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	fn()
}

// expire drops the entries below the offset.
func (m *memStore) expire(first int64) {
	m.set(func() {
		m.entries = slices.Clone(m.entries[first-m.first:])
		m.first = first
	})
}

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
