package hosted

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/external/jobqueue"
	"waxwingslip.example/external/keyedlog"
	storefake "waxwingslip.example/external/keyedlog/fake"
	"waxwingslip.example/node/shard"
)

// started returns a daemon that has read nothing yet.
func started(store keyedlog.Store) *Daemon {
	set := &Settings{Name: "d", VM: VM{Cores: 0.2}, Store: StoreLimits{Partitions: 8}, Bounds: Bounds{HoldMaxMs: 6000, HarmMs: 4000}}
	return New(set, Outside{Store: store, Now: func() time.Duration { return time.Hour }}, zerolog.Nop())
}

// Guards against a cancelling that goes to the wrong shard, where nobody finds it, because the daemon that took it has
// just started and does not know the number of shards (sacudi-lima-grown trouble-2, UNASKED 44).
func TestStartingDaemonRefuses(t *testing.T) {
	is := is.New(t)
	store := storefake.New()
	in := &intake{started(store.As("d"))}
	var refused *jobqueue.RefusedError
	is.True(errors.As(in.Cancel(t.Context(), "5c0e7a21d94b36f8"), &refused))
	is.True(errors.As(in.Submit(t.Context(), &jobs.Spec{ID: "5c0e7a21d94b36f8"}), &refused))
	_, err := in.State(t.Context(), "5c0e7a21d94b36f8")
	is.True(errors.As(err, &refused))
	_, err = in.Waiting(t.Context(), "q")
	is.True(errors.As(err, &refused))
	for n := range 8 {
		page, err := store.As("t").Newest(t.Context(), keyedlog.Partition{Topic: shard.JobsTopic, Number: n}, "")
		is.NoErr(err)
		is.Equal(page.End, int64(0))
	}
}

// Guards against a refusal that is no longer true, and a refusal where the effect of a command is open.
func TestSubmitSaysWhatIsKnown(t *testing.T) {
	cases := []struct {
		name    string
		fault   storefake.Fault
		refused bool
		open    bool
	}{
		{"stored", storefake.Fault{}, false, false},
		{"store refuses", storefake.Fault{Refuse: true}, true, false},
		{"answers lost", storefake.Fault{LoseAnswer: true}, false, true},
		{"comes late", storefake.Fault{Late: 10 * time.Millisecond}, false, true},
		{"silent", storefake.Fault{Silent: true}, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			store := storefake.New()
			store.SetFault(func(_, method string, _ keyedlog.Partition) storefake.Fault { return c.fault })
			d := started(store.As("d"))
			d.shardTotal.Store(2)
			err := (&intake{d}).Submit(t.Context(), &jobs.Spec{ID: "5c0e7a21d94b36f8"})
			var refused *jobqueue.RefusedError
			is.Equal(errors.As(err, &refused), c.refused)
			is.Equal(errors.Is(err, jobqueue.ErrUncertain), c.open)
			is.Equal(err == nil, !c.refused && !c.open)
			if c.refused {
				is.True(refused.RetryAfter > 0)
			}
		})
	}
}

// Guards against an older configuration that comes into force when the topic is listed anew, and a zone that stays out.
func TestControl(t *testing.T) {
	is := is.New(t)
	c := newControl(Layout{ConfigKey: "config", EvacuatedPrefix: "evacuate/",
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
	is.True(c.Evacuated("z1"))
	set(false, "evacuate/z1", "")
	is.True(!c.Evacuated("z1"))
	set(false, "evacuate/z2", "{}")
	set(true, "config", "6") // listed anew, without the zone
	is.True(!c.Evacuated("z2"))
}

// Guards against a request that a draining daemon took and cuts off without an answer, since its owner or the store was
// tried for longer than the daemon had left (sacudi-lima-grown hunt-db29-7, LOST).
func TestDrainingDaemonAnswersInTime(t *testing.T) {
	is := is.New(t)
	store := storefake.New()
	store.SetFault(func(string, string, keyedlog.Partition) storefake.Fault { return storefake.Fault{Refuse: true} })
	d := started(store.As("d"))
	begun := time.Now()
	d.now = func() time.Duration { return time.Hour + time.Since(begun) }
	d.shardTotal.Store(1)
	d.storeSeen.Store(int64(time.Hour))
	const left = 600 * time.Millisecond
	d.closesAt.Store(int64(time.Hour + left))
	var refused *jobqueue.RefusedError
	is.True(errors.As((&intake{d}).Submit(t.Context(), &jobs.Spec{ID: "5c0e7a21d94b36f8"}), &refused))
	_, err := (&intake{d}).State(t.Context(), "5c0e7a21d94b36f8")
	is.True(errors.As(err, &refused))
	is.True(time.Since(begun) < left) // queryTimeLimit alone is longer
}

// Guards against queries that a daemon without the store holds for the whole of their time, though it cannot learn of an
// owner (sacudi-lima inc-c754).
func TestBlindDaemonRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	d := started(storefake.New().As("d"))
	begun := time.Now()
	d.now = func() time.Duration { return time.Hour + time.Since(begun) }
	d.shardTotal.Store(1)
	d.storeSeen.Store(int64(time.Hour - 2*unreachableAge))
	_, err := (&intake{d}).State(t.Context(), "5c0e7a21d94b36f8")
	var refused *jobqueue.RefusedError
	is.True(errors.As(err, &refused))
	is.True(time.Since(begun) < queryTimeLimit/2)
}
