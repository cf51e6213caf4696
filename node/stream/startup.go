package stream

import (
	"context"
	"sort"
	"time"

	"github.com/pkg/errors"

	"waxwingslip.example/core/record"
	"waxwingslip.example/external/logstore"
)

// firstWindow is how many entries before the end are searched for a snapshot first; the usual distance
// between snapshots is half of it.
const firstWindow = 2 * DefaultSnapshotRecords

// keptCandidates bounds the complete snapshots held while searching; older ones serve if the newest is corrupt.
const keptCandidates = 3

// load builds the state from the newest complete snapshot, or from offset 1 if nothing has expired.
func (f *Follower) load(ctx context.Context) error {
	page, err := f.read(ctx, 1, 1, 0)
	if err != nil && !errors.Is(err, logstore.ErrExpired) {
		return err
	}
	first := max(page.First, 1)
	for window := int64(firstWindow); ; window *= 4 {
		from := max(first, page.End-window)
		found, err := f.search(ctx, from, first, page.End)
		if err != nil {
			return err
		}
		if f.restoreAny(found) {
			return nil
		}
		if from == first {
			break
		}
	}
	if first > 1 {
		return f.fail("load", ErrNoSnapshot, errors.Errorf("entries below %d have expired", first))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.next == 0 {
		f.next = 1
		f.coveredAt = time.Now()
		f.noteReachable()
	}
	return nil
}

// reload replaces the state after entries that were not read have expired.
func (f *Follower) reload(ctx context.Context) error {
	f.opts.Log.Warn().Str("step", "read").Str("stream", f.opts.Stream).Int64("offset", f.Next()).
		Msg("entries expired before they were read; state is loaded from a snapshot")
	return f.load(ctx)
}

// search returns the complete snapshots in [from, end) after which nothing has expired, the newest first.
func (f *Follower) search(ctx context.Context, from, first, end int64) ([]*complete, error) {
	var parts assembler
	var found []*complete
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
		found = found[:min(len(found), keptCandidates)]
		from = page.Entries[len(page.Entries)-1].Offset + 1
	}
	return found, nil
}

// scanEntry ignores what is no valid snapshot part; such entries are counted when they are applied.
func scanEntry(parts *assembler, e logstore.Entry) *complete {
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

// restoreAny restores the newest snapshot that the machine accepts.
func (f *Follower) restoreAny(found []*complete) bool {
	for _, c := range found {
		if err := f.restore(c); err != nil {
			f.mu.Lock()
			f.dropped("snapshot", c.covers, err)
			f.mu.Unlock()
			continue
		}
		return true
	}
	return false
}

// restore replaces the state, unless it is at least as new as the snapshot.
func (f *Follower) restore(c *complete) error {
	state, err := unpack(c.packed)
	if err != nil {
		return err
	}
	f.applying.Lock()
	defer f.applying.Unlock()
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
	f.covered, f.coveredAt = c.covers, time.Now()
	f.resolveAll()
	f.wake()
	f.mu.Unlock()
	f.opts.Restores.Add(1)
	f.opts.Log.Info().Str("step", "load").Str("stream", f.opts.Stream).Int64("offset", c.covers).Msg("state restored")
	f.publish(Batch{Restored: true})
	return nil
}

// noteSnapshot follows the snapshots that this and other daemons write. It is called with mu held.
func (f *Follower) noteSnapshot(offset int64, s record.Snapshot) {
	c, err := f.parts.add(offset, s)
	if err != nil {
		f.dropped("snapshot part", offset, err)
		return
	}
	if c != nil && c.covers > f.covered {
		f.covered, f.coveredAt = c.covers, time.Now()
	}
}
