package ledger

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"waxwingslip.example/external/keyedlog"
	"waxwingslip.example/node/telemetry"
)

// Limits of one call to the store. Without a response in time, its connection counts as unresponsive, and the caller
// repeats the call.
const (
	// ReadMargin is the time beyond its wait after which a read times out.
	ReadMargin = time.Second
	// pageTimeout limits the read of one page of the newest records.
	pageTimeout = 2 * time.Second
	// appendTimeout limits an append. Most callers have shorter limits.
	appendTimeout = attemptTimeoutMax
)

// TimedStore is a store whose calls all have a time limit, and that measures the latency of all appends of a process. It
// is safe for concurrent use.
type TimedStore struct {
	store    keyedlog.Store
	latency  latency
	log      zerolog.Logger
	counters *Counters
}

// Counters are the metrics of a process's reads of the store.
type Counters struct {
	// BytesRead counts the bytes of all responses to reads, BytesDiscarded those of reads that failed.
	BytesRead, BytesDiscarded *telemetry.Counter
	// ReadsFailed counts all reads that failed, ReadsCut those of which a part had arrived.
	ReadsFailed, ReadsCut *telemetry.Counter
}

// NewCounters registers the metrics in r.
func NewCounters(r *telemetry.Registry) *Counters {
	return &Counters{BytesRead: r.Counter("store_bytes_read"), BytesDiscarded: r.Counter("store_bytes_discarded"),
		ReadsFailed: r.Counter("store_reads_failed"), ReadsCut: r.Counter("store_reads_cut")}
}

// NewTimedStore returns a TimedStore that forwards calls to a store.
func NewTimedStore(store keyedlog.Store) *TimedStore {
	return &TimedStore{store: store, log: zerolog.Nop(), counters: NewCounters(telemetry.New(time.Now))}
}

// Observe makes the store log reads that are cut off, and count in counters. It is called before the first use.
func (s *TimedStore) Observe(log zerolog.Logger, counters *Counters) {
	s.log, s.counters = log, counters
}

// Append implements keyedlog.Store.
func (s *TimedStore) Append(ctx context.Context, a keyedlog.Append) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	start := time.Now()
	offset, err := s.store.Append(ctx, a)
	if err == nil {
		s.latency.observe(time.Since(start))
	}
	return offset, err
}

// Read implements keyedlog.Store.
func (s *TimedStore) Read(ctx context.Context, p keyedlog.Partition, from int64, wait time.Duration) (keyedlog.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+ReadMargin)
	defer cancel()
	read := s.observeRead(ctx, p, from)
	batch, err := s.store.Read(read.ctx, p, from, wait)
	read.end(err)
	return batch, err
}

// Newest implements keyedlog.Store.
func (s *TimedStore) Newest(ctx context.Context, p keyedlog.Partition, after string) (keyedlog.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	read := s.observeRead(ctx, p, -1)
	page, err := s.store.Newest(read.ctx, p, after)
	read.end(err)
	return page, err
}

// observedRead counts the bytes of one read.
type observedRead struct {
	store     *TimedStore
	ctx       context.Context
	partition keyedlog.Partition
	from      int64 // -1 for a list of the newest records
	start     time.Time
	bytes     int64
}

func (s *TimedStore) observeRead(ctx context.Context, p keyedlog.Partition, from int64) *observedRead {
	r := &observedRead{store: s, partition: p, from: from, start: time.Now()}
	r.ctx = keyedlog.WithProgress(ctx, func(n int) { r.bytes += int64(n) })
	return r
}

// end counts the read. It logs one that failed after a part had arrived, which shows that the connection works.
func (r *observedRead) end(err error) {
	c := r.store.counters
	c.BytesRead.Add(r.bytes)
	if err == nil || errors.Is(err, keyedlog.ErrTrimmed) {
		return
	}
	c.ReadsFailed.Inc()
	if r.bytes == 0 {
		return
	}
	c.ReadsCut.Inc()
	c.BytesDiscarded.Add(r.bytes)
	r.store.log.Warn().Err(err).Str("topic", r.partition.Topic).Int("part", r.partition.Number).Int64("from", r.from).
		Int64("bytes", r.bytes).Dur("took", time.Since(r.start)).Msg("read of the store is cut off")
}
