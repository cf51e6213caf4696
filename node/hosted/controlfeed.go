package hosted

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"waxwingslip.example/external/keyedlog"
	"waxwingslip.example/node/configcopy"
	"waxwingslip.example/node/ctxtime"
	"waxwingslip.example/node/ledger"
	"waxwingslip.example/node/telemetry"
)

// Timing of the control feed. A configuration has to be in force everywhere within 2.5 s on the deployments with the
// shortest bound, and within 7 s at the target size.
const (
	// controlPollInterval is the longest time between two looks at the end of the control topic, in which the daemon waits
	// for a change of the copy. It bounds how long a daemon that copies, or an unresponsive connection, delays a change.
	controlPollInterval = 900 * time.Millisecond
	// copyWait is how long a daemon near the store waits for the copy of a configuration before it reads the operators'
	// record itself. copyWaitJitter keeps most daemons from doing so at once, since the first one stores a copy.
	copyWait       = 300 * time.Millisecond
	copyWaitJitter = 300 * time.Millisecond
	// remoteCopyWait is the same in another region than the store. It leaves time for a copy by a daemon near the store.
	remoteCopyWait = time.Second
	// copyMargin is the time beyond its wait after which a read of the copy without a response ends, if no change is known.
	copyMargin = 400 * time.Millisecond
	// copyAttempts limits how often a copy is prepared anew since another daemon's was stored first.
	copyAttempts = 3
)

// controlFeed brings the operators' configuration and the zones out of service to this daemon. The owner of the first
// shard reads the operators' records and stores a copy, which is much smaller; other daemons look at the end of the
// operators' topic, and if it has moved, wait for the copy. If none comes in time, they read the operators' record and
// store a copy themselves.
type controlFeed struct {
	store   *ledger.TimedStore
	layout  Layout
	control *control
	now     func() time.Duration
	// leads reports whether this daemon is the one that copies.
	leads func() bool
	// logCopy takes the result of each attempt to store a copy.
	logCopy func(error)

	original *ledger.Follower // of the control topic
	copies   *ledger.Follower
	copied   configcopy.Copy
	// copyErr is the error of the newest record of the copy that can't be used.
	copyErr error
	// copyFailed is set if the newest wait for a change of the copy failed.
	copyFailed bool
	// latency is the shortest duration of a look at the end of the control topic, 0 before the first.
	latency time.Duration

	end     atomic.Int64 // offset after the newest control record that is known
	through atomic.Int64 // offset before which all control records are in force
	// readAt is when something arrived from the store, currentAt the start of the last round after which nothing was
	// missing, as boot times in ns.
	readAt, currentAt atomic.Int64

	originalReads, copiesStored *telemetry.Counter
}

func newControlFeed(store *ledger.TimedStore, layout Layout, c *control, now func() time.Duration, leads func() bool,
	metrics *telemetry.Registry) *controlFeed {
	f := &controlFeed{store: store, layout: layout, control: c, now: now, leads: leads,
		copied:        configcopy.Copy{Format: layout.CopyFormat},
		logCopy:       ledger.LogDependency(c.log, "configuration copy"),
		originalReads: metrics.Counter("control_original_reads"), copiesStored: metrics.Counter("control_copies_stored")}
	f.original = ledger.NewFollower(store, layout.Control, c.apply)
	f.copies = ledger.NewFollower(store, configcopy.Partition, f.applyCopy)
	return f
}

// age returns the time since the configuration was known to be the newest one.
func (f *controlFeed) age() time.Duration { return f.now() - time.Duration(f.currentAt.Load()) }

// unreadAge returns the time since something arrived from the store.
func (f *controlFeed) unreadAge() time.Duration { return f.now() - time.Duration(f.readAt.Load()) }

// run feeds the control state until the context ends. It passes the result of each round to onRound.
func (f *controlFeed) run(ctx context.Context, onRound func(error)) {
	var retry ledger.Backoff
	ctx = keyedlog.WithProgress(ctx, func(int) { f.noteRead() })
	for ctx.Err() == nil {
		err := f.round(ctx)
		if ctx.Err() != nil {
			return
		}
		if onRound(err); err != nil {
			retry.Sleep(ctx)
			continue
		}
		retry.Reset()
		f.wait(ctx)
	}
}

// round looks at the control topic once and catches up with it.
func (f *controlFeed) round(ctx context.Context) error {
	at, end, err := f.lookAtEnd(ctx)
	if err != nil {
		return err
	}
	caughtUp, copyErr := f.waitForCopy(ctx, end)
	if caughtUp {
		f.currentAt.Store(int64(at))
		return nil
	}
	if err := f.readOriginal(ctx, end); err != nil {
		return err
	}
	f.currentAt.Store(int64(at))
	// The wait for the copy may have taken most of the time for which the first look counts.
	if at, end, err = f.lookAtEnd(ctx); err == nil && f.through.Load() >= end {
		f.currentAt.Store(int64(at))
	}
	if copyErr == nil {
		f.storeCopy(ctx)
	}
	return nil
}

