package hosted

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"waxwingslip.example/core/account"
	"waxwingslip.example/core/jobs"
	"waxwingslip.example/external/jobqueue"
	"waxwingslip.example/external/keyedlog"
	storefake "waxwingslip.example/external/keyedlog/fake"
	"waxwingslip.example/node/peer"
	"waxwingslip.example/node/shard"
)

// newTestDaemon returns a daemon that has read nothing yet.
func newTestDaemon(store keyedlog.Store) *Daemon {
	settings := &Settings{Name: "d", VM: VM{Cores: 0.2}, Store: StoreSettings{Partitions: 8}, Bounds: Bounds{HoldMaxMs: 6000, HarmMs: 4000}}
	return New(settings, Dependencies{Store: store, Now: func() time.Duration { return time.Hour }}, zerolog.Nop())
}

// Guards against a cancel command that is stored in the wrong shard, and so lost, because the daemon that received it
// has just started and does not know the number of shards.
func TestStartingDaemonRefuses(t *testing.T) {
	is := is.New(t)
	store := storefake.New()
	api := &jobAPI{newTestDaemon(store.As("d"))}
	var refused *jobqueue.RefusedError
	is.True(errors.As(api.Cancel(t.Context(), "5c0e7a21d94b36f8", account.Scope{}), &refused))
	is.True(errors.As(api.Submit(t.Context(), &jobs.Spec{ID: "5c0e7a21d94b36f8"}), &refused))
	_, err := api.State(t.Context(), "5c0e7a21d94b36f8", account.Scope{})
	is.True(errors.As(err, &refused))
	_, err = api.Waiting(t.Context(), "q")
	is.True(errors.As(err, &refused))
	for n := range 8 {
		page, err := store.As("t").Newest(t.Context(), keyedlog.Partition{Topic: shard.JobsTopic, Number: n}, "")
		is.NoErr(err)
		is.Equal(page.End, int64(0))
	}
}

// Guards against refusing a command that has been stored or may still be stored.
func TestSubmitReportsUncertainOutcome(t *testing.T) {
	cases := []struct {
		name      string
		fault     storefake.Fault
		refused   bool
		uncertain bool
	}{
		{"stored", storefake.Fault{}, false, false},
		{"store refuses", storefake.Fault{Refuse: true}, true, false},
		{"responses lost", storefake.Fault{LoseResponse: true}, false, true},
		{"comes late", storefake.Fault{Late: 10 * time.Millisecond}, false, true},
		{"silent", storefake.Fault{Hang: true}, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			store := storefake.New()
			store.SetFault(func(_, method string, _ keyedlog.Partition) storefake.Fault { return c.fault })
			d := newTestDaemon(store.As("d"))
			d.shardTotal.Store(2)
			err := (&jobAPI{d}).Submit(t.Context(), &jobs.Spec{ID: "5c0e7a21d94b36f8"})
			var refused *jobqueue.RefusedError
			is.Equal(errors.As(err, &refused), c.refused)
			is.Equal(errors.Is(err, jobqueue.ErrUncertain), c.uncertain)
			is.Equal(err == nil, !c.refused && !c.uncertain)
			if c.refused {
				is.True(refused.RetryAfter > 0)
			}
		})
	}
}

// Guards against an older configuration that replaces a newer one when the topic is listed again, and against a zone
// that stays out of service.
func TestControl(t *testing.T) {
	is := is.New(t)
	c := newControl(Layout{ConfigKey: "config", ZoneOutOfServicePrefix: "evacuate/", CopyConfig: copyTestManifest,
		DecodeConfig: func(v []byte) (*jobqueue.Config, error) {
			if v[0] == 'x' {
				return nil, errors.New("bad")
			}
			return &jobqueue.Config{Version: int64(v[0] - '0')}, nil
		}}, zerolog.Nop())
	is.True(c.Config() == nil)
	set := func(reset bool, key, value string) {
		r := keyedlog.Record{Key: key}
		if value != "" {
			r.Value = []byte(value)
		}
		c.apply([]keyedlog.Record{r}, reset)
	}
	set(false, "config", "5")
	set(true, "config", "3")
	set(false, "config", "x")
	set(false, "config", "")
	is.Equal(c.Config().Version, int64(5))
	set(false, "evacuate/z1", "{}")
	is.True(c.ZoneOutOfService("z1"))
	set(false, "evacuate/z1", "")
	is.True(!c.ZoneOutOfService("z1"))
	set(false, "evacuate/z2", "{}")
	set(true, "config", "6") // listed again, without the zone
	is.True(!c.ZoneOutOfService("z2"))
}

// Guards against a draining daemon that drops a request without a response, because it retried the owner or the store
// for longer than its remaining time.
func TestDrainingDaemonRespondsInTime(t *testing.T) {
	is := is.New(t)
	store := storefake.New()
	store.SetFault(func(string, string, keyedlog.Partition) storefake.Fault { return storefake.Fault{Refuse: true} })
	d := newTestDaemon(store.As("d"))
	start := time.Now()
	d.now = func() time.Duration { return time.Hour + time.Since(start) }
	d.shardTotal.Store(1)
	d.feed.readAt.Store(int64(time.Hour))
	const left = 600 * time.Millisecond
	d.closesAt.Store(int64(time.Hour + left))
	var refused *jobqueue.RefusedError
	is.True(errors.As((&jobAPI{d}).Submit(t.Context(), &jobs.Spec{ID: "5c0e7a21d94b36f8"}), &refused))
	_, err := (&jobAPI{d}).State(t.Context(), "5c0e7a21d94b36f8", account.Scope{})
	is.True(errors.As(err, &refused))
	is.True(time.Since(start) < left) // queryTimeLimit alone is longer
}

// Guards against queries that a daemon holds for their whole time limit although it cannot find an owner while the
// store is unreachable.
func TestQueryFailsFastWithoutStoreAndOwner(t *testing.T) {
	is := is.New(t)
	d := newTestDaemon(storefake.New().As("d"))
	start := time.Now()
	d.now = func() time.Duration { return time.Hour + time.Since(start) }
	d.shardTotal.Store(1)
	d.feed.readAt.Store(int64(time.Hour - 2*unreachableControlAge))
	_, err := (&jobAPI{d}).State(t.Context(), "5c0e7a21d94b36f8", account.Scope{})
	var refused *jobqueue.RefusedError
	is.True(errors.As(err, &refused))
	is.True(time.Since(start) < queryTimeLimit/2)
}

// Guards against a call of another daemon that makes this one give up a shard which it does not own, or that does not
// exist.
func TestMoveOfShardThatIsNotOwned(t *testing.T) {
	is := is.New(t)
	d := newTestDaemon(storefake.New().As("d"))
	for _, n := range []int{0, -1, 99} {
		err := d.handOver(moveRequest{Shard: n, To: "other", Load: 0.1})
		code, _ := peer.CodeOf(err)
		is.Equal(code, codeNotOwner)
	}
	_, _, _, ok := d.chooseMove()
	is.True(!ok)
}
