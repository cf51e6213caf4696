package stream

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"waxwingslip.example/core/record"
	"waxwingslip.example/external/fault"
	"waxwingslip.example/external/logstore"
	"waxwingslip.example/node/ctxtime"
)

// appendRecords appends records to the log without an Appender.
func appendRecords(t *testing.T, store *testStore, bodies ...record.Body) {
	for _, b := range bodies {
		payload, err := record.Encode(record.New(uuid.New(), b))
		is.New(t).NoErr(err)
		_, err = store.Append(t.Context(), testStream, [][]byte{payload})
		is.New(t).NoErr(err)
	}
}

// snapshotParts returns the snapshot records of the node's present state.
func snapshotParts(t *testing.T, n *node) []record.Body {
	covers, packed, err := n.f.Export()
	is.New(t).NoErr(err)
	parts, err := split(covers, packed)
	is.New(t).NoErr(err)
	var out []record.Body
	for _, p := range parts {
		out = append(out, snapshotBody(record.KindZoneSnapshot, p))
	}
	return out
}

// Each row is a log that a daemon finds at its start. The daemon must reach the state of one that read
// everything, or report that it cannot.
func TestStartUp(t *testing.T) {
	const padding = 300 << 10 // three parts
	rows := []struct {
		name string
		fill func(t *testing.T, store *testStore, old *node)
		ok   bool
	}{
		{"empty", func(*testing.T, *testStore, *node) {}, true},
		{"nothing expired", func(t *testing.T, store *testStore, _ *node) {
			appendRecords(t, store, cancelJob("a"), cancelJob("b"))
		}, true},
		{"expired, records between and after the parts", func(t *testing.T, store *testStore, old *node) {
			appendRecords(t, store, cancelJob("a"), cancelJob("b"))
			time.Sleep(time.Second)
			parts := snapshotParts(t, old)
			appendRecords(t, store, cancelJob("c"), parts[0], cancelJob("d"), parts[2], parts[1], cancelJob("e"))
			store.expire(3)
		}, true},
		{"newest snapshot interrupted between parts", func(t *testing.T, store *testStore, old *node) {
			appendRecords(t, store, cancelJob("a"))
			time.Sleep(time.Second)
			appendRecords(t, store, snapshotParts(t, old)...)
			appendRecords(t, store, cancelJob("b"))
			time.Sleep(time.Second)
			appendRecords(t, store, snapshotParts(t, old)[:2]...)
			appendRecords(t, store, cancelJob("c"))
			store.expire(2)
		}, true},
		{"two writers interleaved, one dies", func(t *testing.T, store *testStore, old *node) {
			appendRecords(t, store, cancelJob("a"))
			time.Sleep(time.Second)
			first := snapshotParts(t, old)
			appendRecords(t, store, cancelJob("b"))
			time.Sleep(time.Second)
			second := snapshotParts(t, old)
			appendRecords(t, store, first[0], second[0], first[1], second[1], first[2], cancelJob("c"))
			store.expire(2)
		}, true},
		{"newest snapshot corrupt", func(t *testing.T, store *testStore, old *node) {
			appendRecords(t, store, cancelJob("a"))
			time.Sleep(time.Second)
			appendRecords(t, store, snapshotParts(t, old)...)
			time.Sleep(time.Second)
			bad, err := split(3, []byte("no deflate stream"))
			is.New(t).NoErr(err)
			appendRecords(t, store, snapshotBody(record.KindZoneSnapshot, bad[0]), cancelJob("b"))
			store.expire(2)
		}, true},
		{"snapshot older than what is left", func(t *testing.T, store *testStore, old *node) {
			appendRecords(t, store, cancelJob("a"))
			time.Sleep(time.Second)
			parts := snapshotParts(t, old)
			appendRecords(t, store, cancelJob("b"))
			appendRecords(t, store, parts...)
			store.expire(3)
		}, false},
		{"no snapshot", func(t *testing.T, store *testStore, _ *node) {
			appendRecords(t, store, cancelJob("a"), cancelJob("b"))
			store.expire(2)
		}, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := newTestStore()
				old := startNode(t, store)
				old.f.View(func() { old.m.Padding = incompressibleBytes(padding) })
				row.fill(t, store, old)
				time.Sleep(5 * time.Second)
				fresh := startNode(t, store)
				time.Sleep(5 * time.Second)
				is.Equal(fresh.f.Ready(), row.ok)
				is.Equal(fresh.f.lastFailure == "", row.ok)
				if row.ok {
					is.Equal(fresh.jobs(), old.jobs())
					is.Equal(fresh.f.Next(), old.f.Next())
				}
			})
		})
	}
}

