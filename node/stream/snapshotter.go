package stream

import (
	"context"
	"time"

	"github.com/rs/zerolog"
)

// DefaultSnapshotRecords is the number of records after which a snapshot is written.
const DefaultSnapshotRecords = 2000

// SnapshotterOptions configures a Snapshotter. Zero values give the defaults.
type SnapshotterOptions struct {
	// Records is how many entries may follow the newest snapshot; default DefaultSnapshotRecords.
	Records int64
	// MaxAge is how old the newest snapshot may become while entries follow it; default 1 h. It must be well
	// below the log's retention.
	MaxAge time.Duration
	// Interval is how often the conditions are checked; default 5 s.
	Interval time.Duration
	// IsWriter reports whether this daemon is chosen to write; nil means that it is. If the chosen daemon does not
	// write, every daemon does at twice the limits.
	IsWriter func() bool
	Log      zerolog.Logger
	// Written counts complete snapshots.
	Written Counter
}

// Snapshotter writes the state of a Follower into its stream. Two may write at the same time: readers use any
// complete snapshot.
type Snapshotter struct {
	follower *Follower
	appender *Appender
	opts     SnapshotterOptions
}

// NewSnapshotter returns a Snapshotter that Run starts.
func NewSnapshotter(f *Follower, a *Appender, opts SnapshotterOptions) *Snapshotter {
	setDefault(&opts.Records, DefaultSnapshotRecords)
	setDefault(&opts.MaxAge, time.Hour)
	setDefault(&opts.Interval, 5*time.Second)
	if opts.IsWriter == nil {
		opts.IsWriter = func() bool { return true }
	}
	opts.Written = counterOrDiscard(opts.Written)
	return &Snapshotter{follower: f, appender: a, opts: opts}
}

// Run writes snapshots when they are due until ctx ends.
func (s *Snapshotter) Run(ctx context.Context) error {
	tick := time.NewTicker(s.opts.Interval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if !s.Due(1) || !(s.opts.IsWriter() || s.Due(2)) {
			continue
		}
		if err := s.Write(ctx); err != nil && ctx.Err() == nil {
			s.opts.Log.Warn().Err(err).Str("step", "snapshot").Str("stream", s.follower.opts.Stream).Msg("snapshot not written")
		}
	}
}

// Due reports whether the newest complete snapshot exceeds the limits times factor.
func (s *Snapshotter) Due(factor int64) bool {
	f := s.follower
	f.mu.RLock()
	defer f.mu.RUnlock()
	behind := f.next - 1 - f.snapshotOffset
	if f.next == 0 || !f.reachable || behind <= 0 {
		return false
	}
	age := time.Since(f.snapshotSeenAt)
	if behind >= factor*s.opts.Records || age >= time.Duration(factor)*s.opts.MaxAge {
		return true
	}
	// Entries have expired, and the newest snapshot lies in the older part of those left. The minimum age keeps a
	// log that holds only a few entries from being filled with snapshots.
	kept := f.end - f.first
	return f.first > 1 && (f.snapshotOffset-f.first)*2*factor < kept && age >= s.opts.MaxAge/60
}

// Write appends the current state part by part. It stops early once another complete snapshot covers as much.
func (s *Snapshotter) Write(ctx context.Context) error {
	covers, packed, err := s.follower.Export()
	if err != nil {
		return err
	}
	parts, err := split(covers, packed)
	if err != nil {
		return err
	}
	for _, p := range parts {
		if s.follower.snapshotCovers(covers) {
			return nil
		}
		if _, err := s.appender.Submit(ctx, snapshotBody(s.follower.opts.SnapshotKind, p)); err != nil {
			return err
		}
	}
	s.opts.Written.Add(1)
	return nil
}

// snapshotCovers reports whether a complete snapshot covers the offset.
func (f *Follower) snapshotCovers(offset int64) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.snapshotOffset >= offset
}
