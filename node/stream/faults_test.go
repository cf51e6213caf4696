package stream

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"waxwingslip.example/external/fault"
	"waxwingslip.example/external/logstore/fake"
)

// randomFault returns a healthy log or one of its failures.
func randomFault(r *rand.Rand) fault.Setting {
	var ops []string
	switch r.IntN(3) {
	case 0:
		ops = []string{fake.OpAppend}
	case 1:
		ops = []string{fake.OpRead}
	}
	switch r.IntN(7) {
	case 0:
		return fault.Setting{Down: true, Operations: ops}
	case 1:
		return fault.Setting{Reject: true, Operations: ops}
	case 2:
		return fault.Setting{LoseResponses: 1 + r.IntN(3), Operations: ops}
	case 3:
		return fault.Setting{DelayMs: r.Int64N(5000), Operations: ops}
	case 4:
		return fault.Setting{ResponseDelayMs: r.Int64N(5000), Operations: ops}
	}
	return fault.Setting{}
}

// outcomes collects what Submit returned for each job.
type outcomes struct {
	mu                             sync.Mutex
	accepted, unknown, notAppended []string
}

func (o *outcomes) add(job string, r Result, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err == nil && r.Accepted:
		o.accepted = append(o.accepted, job)
	case errors.Is(err, ErrNotAppended):
		o.notAppended = append(o.notAppended, job)
	default:
		o.unknown = append(o.unknown, job)
	}
}

// Guards against combinations of log failures after which a record is lost, applied twice or applied although Submit
// returned ErrNotAppended, or after which the states of two daemons differ.
func TestAnyFaults(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := rand.New(rand.NewPCG(seed, 1))
				store, reported := newTestStore(), &outcomes{}
				nodes := []*node{startNode(t, store), startNode(t, store), startNode(t, store)}
				for _, n := range nodes {
					startSnapshotter(t, n)
				}
				var wg sync.WaitGroup
				for i := range 200 {
					time.Sleep(time.Duration(r.IntN(400)) * time.Millisecond)
					if r.IntN(8) == 0 {
						store.Faults.Set(randomFault(r))
					}
					if f := nodes[0].f; r.IntN(10) == 0 {
						store.expire(f.firstNeededOffset())
					}
					job, limit := fmt.Sprint(i), time.Duration(r.IntN(10_000))*time.Millisecond
					n := nodes[r.IntN(len(nodes))]
					wg.Go(func() {
						res, err := n.a.Submit(within(t, limit), cancelJob(job))
						reported.add(job, res, err)
					})
				}
				wg.Wait()
				store.Faults.Set(fault.Setting{})
				time.Sleep(20 * time.Second)
				checkOutcomes(t, append(nodes, startNode(t, store)), reported)
			})
		})
	}
}

func checkOutcomes(t *testing.T, nodes []*node, reported *outcomes) {
	is := is.New(t)
	time.Sleep(5 * time.Second)
	jobs := nodes[0].jobs()
	for _, n := range nodes[1:] {
		is.Equal(n.jobs(), jobs)
		is.Equal(n.m.Sum, nodes[0].m.Sum)
		is.Equal(len(n.f.waiters), 0)
	}
	slices.Sort(jobs)
	is.Equal(len(slices.Compact(slices.Clone(jobs))), len(jobs))
	for _, j := range reported.accepted {
		is.True(slices.Contains(jobs, j))
	}
	for _, j := range reported.notAppended {
		is.True(!slices.Contains(jobs, j))
	}
	is.True(len(reported.accepted) > 20)
	t.Logf("accepted %d, unknown %d, not appended %d",
		len(reported.accepted), len(reported.unknown), len(reported.notAppended))
}

// firstNeededOffset returns the offset below which entries are covered by the newest complete snapshot.
func (f *Follower) firstNeededOffset() int64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.snapshotOffset + 1
}

// startSnapshotter runs a Snapshotter with small limits until the test ends.
func startSnapshotter(t *testing.T, n *node) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = NewSnapshotter(n.f, n.a, SnapshotterOptions{Records: 20, Interval: time.Second}).Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
}