// Guards against a reader that skips records which expired while it was not reading.
func TestRecordsExpireBeforeRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newTestStore()
		n, peer := startNode(t, store), startNode(t, store)
		restored := 0
		appendRecords(t, store, cancelJob("a"))
		time.Sleep(time.Second)
		lagging := NewFollower(store, newLogMachine(), FollowerOptions{Stream: testStream})
		lagging.Subscribe(func(b Batch) {
			if b.Restored {
				restored++
			}
		})
		is.NoErr(lagging.step(t.Context()))
		is.NoErr(lagging.step(t.Context()))
		is.Equal(lagging.Next(), int64(2))
		appendRecords(t, store, cancelJob("b"), cancelJob("c"))
		time.Sleep(time.Second)
		appendRecords(t, store, snapshotParts(t, peer)...)
		expiredWaiter := newWaiter()
		lagging.addWaiter(uuid.New(), expiredWaiter)
		store.expire(4)
		is.NoErr(lagging.step(t.Context())) // finds that offset 2 has expired
		is.NoErr(lagging.step(t.Context()))
		time.Sleep(time.Second)
		is.Equal(restored, 1)
		is.True(errors.Is((<-expiredWaiter.done).err, ErrUnknown)) // its record may be among those that expired
		is.Equal(lagging.Next(), n.f.Next())
		is.Equal(lagging.machine.(*logMachine).Jobs, n.jobs())
	})
}

// slowStore delays each page by the time that its payloads need at a rate in bytes per second.
type slowStore struct {
	logstore.Store
	rate int
}

func (s *slowStore) Read(ctx context.Context, stream string, from int64, count int, wait time.Duration) (logstore.Page, error) {
	page, err := s.Store.Read(ctx, stream, from, count, wait)
	size := 0
	for _, e := range page.Entries {
		size += len(e.Payload)
	}
	if !ctxtime.Sleep(ctx, time.Duration(size)*time.Second/time.Duration(s.rate)) {
		return logstore.Page{}, ctx.Err()
	}
	return page, err
}

// Guards against a follower that never catches up, since the page of what it missed doesn't arrive in time and is read
// again.
func TestFollowerBehindSlowLinkCatchesUp(t *testing.T) {
	for name, c := range map[string]struct{ records, size int }{
		"many entries":       {records: 400, size: 1 << 10},
		"one large entry":    {records: 1, size: logstore.MaxPayloadBytes},
		"some large entries": {records: 5, size: 100 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := newTestStore()
				payloads := make([][]byte, c.records)
				for i := range payloads {
					payloads[i] = bytes.Repeat([]byte{0xff}, c.size) // entries that can't be decoded are skipped
				}
				_, err := store.Append(t.Context(), testStream, payloads)
				is.NoErr(err)
				f := NewFollower(&slowStore{store, minLogRate}, newLogMachine(), FollowerOptions{Stream: testStream})
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				_ = f.Run(ctx)
				is.Equal(f.Next(), int64(c.records)+1)
			})
		})
	}
}