// lookAtEnd returns the end of the control topic and a time at which it was not larger.
func (f *controlFeed) lookAtEnd(ctx context.Context) (at time.Duration, end int64, err error) {
	at = f.now()
	if end, err = f.store.End(ctx, f.layout.Control); err != nil {
		return at, 0, errors.Wrap(err, "look at the end of the control topic")
	}
	f.noteRead() // not every store reports progress
	if took := f.now() - at; f.latency == 0 || took < f.latency {
		f.latency = took
	}
	f.end.Store(end)
	return at, end, nil
}

// wait waits for the next round, and for changes meanwhile. The daemon that copies waits for a change of the control topic,
// others for one of the copy.
func (f *controlFeed) wait(ctx context.Context) {
	if f.leads() {
		// An error shows in the next round.
		if f.original.Poll(ctx, controlPollInterval) == nil {
			f.noteRead()
			f.through.Store(f.original.Next())
			f.storeCopy(ctx)
		}
		return
	}
	until := f.now() + controlPollInterval*3/4 + rand.N(controlPollInterval/4)
	for left := until - f.now(); left > 0 && ctx.Err() == nil; left = until - f.now() {
		if f.copyFailed = f.awaitCopy(ctx, left) != nil; f.copyFailed {
			ctxtime.Sleep(ctx, until-f.now())
		}
	}
}

// awaitCopy reads the copy and gives up soon if there is no response, since it is not known whether there is anything to read.
func (f *controlFeed) awaitCopy(ctx context.Context, wait time.Duration) error {
	outer := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(wait+copyMargin, cancel)
	defer timer.Stop()
	return f.copies.Poll(keyedlog.WithProgress(ctx, func(n int) {
		timer.Stop()
		keyedlog.ReportProgress(outer, n)
	}), wait)
}

func (f *controlFeed) noteRead() { f.readAt.Store(int64(f.now())) }

// readOriginal reads the operators' records before an offset.
func (f *controlFeed) readOriginal(ctx context.Context, end int64) error {
	f.originalReads.Inc()
	for f.original.Next() < end {
		next := f.original.Next()
		// A list has the newest configuration alone; single records would include those that are out of date.
		read := func(ctx context.Context) error { return f.original.Poll(ctx, 0) }
		if end-next > 1 {
			read = f.original.Load
		}
		if err := read(ctx); err != nil {
			return err
		}
		f.noteRead()
		if f.original.Next() == next {
			return errors.Errorf("the control topic ends at %d, but has no record at %d", end, next)
		}
	}
	f.through.Store(f.original.Next())
	return nil
}

// waitForCopy reads the copy until it includes all control records before an offset. It returns false if that takes too
// long, or with an error if the copy can't be read.
func (f *controlFeed) waitForCopy(ctx context.Context, end int64) (bool, error) {
	if f.through.Load() >= end {
		return true, nil
	}
	limit := copyWait + rand.N(copyWaitJitter)
	if f.latency > maxSameRegionLatency {
		limit += remoteCopyWait - copyWait
	}
	if f.leads() || f.copyFailed {
		limit = 0
	}
	for deadline := f.now() + limit; ; {
		before := f.through.Load()
		if err := f.copies.Poll(ctx, min(max(deadline-f.now(), 0), controlPollInterval)); err != nil {
			return f.through.Load() >= end, err
		}
		f.noteRead()
		switch through := f.through.Load(); {
		case through >= end:
			return true, nil
		case through > before:
			deadline = f.now() + limit // the copy lags behind but moves
		}
		if f.now() >= deadline || f.copyErr != nil {
			return false, nil
		}
	}
}

// applyCopy applies records of the copy.
func (f *controlFeed) applyCopy(records []keyedlog.Record, _ bool) {
	f.copyErr = f.copied.Apply(records)
	if doc, through := f.copied.Newest(); through > f.original.Next() {
		f.control.applyDocument(doc)
		f.original.SkipTo(through)
		f.through.Store(through)
	}
}

// storeCopy stores a copy of the configuration in force, unless there is one that takes as many control records into
// account. Without success, the next daemon that misses the copy stores one.
func (f *controlFeed) storeCopy(ctx context.Context) {
	for range copyAttempts {
		doc, through := f.control.document(), f.original.Next()
		if _, copied := f.copied.Newest(); copied >= through || doc.Content == nil {
			return
		}
		if f.copies.Poll(ctx, 0) != nil {
			return
		}
		if _, copied := f.copied.Newest(); copied >= through {
			return
		}
		at := f.copies.Next()
		records, err := f.copied.Update(doc, through, at)
		if err == nil {
			_, err = f.store.Append(ctx, keyedlog.Append{Partition: configcopy.Partition, Records: records, At: &at})
		}
		if err == nil {
			f.copiesStored.Inc()
		}
		if !errors.Is(err, keyedlog.ErrOffsetMismatch) {
			f.logCopy(err)
			return
		}
	}
}
