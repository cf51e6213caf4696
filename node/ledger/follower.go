// Package ledger reads and writes keyed partitions of the platform's store.
package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"waxwingslip.example/external/keyedlog"
	"waxwingslip.example/node/boundary"
	"waxwingslip.example/node/ctxtime"
)

// ApplyFunc receives records in order. With reset, they are the newest records of all keys and replace the earlier
// state; later records may repeat some of them.
type ApplyFunc func(records []keyedlog.Record, reset bool)

// Follower reads the newest record of every key of a partition, then the records appended after that. It is safe for
// concurrent use.
type Follower struct {
	store     *TimedStore
	partition keyedlog.Partition
	apply     ApplyFunc

	mu     sync.Mutex // held while records are applied
	next   int64      // offset of the first record that is not applied
	loaded bool
	behind bool // the newest Poll did not reach the end of the partition
	// listed is what an attempt to list the newest records had read when it was cut off; nil if there is none. The next attempt
	// goes on there: a list that takes longer than the connection lasts would never be read otherwise.
	listed *listing
}

// listing is a list of the newest records of a partition, of which the first pages have been read.
type listing struct {
	records []keyedlog.Record
	// end is the end of the partition when the first page was read. The pages are not one snapshot; records that are newer
	// are read again.
	end   int64
	after string // the key after which the next page begins
}

// NewFollower returns a follower that has read nothing.
func NewFollower(store *TimedStore, partition keyedlog.Partition, apply ApplyFunc) *Follower {
	return &Follower{store: store, partition: partition, apply: apply}
}

// Load reads the newest record of every key. If it fails, the next call goes on after the pages that were read.
func (f *Follower) Load(ctx context.Context) error {
	l := f.takeListing()
	for done := false; !done; done = l.after == "" {
		page, err := f.store.Newest(ctx, f.partition, l.after)
		if err != nil {
			f.keepListing(l)
			return errors.Wrapf(err, "load %s/%d", f.partition.Topic, f.partition.Number)
		}
		if l.end < 0 {
			l.end = page.End
		}
		l.records = append(l.records, page.Records...)
		l.after = page.Next
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	err := f.applyContained(l.records, true)
	f.next, f.loaded, f.behind = l.end, true, false
	return errors.Wrapf(err, "load %s/%d", f.partition.Topic, f.partition.Number)
}

// takeListing returns the list that an earlier call began, or an empty one.
func (f *Follower) takeListing() *listing {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.listed
	f.listed = nil
	if l == nil {
		l = &listing{end: -1}
	}
	return l
}

// keepListing keeps a list that was cut off. Of two that were read at the same time it keeps the longer one.
func (f *Follower) keepListing(l *listing) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(l.records) > 0 && (f.listed == nil || len(f.listed.records) < len(l.records)) {
		f.listed = l
	}
}

// applyContained applies records. If that ends with a panic, it applies them one by one and leaves out those that lead
// to one, so that a record which cannot be handled does not hide those after it. It returns the newest such panic. The
// caller holds mu.
func (f *Follower) applyContained(records []keyedlog.Record, reset bool) error {
	if boundary.Run(func() { f.apply(records, reset) }) == nil {
		return nil
	}
	var newest error
	if reset {
		newest = boundary.Run(func() { f.apply(nil, true) })
	}
	for _, r := range records {
		if err := boundary.Run(func() { f.apply([]keyedlog.Record{r}, false) }); err != nil {
			newest = errors.Wrapf(err, "record of key %q at offset %d is left out", r.Key, r.Offset)
		}
	}
	return newest
}

// Next returns the offset of the first record that is not applied.
func (f *Follower) Next() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// SkipTo makes the follower go on at an offset if it has read less. The caller knows the effect of the records before it.
func (f *Follower) SkipTo(offset int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if offset > f.next {
		f.next, f.loaded = offset, true
	}
}

// Poll reads new records once. It calls Load instead before the first read and after records were trimmed. It may be
// called while another Poll waits.
func (f *Follower) Poll(ctx context.Context, wait time.Duration) error {
	f.mu.Lock()
	next, loaded := f.next, f.loaded
	f.mu.Unlock()
	if !loaded {
		return f.Load(ctx)
	}
	batch, err := f.store.Read(ctx, f.partition, next, wait)
	if errors.Is(err, keyedlog.ErrTrimmed) {
		return f.Load(ctx)
	}
	if err != nil {
		return errors.Wrapf(err, "follow %s/%d", f.partition.Topic, f.partition.Number)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	records := batch.Records
	for len(records) > 0 && records[0].Offset < f.next {
		records = records[1:] // applied by a Poll that ended earlier
	}
	if len(records) > 0 {
		err := f.applyContained(records, false)
		f.next = records[len(records)-1].Offset + 1
		f.behind = f.next < batch.End
		return errors.Wrapf(err, "follow %s/%d", f.partition.Topic, f.partition.Number)
	}
	f.behind = false
	return nil
}

// Run polls until the context ends and passes the result of each poll to onPoll. It pauses after polls that reach the end of
// the partition.
func (f *Follower) Run(ctx context.Context, wait, pause time.Duration, onPoll func(error)) {
	var retry Backoff
	for ctx.Err() == nil {
		err := f.Poll(ctx, wait)
		if ctx.Err() != nil {
			return
		}
		onPoll(err)
		if err != nil {
			retry.Sleep(ctx)
			continue
		}
		retry.Reset()
		if !f.isBehind() {
			ctxtime.Sleep(ctx, pause)
		}
	}
}

func (f *Follower) isBehind() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.behind
}

// LogDependency returns a function that takes the result of each call to a dependency and logs when the dependency is
// lost or regained.
func LogDependency(log zerolog.Logger, name string) func(error) {
	lost := false
	return func(err error) {
		if (err != nil) == lost {
			return
		}
		if lost = err != nil; lost {
			log.Warn().Err(err).Str("dependency", name).Msg("dependency lost")
			return
		}
		log.Info().Str("dependency", name).Msg("dependency regained")
	}
}
