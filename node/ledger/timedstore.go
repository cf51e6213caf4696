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
// repeats the call. A response that goes on arriving may take any time: what is cut off for its size would be cut off
// again.
const (
	// ReadMargin is the time beyond its wait after which a read without any response times out.
	ReadMargin = time.Second
	// pageTimeout is the same for a page of the newest records.
	pageTimeout = 2 * time.Second
	// stallTimeout is the longest pause within a response. It covers the repeat of a lost packet.
	stallTimeout = 2 * time.Second
	// appendTimeout limits an append, with the time to send it. Most callers have shorter limits.
	appendTimeout = attemptTimeoutMax
	// minLinkRate is the rate in bytes per second that a daemon can count on: the share of each of 150 daemons of a link of
	// 60 Mbit/s between two regions.
	minLinkRate = 50_000
)

// transferTime returns the time to send records at the rate that a daemon can count on. Limits of appends include it, since an
// append that is cut off for its size would be cut off again.
func transferTime(records []keyedlog.Record) time.Duration {
	bytes := 0
	for i := range records {
		bytes += len(records[i].Key) + len(records[i].Value)
	}
	return time.Duration(bytes) * time.Second / minLinkRate
}

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
	// BytesRead counts the bytes of all responses to reads.
	BytesRead *telemetry.Counter
	// ReadsFailed counts all reads that failed, ReadsCut those of which a part had arrived.
	ReadsFailed, ReadsCut *telemetry.Counter
}

// NewCounters registers the metrics in r.
func NewCounters(r *telemetry.Registry) *Counters {
	return &Counters{BytesRead: r.Counter("store_bytes_read"),
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
	ctx, cancel := context.WithTimeout(ctx, appendTimeout+transferTime(a.Records))
	defer cancel()
	start := time.Now()
	offset, err := s.store.Append(ctx, a)
	if err == nil {
		s.latency.observe(time.Since(start))
	}
	return offset, err
}

// Read implements keyedlog.Store. It returns the records that arrived whole without an error, if there are any: callers
// continue after them.
func (s *TimedStore) Read(ctx context.Context, p keyedlog.Partition, from int64, wait time.Duration) (keyedlog.Batch, error) {
	read := s.startRead(ctx, p, from, wait+ReadMargin)
	batch, err := s.store.Read(read.ctx, p, from, wait)
	if read.end(err); len(batch.Records) > 0 {
		err = nil
	}
	return batch, err
}

// Newest implements keyedlog.Store.
func (s *TimedStore) Newest(ctx context.Context, p keyedlog.Partition, after string) (keyedlog.Page, error) {
	return s.readPage(ctx, p, after, pageTimeout)
}

// readPage reads one page, which must begin within a limit.
func (s *TimedStore) readPage(ctx context.Context, p keyedlog.Partition, after string, limit time.Duration) (keyedlog.Page, error) {
	read := s.startRead(ctx, p, -1, limit)
	page, err := s.store.Newest(read.ctx, p, after)
	read.end(err)
	return page, err
}

// lastKey sorts after all keys.
const lastKey = "\x7f"

// End returns the offset after the newest record of a partition, without reading any record.
func (s *TimedStore) End(ctx context.Context, p keyedlog.Partition) (int64, error) {
	page, err := s.readPage(ctx, p, lastKey, ReadMargin)
	return page.End, err
}

// errNoProgress is the cause of the end of a read whose response did not begin or go on.
var errNoProgress = errors.New("no response in time")

// timedRead is one read that goes on while its response arrives.
type timedRead struct {
	store     *TimedStore
	ctx       context.Context
	cancel    context.CancelCauseFunc
	timer     *time.Timer
	partition keyedlog.Partition
	from      int64 // -1 for a list of the newest records
	start     time.Time
	bytes     int64
}

// startRead starts a read whose response must begin within a limit.
func (s *TimedStore) startRead(ctx context.Context, p keyedlog.Partition, from int64, limit time.Duration) *timedRead {
	r := &timedRead{store: s, partition: p, from: from, start: time.Now()}
	limited, cancel := context.WithCancelCause(ctx)
	r.cancel = cancel
	r.timer = time.AfterFunc(limit, func() { cancel(errNoProgress) })
	r.ctx = keyedlog.WithProgress(limited, func(n int) {
		r.bytes += int64(n)
		r.timer.Reset(stallTimeout)
		keyedlog.ReportProgress(ctx, n)
	})
	return r
}

// end ends the read and counts it. It logs one that failed after a part had arrived, which shows that the connection
// works.
func (r *timedRead) end(err error) {
	r.timer.Stop()
	defer r.cancel(nil)
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
	r.store.log.Warn().Err(err).AnErr("cause", context.Cause(r.ctx)).Str("topic", r.partition.Topic).Int("part", r.partition.Number).Int64("from", r.from).
		Int64("bytes", r.bytes).Dur("took", time.Since(r.start)).Msg("read of the store is cut off")
}
