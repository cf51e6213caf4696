package ledger_test

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/external/keyedlog"
	storefake "waxwingslip.example/external/keyedlog/fake"
	"waxwingslip.example/node/ledger"
)

// Guards against a follower that never catches up, since what it missed doesn't arrive within the time limit of one read,
// is discarded and read again.
func TestFollowerBehindSlowLinkCatchesUp(t *testing.T) {
	for name, c := range map[string]struct {
		rate    int64 // bytes per second
		missed  int   // records
		listing bool  // the follower has read nothing before
	}{
		"several records that are too large together": {rate: 250 << 10, missed: 3},
		"one record that is too large alone":          {rate: 50 << 10, missed: 1},
		"list of the newest records":                  {rate: 50 << 10, missed: 1, listing: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := keyedlog.Partition{Topic: "keyed.t"}
				store := storefake.New()
				link := storefake.NewLink(c.rate)
				store.SetFault(func(caller, _ string, _ keyedlog.Partition) storefake.Fault {
					if caller == "d" {
						return storefake.Fault{Link: link}
					}
					return storefake.Fault{}
				})
				f := ledger.NewFollower(ledger.NewTimedStore(store.As("d")), p, func([]keyedlog.Record, bool) {})
				if !c.listing {
					is.NoErr(f.Load(t.Context()))
				}
				for range c.missed {
					_, err := store.As("operator").Append(t.Context(), keyedlog.Append{Partition: p,
						Records: []keyedlog.Record{{Key: "config", Value: bytes.Repeat([]byte("r"), 321<<10)}}})
					is.NoErr(err)
				}
				// Twice the time that the link needs for all of it.
				needed := time.Duration(c.missed) * 428 << 10 * time.Second / time.Duration(c.rate)
				ctx, cancel := context.WithTimeout(t.Context(), 2*needed)
				defer cancel()
				f.Run(ctx, time.Second, 0, func(error) {
					if f.Next() == int64(c.missed) {
						cancel()
					}
				})
				is.Equal(f.Next(), int64(c.missed))
			})
		})
	}
}

// Guards against an append that is cut off for its size at each attempt, so that nothing after it is ever stored.
func TestLargeAppendBehindSlowLinkEnds(t *testing.T) {
	p := keyedlog.Partition{Topic: "keyed.t"}
	records := []keyedlog.Record{{Key: "job", Value: bytes.Repeat([]byte("r"), 256<<10)}}
	for name, add := range map[string]func(context.Context, *ledger.TimedStore) error{
		"writer": func(ctx context.Context, s *ledger.TimedStore) error {
			return ledger.NewWriter(s, p, "w", 1).Append(ctx, records)
		},
		"at least once": func(ctx context.Context, s *ledger.TimedStore) error {
			return ledger.NewAtLeastOnceAppender(s).Append(ctx, p, records)
		},
		"once": func(ctx context.Context, s *ledger.TimedStore) error {
			_, err := s.Append(ctx, keyedlog.Append{Partition: p, Records: records})
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := storefake.New()
				const rate = 50 << 10
				link := storefake.NewLink(rate)
				store.SetFault(func(string, string, keyedlog.Partition) storefake.Fault { return storefake.Fault{Link: link} })
				// Twice the time that the link needs.
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second*(256<<10)/rate)
				defer cancel()
				is.New(t).NoErr(add(ctx, ledger.NewTimedStore(store.As("d"))))
			})
		})
	}
}

// shortReads returns two records at a time.
type shortReads struct{ keyedlog.Store }

func (s shortReads) Read(ctx context.Context, p keyedlog.Partition, from int64, wait time.Duration) (keyedlog.Batch, error) {
	batch, err := s.Store.Read(ctx, p, from, wait)
	batch.Records = batch.Records[:min(len(batch.Records), 2)]
	return batch, err
}

// Guards against a follower that pauses between the parts of what it missed, and so falls further behind.
func TestFollowerDoesNotPauseWhileBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, store, startedAt := keyedlog.Partition{Topic: "keyed.t"}, storefake.New().As("d"), time.Now()
		f := ledger.NewFollower(ledger.NewTimedStore(shortReads{store}), p, func([]keyedlog.Record, bool) {})
		is.New(t).NoErr(f.Load(t.Context()))
		for range 20 {
			_, err := store.Append(t.Context(), keyedlog.Append{Partition: p, Records: []keyedlog.Record{{Key: "k", Value: []byte("v")}}})
			is.New(t).NoErr(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		f.Run(ctx, 0, time.Second, func(error) {
			if f.Next() == 20 {
				cancel()
			}
		})
		is.New(t).True(time.Since(startedAt) < time.Second)
	})
}
