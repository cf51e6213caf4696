package scheduler

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"waxwingslip.example/core/control"
	"waxwingslip.example/core/record"
	"waxwingslip.example/core/resource"
	"waxwingslip.example/core/zone"
	"waxwingslip.example/node/stream"
)

// lossyZone is a zone replica whose journal drops records while lossy is set.
type lossyZone struct {
	state   *zone.State
	offset  int64
	events  []any
	lossy   bool
	dropped int
	sched   *Scheduler
}

func (z *lossyZone) View(f func(*zone.State)) { f(z.state) }

func (z *lossyZone) Post(body record.Body) {
	if z.lossy {
		z.dropped++
		return
	}
	z.apply(body)
}

func (z *lossyZone) apply(body record.Body) {
	z.offset++
	z.events = nil
	rec := record.Record{ID: uuid.New(), Body: body}
	v := z.state.Apply(z.offset, rec)
	z.sched.ApplyZoneBatch(stream.Batch{Applied: []stream.Applied{{Offset: z.offset, Record: rec,
		Verdict: stream.Verdict{Accepted: v.Accepted, Reason: v.Reason, Events: z.events}}}})
}

type noControl struct{ state *control.State }

func (n noControl) View(f func(*control.State)) { f(n.state) }
func (noControl) Post(record.Body)              {}

type noMetrics struct{}

func (noMetrics) Count(string) {}

// Guards against a task that waits for ever because its bind did not reach the log while no other task was waiting.
func TestLostBindIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &lossyZone{state: zone.New("a")}
		r.state.OnChange(func(c zone.Change) { r.events = append(r.events, c) })
		started := time.Now()
		r.sched = New(Config{Zone: "a", State: r, Control: noControl{control.New(nil)}, Member: func() string { return "m" },
			Metrics: noMetrics{}, Now: func() time.Duration { return time.Since(started) }, Rand: rand.New(rand.NewPCG(1, 2))})
		worker := record.WorkerInfo{ID: "w", Address: "127.0.0.1:1", Capacity: resource.Vector{Slots: 2}}
		shard := zone.ShardOf(worker.ID)
		for _, body := range []record.Body{
			&record.Join{Member: "m"}, &record.Claim{Shard: shard, Epoch: 1, Member: "m"},
			&record.RegisterWorker{Owner: record.Owner{Member: "m", Epoch: 1}, Worker: worker},
			&record.Policy{Version: 1, InService: true},
			&record.Admit{Job: record.JobSpec{ID: "j", Team: "t", Class: "c", Tasks: 1, Size: resource.Vector{Slots: 1}}},
		} {
			r.apply(body)
		}
		r.lossy = true
		r.sched.step()
		is.Equal(r.dropped, 1) // the bind
		r.lossy = false
		for range 100 {
			time.Sleep(planInterval)
			r.sched.step()
		}
		is.Equal(r.state.Task(record.TaskID{Job: "j"}).State, zone.TaskBound)
	})
}
