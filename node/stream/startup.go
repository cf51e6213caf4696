package stream

import (
	"context"
	"sort"
	"time"

	"github.com/pkg/errors"

	"waxwingslip.example/core/record"
	"waxwingslip.example/external/logstore"
)

// firstSearchEntries is how many entries before the end are searched for a snapshot first; the usual distance
// between snapshots is half of it.
const firstSearchEntries = 2 * DefaultSnapshotRecords

// maxCandidates bounds the complete snapshots held while searching; an older one is used if the newest is corrupt.
const maxCandidates = 3

// load builds the state from the newest complete snapshot, or from offset 1 if nothing has expired.
func (f *Follower) load(ctx context.Context) error {
	page, err := f.read(ctx, 1, 1, 0)
	if err != nil && !errors.Is(err, logstore.ErrExpired) {
		return err
	}
	first := max(page.First, 1)
	for window := int64(firstSearchEntries); ; window *= 4 {
		from := max(first, page.End-window)
		found, err := f.findSnapshots(ctx, from, first, page.End)
		if err != nil {
			return err
		}
		if f.restoreNewest(found) {
			return nil
		}
		if from == first {
			break
		}
	}
	if first > 1 {
		return f.stepError("load", ErrNoSnapshot, errors.Errorf("entries below %d have expired", first))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.next == 0 {
		f.next = 1
		f.snapshotSeenAt = time.Now()
		f.markReachable()
	}
	return nil
}

// reload replaces the state after entries that were not read have expired.
func (f *Follower) reload(ctx context.Context) error {
	f.opts.Log.Warn().Str("step", "read").Str("stream", f.opts.Stream).Int64("offset", f.Next()).
		Msg("entries expired before they were read; state is loaded from a snapshot")
	return f.load(ctx)
}

// findSnapshots returns the newest complete snapshots in [from, end) after which nothing has expired, the newest first.
func (f *Follower) findSnapshots(ctx context.Context, from, first, end int64) ([]*completeSnapshot, error) {
	var parts snapshotAssembler
	var found []*completeSnapshot
	for from < end {
		page, err := f.read(ctx, from, f.opts.MaxEntries, 0)
		if err != nil {
			return nil, err
		}
		if len(page.Entries) == 0 {
			break
		}
		for _, e := range page.Entries {
			if c := scanEntry(&parts, e); c != nil && c.covers+1 >= first {
				found = append(found, c)
			}
		}
		sort.SliceStable(found, func(i, j int) bool { return found[i].covers > found[j].covers })
		found = found[:min(len(found), maxCandidates)]
		from = page.Entries[len(page.Entries)-1].Offset + 1
	}
	return found, nil
}

// scanEntry returns the snapshot that the entry completes, or nil. Entries that are not valid snapshot parts are
// ignored here and counted when they are applied.
func scanEntry(parts *snapshotAssembler, e logstore.Entry) *completeSnapshot {
	rec, err := record.Decode(e.Payload)
	if err != nil {
		return nil
	}
	s, ok := snapshotOf(rec.Body)
	if !ok {
		return nil
	}
	c, err := parts.add(e.Offset, s)
	if err != nil {
		return nil
	}
	return c
}

// restoreNewest restores the newest snapshot that the machine accepts.
func (f *Follower) restoreNewest(found []*completeSnapshot) bool {
	for _, c := range found {
		if err := f.restore(c); err != nil {
			f.mu.Lock()
			f.reportDropped("snapshot", c.covers, err)
			f.mu.Unlock()
			continue
		}
		return true
	}
	return false
}

// restore replaces the state by the snapshot unless the state is at least as new.
func (f *Follower) restore(c *completeSnapshot) error {
	state, err := unpack(c.packed)
	if err != nil {
		return err
	}
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	f.mu.Lock()
	if c.covers < f.next {
		f.mu.Unlock()
		return nil
	}
	if err := f.machine.Restore(state); err != nil {
		f.mu.Unlock()
		return errors.Wrap(err, "restore snapshot")
	}
	f.next = c.covers + 1
	f.tail.reset()
	f.snapshotOffset, f.snapshotSeenAt = c.covers, time.Now()
	f.settleAllUnknown()
	f.notifyProgress()
	f.mu.Unlock()
	f.opts.Restores.Add(1)
	f.opts.Log.Info().Str("step", "load").Str("stream", f.opts.Stream).Int64("offset", c.covers).Msg("state restored")
	f.publish(Batch{Restored: true})
	return nil
}

// addSnapshotPart tracks the newest complete snapshot that this or another daemon wrote. The caller holds mu.
func (f *Follower) addSnapshotPart(offset int64, s record.Snapshot) {
	c, err := f.parts.add(offset, s)
	if err != nil {
		f.reportDropped("snapshot part", offset, err)
		return
	}
	if c != nil && c.covers > f.snapshotOffset {
		f.snapshotOffset, f.snapshotSeenAt = c.covers, time.Now()
	}
}
