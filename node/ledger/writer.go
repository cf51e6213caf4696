package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"waxwingslip.example/external/keyedlog"
)

// Bounds of the timeout, beside the time to send it, after which an append without a response is sent again on another
// connection.
const (
	attemptTimeoutMin = 300 * time.Millisecond
	attemptTimeoutMax = 3 * time.Second
	// attemptTimeoutFactor is the multiple of the average latency that makes the timeout of the first attempt.
	attemptTimeoutFactor = 4
)

// latency is a moving average of the duration of calls. It is safe for concurrent use.
type latency struct {
	mu      sync.Mutex
	average time.Duration
}

// observe updates the average. It rises faster than it falls, so that a store that became slow does not get each
// append twice for long.
func (l *latency) observe(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d > l.average {
		l.average += (d - l.average) / 2
		return
	}
	l.average += (d - l.average) / 8
}

// timeout returns the timeout of the n-th retry of a call; n is 0 for the first attempt.
func (l *latency) timeout(n int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := max(attemptTimeoutMin, attemptTimeoutFactor*l.average)
	return min(t<<min(n, 4), attemptTimeoutMax)
}

// Writer appends to a partition under an epoch. It is not safe for concurrent use.
type Writer struct {
	store     *TimedStore
	partition keyedlog.Partition
	writer    keyedlog.Writer
	latency   latency
}

// NewWriter returns a writer with an epoch that no other writer of that name has used.
func NewWriter(store *TimedStore, partition keyedlog.Partition, name string, epoch int64) *Writer {
	return &Writer{store: store, partition: partition, writer: keyedlog.Writer{Name: name, Epoch: epoch, Sequence: 1}}
}

// Append adds records and retries until the store confirms or rejects them. Without records it only raises the epoch.
// It fails if a newer epoch exists, if the sequence number does not follow, if the store never takes the records, or if the
// context ends; after that last error, the records may or may not be added.
func (w *Writer) Append(ctx context.Context, records []keyedlog.Record) error {
	var retry Backoff
	for n := 0; ; n++ {
		err := w.attempt(ctx, records, n)
		switch {
		case err == nil:
			if len(records) > 0 {
				w.writer.Sequence++
			}
			return nil
		case errors.Is(err, keyedlog.ErrFenced), errors.Is(err, keyedlog.ErrSequence),
			errors.Is(err, keyedlog.ErrRejected):
			return err
		case ctx.Err() != nil:
			return errors.Wrapf(err, "append to %s/%d given up", w.partition.Topic, w.partition.Number)
		}
		retry.Sleep(ctx)
	}
}

func (w *Writer) attempt(ctx context.Context, records []keyedlog.Record, n int) error {
	ctx, cancel := context.WithTimeout(ctx, w.latency.timeout(n)+transferTime(records))
	defer cancel()
	start := time.Now()
	_, err := w.store.Append(ctx, keyedlog.Append{Partition: w.partition, Records: records, Writer: &w.writer})
	if err == nil {
		w.latency.observe(time.Since(start))
	}
	return err
}

// AtLeastOnceAppender appends without a condition. Records may be added more than once, so they must be idempotent.
// Unless the store refused every call, a failed append returns ErrUncertain.
type AtLeastOnceAppender struct{ store *TimedStore }

// NewAtLeastOnceAppender returns an appender for idempotent records.
func NewAtLeastOnceAppender(store *TimedStore) *AtLeastOnceAppender {
	return &AtLeastOnceAppender{store: store}
}

// ErrUncertain means that the records may have been or may still be added.
var ErrUncertain = errors.New("it is open whether records were added")

// ErrNoResponse is the ErrUncertain of a call that timed out.
var ErrNoResponse = errors.WithMessage(ErrUncertain, "no answer in time")

// Append adds records and retries until an attempt succeeds, the store rejects the records for good, or the context ends.
func (a *AtLeastOnceAppender) Append(ctx context.Context, p keyedlog.Partition, records []keyedlog.Record) error {
	var retry Backoff
	uncertain := false
	for n := 0; ; n++ {
		err := a.Attempt(ctx, p, records, n)
		if err == nil {
			return nil
		}
		if errors.Is(err, keyedlog.ErrRejected) {
			return err
		}
		uncertain = uncertain || errors.Is(err, ErrUncertain)
		if retry.Sleep(ctx); ctx.Err() != nil {
			if uncertain && !errors.Is(err, ErrUncertain) {
				return errors.Wrap(ErrUncertain, err.Error())
			}
			return err
		}
	}
}

// Attempt makes the n-th retry of a call that adds records; n is 0 for the first attempt. After ErrUncertain the call
// may or may not take effect, after any other error it never does.
func (a *AtLeastOnceAppender) Attempt(ctx context.Context, p keyedlog.Partition, records []keyedlog.Record,
	n int) error {
	ctx, cancel := context.WithTimeout(ctx, a.store.latency.timeout(n)+transferTime(records))
	defer cancel()
	_, err := a.store.Append(ctx, keyedlog.Append{Partition: p, Records: records})
	switch {
	case err == nil:
		return nil
	case errors.Is(err, keyedlog.ErrRefused), errors.Is(err, keyedlog.ErrRejected):
		return err
	case ctx.Err() != nil:
		return errors.Wrap(ErrNoResponse, err.Error())
	}
	return errors.Wrap(ErrUncertain, err.Error())
}