// Guards against a corrupt entry that stops every reader of the stream.
func TestCorruptEntryIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newTestStore()
		n := startNode(t, store)
		for _, bad := range [][]byte{nil, {0xff}, []byte("text"), make([]byte, record.MaxEncodedBytes), {0x83, 0x40, 0x18, 0xfe, 0xa0}} {
			_, err := store.Append(t.Context(), testStream, [][]byte{bad})
			is.NoErr(err)
		}
		appendRecords(t, store, cancelJob("a"))
		time.Sleep(time.Second)
		is.Equal(n.jobs(), []string{"a"})
		is.Equal(len(n.f.loggedCategories), 2) // unreadable entries and kind 254
	})
}

// Guards against a daemon that counts as current after the log lost entries that it had applied.
func TestLogLosesEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := startNode(t, newTestStore())
		time.Sleep(time.Second)
		is.NoErr(n.f.Import(7, mustPack(t, n)))
		is.Equal(n.f.Next(), int64(8))
		time.Sleep(2 * time.Second)
		lossTime := time.Now()
		time.Sleep(10 * time.Second)
		is.True(!n.f.Reachable())
		is.True(n.f.CurrentAsOf().Before(lossTime))
	})
}

func emptyState(t *testing.T) []byte {
	state, err := newLogMachine().Snapshot()
	is.New(t).NoErr(err)
	packed, err := pack(state)
	is.New(t).NoErr(err)
	return packed
}

func mustPack(t *testing.T, n *node) []byte {
	_, packed, err := n.f.Export()
	is.New(t).NoErr(err)
	return packed
}

// Guards against a daemon that counts as current because an old read returned late: the time of a read is when it
// was sent.
func TestFreshness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newTestStore()
		// The delay keeps the first response from arriving before the checks that the state is not current yet.
		store.Faults.Set(fault.Setting{ResponseDelayMs: 1500})
		startTime := time.Now()
		n := startNode(t, store)
		is.True(n.f.CurrentAsOf().IsZero())
		time.Sleep(time.Second)
		is.True(n.f.CurrentAsOf().IsZero())
		store.Faults.Set(fault.Setting{})
		time.Sleep(3 * time.Second)
		is.True(!n.f.CurrentAsOf().Before(startTime))
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			is.True(time.Since(n.f.CurrentAsOf()) <= 2100*time.Millisecond)
		}
		store.down(true)
		outageStart := time.Now()
		time.Sleep(10 * time.Second)
		is.True(!n.f.Reachable())
		is.True(!n.f.CurrentAsOf().After(outageStart))
		store.Faults.Set(fault.Setting{ResponseDelayMs: 1500})
		time.Sleep(10 * time.Second)
		is.True(n.f.Reachable())
		is.True(time.Since(n.f.CurrentAsOf()) >= 1500*time.Millisecond)
	})
}

// Each row is a response of a peer to a daemon that has applied offsets 1 and 2 and cannot reach the log.
func TestApplyRelayed(t *testing.T) {
	entry := func(offset int64, job string) logstore.Entry {
		payload, err := record.Encode(record.New(uuid.New(), cancelJob(job)))
		is.New(t).NoErr(err)
		return logstore.Entry{Offset: offset, Payload: payload}
	}
	rows := []struct {
		name  string
		relay RelayedEntries
		next  int64
		gap   bool
		fresh bool
	}{
		{"nothing new", RelayedEntries{End: 3, Age: time.Second}, 3, false, true},
		{"peer behind", RelayedEntries{End: 2, Age: time.Second}, 3, false, true},
		{"overlap", RelayedEntries{Entries: []logstore.Entry{entry(2, "x"), entry(3, "c")}, End: 4, Age: time.Second},
			4, false, true},
		{"gap at the start", RelayedEntries{Entries: []logstore.Entry{entry(4, "d")}, End: 5, Age: 0}, 3, true, false},
		{"gap inside", RelayedEntries{Entries: []logstore.Entry{entry(3, "c"), entry(5, "e")}, End: 6, Age: 0},
			4, true, false},
		{"more to fetch", RelayedEntries{Entries: []logstore.Entry{entry(3, "c")}, End: 9, Age: 0}, 4, false, false},
		{"peer never current", RelayedEntries{End: 3, Age: -1}, 3, false, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := newTestStore()
				n := startNode(t, store)
				appendRecords(t, store, cancelJob("a"), cancelJob("b"))
				time.Sleep(time.Second)
				store.down(true)
				time.Sleep(30 * time.Second)
				sent := time.Now()
				time.Sleep(200 * time.Millisecond)
				err := n.f.ApplyRelayed(row.relay, sent)
				var gap *GapError
				is.Equal(errors.As(err, &gap), row.gap)
				is.Equal(n.f.Next(), row.next)
				is.Equal(n.f.CurrentAsOf().Equal(sent.Add(-row.relay.Age)), row.fresh)
			})
		})
	}
}

// Guards against a daemon that starts during an outage of the log and serves without the newest configuration
// although a peer has it.
func TestImportFromPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newTestStore()
		peer := startNode(t, store)
		appendRecords(t, store, cancelJob("a"))
		time.Sleep(time.Second)
		store.down(true)
		n := startNode(t, store)
		_, err := n.a.Submit(within(t, time.Second), cancelJob("x"))
		is.True(err != nil)
		is.True(errors.Is(n.f.ApplyRelayed(RelayedEntries{End: 2}, time.Now()), ErrNotReady))
		covers, packed, err := peer.f.Export()
		is.NoErr(err)
		is.NoErr(n.f.Import(covers, packed))
		is.Equal(n.jobs(), []string{"a"})
		next := n.f.Next()
		is.NoErr(n.f.Import(0, emptyState(t)))
		is.Equal(n.f.Next(), next) // an older state is ignored
		is.Equal(n.jobs(), []string{"a"})
		relay, ok := peer.f.Tail(n.f.Next(), 1<<20)
		is.True(ok)
		is.NoErr(n.f.ApplyRelayed(relay, time.Now()))
		is.True(!n.f.CurrentAsOf().IsZero())
	})
}

// Guards against a stream whose only snapshot expires, and against daemons that all write the same one.
func TestSnapshotter(t *testing.T) {
	rows := []struct {
		name   string
		mine   []bool
		limits SnapshotterOptions
		want   int64 // snapshots written after 30 records
	}{
		{"one chosen", []bool{true, false}, SnapshotterOptions{Records: 10}, 1},
		{"both chosen", []bool{true, true}, SnapshotterOptions{Records: 10}, 1},
		{"chosen one does nothing", []bool{false, false}, SnapshotterOptions{Records: 10}, 1},
		{"not yet", []bool{true, true}, SnapshotterOptions{Records: 100}, 0},
		{"expiring", []bool{true, false}, SnapshotterOptions{Records: 100, MaxAge: 5 * time.Minute}, 1},
		{"old", []bool{true, false}, SnapshotterOptions{Records: 100, MaxAge: 10 * time.Second}, 1},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := newTestStore()
				var nodes []*node
				for _, mine := range row.mine {
					n := startNode(t, store)
					nodes = append(nodes, n)
					opts := row.limits
					opts.IsWriter = func() bool { return mine }
					ctx, cancel := context.WithCancel(t.Context())
					done := make(chan struct{})
					go func() { defer close(done); _ = NewSnapshotter(n.f, n.a, opts).Run(ctx) }()
					t.Cleanup(func() { cancel(); <-done })
				}
				time.Sleep(time.Second)
				for range 30 {
					appendRecords(t, store, cancelJob("a"))
				}
				if row.name == "expiring" {
					time.Sleep(time.Second)
					store.expire(25)
				}
				time.Sleep(20 * time.Second)
				for _, n := range nodes {
					is.Equal(n.f.snapshotCovers(30), row.want > 0)
				}
				is.True(nodes[0].f.Next() <= 31+row.want*int64(len(row.mine)))
			})
		})
	}
}
