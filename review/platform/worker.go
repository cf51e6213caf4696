package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	storefake "waxwingslip.example/external/keyedlog/fake"
)

// Bounds of the site ambon-mist.
const (
	heartbeat = 1500 * time.Millisecond
	holdMax   = 6 * time.Second
	stopGrace = 300 * time.Millisecond // the pages allow up to 900 ms
	maxEnds   = 500
)

// step is a step of a job with what its tasks do.
type step struct {
	count, cpu, memMB int
	work              time.Duration
	long              bool
	label             string
	maxPerWorker      int
}

// job is a job that a client hands in.
type job struct {
	id    string
	steps []step
}

func (j *job) wire() []map[string]any {
	var list []map[string]any
	for _, s := range j.steps {
		m := map[string]any{"count": s.count, "cpu": s.cpu, "mem_mb": s.memMB, "estimate_ms": s.work.Milliseconds()}
		if s.long {
			m["long_running"] = true
		}
		if s.label != "" {
			m["required_label"] = s.label
		}
		if s.maxPerWorker > 0 {
			m["max_per_server"] = s.maxPerWorker
		}
		list = append(list, m)
	}
	return list
}

// fleet is all workers with the jobs that clients handed in.
type fleet struct {
	mu      sync.Mutex
	rec     *recorder
	store   *storefake.Store
	workers []*worker
	jobs    map[string]*job
	history []*run
}

// run is a run of a task on a worker.
type run struct {
	task      string
	number    int64
	w         *worker
	step      *step
	startedAt time.Time
	stopAt    time.Time     // zero unless it is being stopped
	from, to  time.Duration // in the time of the record; to is 0 while it runs
}

// worker is a worker stand-in with the interface that the pages describe.
type worker struct {
	f         *fleet
	id        string
	machine   string
	zone      string
	kind      string
	rack      string
	cpu       int
	address   string
	server    *http.Server
	up        bool
	born      time.Time
	fence     int64
	deadline  int64
	runs      map[string]*run
	lastRun   map[string]int64 // highest run stopped or ended, by task
	ends      [][]any
	nextEnd   int64
	changed   chan struct{}
	seq       int
	heardAt   time.Time
	listed    bool
	reachable func(fence int64) bool // which senders reach it; nil for all
	refusing  bool                   // rejects starts as unhealthy
}

func newFleet(rec *recorder, store *storefake.Store) *fleet {
	return &fleet{rec: rec, store: store, jobs: map[string]*job{}}
}

func (f *fleet) know(j *job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[j.id] = j
}

// add starts a worker.
func (f *fleet) add(id, zone, kind, rack string, cpu int) *worker {
	w := &worker{f: f, id: id, machine: "m-" + id, zone: zone, kind: kind, rack: rack, cpu: cpu}
	f.workers = append(f.workers, w)
	w.start()
	return w
}

// start begins a lifetime: the worker holds and knows nothing of before.
func (w *worker) start() {
	address := w.address
	if address == "" {
		address = freeAddress()
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		if l, err = net.Listen("tcp", freeAddress()); err != nil {
			panic(err)
		}
	}
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	w.address, w.up, w.born = l.Addr().String(), true, time.Now()
	w.fence, w.deadline, w.nextEnd, w.ends, w.seq = 0, 0, 1, nil, 0
	w.runs, w.lastRun, w.changed = map[string]*run{}, map[string]int64{}, make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.handle(w.startRun))
	mux.HandleFunc("POST /run-stop", w.handle(w.stopRun))
	mux.HandleFunc("POST /pace", w.handle(func(*request, *http.Request) (int, map[string]any) { return 200, map[string]any{} }))
	mux.HandleFunc("POST /hold", w.handle(w.hold))
	w.server = &http.Server{Handler: mux}
	go func(s *http.Server) { _ = s.Serve(l) }(w.server)
	w.beat()
	w.f.rec.add(w.id, "is up, kind %s, born %d", w.kind, w.born.UnixMilli())
}

// crash ends the lifetime without a word.
func (w *worker) crash() {
	w.f.mu.Lock()
	w.up = false
	for _, r := range w.runs {
		w.close(r, "crashed")
	}
	w.runs = map[string]*run{}
	server := w.server
	w.f.mu.Unlock()
	_ = server.Close()
	w.f.rec.add(w.id, "crashes")
}

// beat writes the worker's entry. The caller holds mu.
func (w *worker) beat() {
	w.seq++
	w.heardAt, w.listed = time.Now(), true
	value, err := json.Marshal(map[string]any{"service": serviceName, "address": w.address, "zone": w.zone, "version": "v1",
		"slots": 8, "state": "ready", "cold_left_ms": 0, "capacity": map[string]int{"cpu": w.cpu, "mem_mb": 250000, "gpu": 0},
		"labels": []string{w.kind, w.rack}, "machine": w.machine, "born": w.born.UnixMilli(), "clock_ms": w.clock(), "seq_no": w.seq})
	if err != nil {
		panic(err)
	}
	put(w.f.store, registryPartition, w.id, value)
}

// clock returns the worker's steady clock in ms.
func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1 }

// request has the fields of all calls.
type request struct {
	Task       string `json:"task"`
	Run        int64  `json:"run_id"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadline_ms"`
	Fence      int64  `json:"fencing_token"`
	Ack        int64  `json:"ack_cursor"`
	WaitMs     int64  `json:"wait_ms"`
}

// handle decodes a call, applies the cut, the expected instance and the fence, and writes the answer. The function is
// called with mu held.
func (w *worker) handle(f func(*request, *http.Request) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var q request
		if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.f.mu.Lock()
		if w.reachable != nil && !w.reachable(q.Fence) {
			w.f.mu.Unlock()
			w.f.rec.add(w.id, "does not get %s %s of epoch %d", r.URL.Path, q.Task, q.Fence)
			<-r.Context().Done()
			return
		}
		status, body := http.StatusMisdirectedRequest, map[string]any{}
		if want := r.Header.Get("X-Expected-Instance"); want == "" || want == w.id {
			if q.Fence < w.fence {
				status, body = http.StatusConflict, map[string]any{"reason": "fence"}
			} else {
				w.fence = q.Fence
				w.tick(time.Now())
				status, body = f(&q, r)
			}
		}
		body["clock_ms"], body["born"] = w.clock(), w.born.UnixMilli()
		lost := w.reachable != nil && !w.reachable(q.Fence)
		w.f.mu.Unlock()
		if lost {
			<-r.Context().Done()
			return
		}
		if r.URL.Path != "/hold" {
			w.f.rec.add(w.id, "%s %s run %d epoch %d: %d %v", r.URL.Path, q.Task, q.Run, q.Fence, status, body["reason"])
		}
		data, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		_, _ = rw.Write(data) // the daemon may have disconnected
	}
}

func conflict(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

// extend extends the lease; it never shortens.
func (w *worker) extend(deadlineMs int64) {
	w.deadline = max(w.deadline, min(deadlineMs, w.clock()+holdMax.Milliseconds()))
}

func (w *worker) startRun(q *request, _ *http.Request) (int, map[string]any) {
	parts := strings.Split(q.Task, ".")
	j := w.f.jobs[parts[0]]
	if len(parts) != 4 || j == nil {
		return http.StatusBadRequest, map[string]any{}
	}
	if w.refusing {
		return http.StatusServiceUnavailable, map[string]any{}
	}
	index, _ := strconv.Atoi(parts[2])
	st := &j.steps[index]
	if q.DeadlineMs <= w.clock() {
		return conflict("late")
	}
	w.extend(q.DeadlineMs)
	if r := w.runs[q.Task]; r != nil && r.number == q.Run {
		return http.StatusOK, map[string]any{}
	} else if r != nil || q.Run <= w.lastRun[q.Task] {
		return conflict("old")
	}
	used := st.cpu
	for _, r := range w.runs {
		used += r.step.cpu
	}
	if used > w.cpu {
		return conflict("room")
	}
	r := &run{task: q.Task, number: q.Run, w: w, step: st, startedAt: time.Now(), from: w.f.rec.now()}
	w.runs[q.Task] = r
	w.f.history = append(w.f.history, r)
	return http.StatusOK, map[string]any{}
}

func (w *worker) stopRun(q *request, _ *http.Request) (int, map[string]any) {
	w.lastRun[q.Task] = max(w.lastRun[q.Task], q.Run)
	if r := w.runs[q.Task]; r != nil && r.number == q.Run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopGrace)
	}
	return http.StatusOK, map[string]any{}
}

func (w *worker) hold(q *request, r *http.Request) (int, map[string]any) {
	if q.DeadlineMs > 0 {
		w.extend(q.DeadlineMs)
	}
	w.ends = slices.DeleteFunc(w.ends, func(e []any) bool { return e[0].(int64) <= q.Ack })
	if q.WaitMs > 0 && len(w.ends) == 0 {
		changed := w.changed
		w.f.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(q.WaitMs) * time.Millisecond):
		case <-r.Context().Done():
		}
		w.f.mu.Lock()
	}
	running, ended := [][]any{}, w.ends
	for _, r := range w.runs {
		running = append(running, []any{r.task, r.number, "", r.percent(time.Now()), 0})
	}
	if ended == nil {
		ended = [][]any{}
	}
	return http.StatusOK, map[string]any{"running": running, "ended": ended[:min(len(ended), maxEnds)]}
}

// worked returns how long a run has worked.
func (r *run) worked(now time.Time) time.Duration { return now.Sub(r.startedAt) }

// percent returns how much of its work a run has done; 100 while a task that lasts is at work.
func (r *run) percent(now time.Time) int {
	if r.step.long {
		return 100
	}
	return int(min(99, r.worked(now)*100/max(1, r.step.work)))
}

// close notes the end of a run. The caller holds mu.
func (w *worker) close(r *run, how string) {
	r.to = w.f.rec.now()
	w.f.rec.add(w.id, "%s run %d ends: %s", r.task, r.number, how)
}

// end ends a run and lists its end. The caller holds mu.
func (w *worker) end(r *run, how string) {
	delete(w.runs, r.task)
	w.lastRun[r.task] = max(w.lastRun[r.task], r.number)
	w.ends = append(w.ends, []any{w.nextEnd, r.task, r.number, how, ""})
	w.nextEnd++
	w.close(r, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// tick ends what is due. The caller holds mu.
func (w *worker) tick(now time.Time) {
	if !w.up {
		return
	}
	lapsed := w.clock() > w.deadline
	for _, r := range w.runs {
		switch {
		case lapsed:
			w.end(r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			w.end(r, "stopped")
		case !r.step.long && r.worked(now) >= r.step.work:
			w.end(r, "done")
		}
	}
}

// play moves all workers on until the channel is closed.
func (f *fleet) play(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		f.mu.Lock()
		now := time.Now()
		for _, w := range f.workers {
			w.tick(now)
			switch {
			case w.up && now.Sub(w.heardAt) >= heartbeat:
				w.beat()
			case !w.up && w.listed && now.Sub(w.heardAt) >= 3*heartbeat:
				w.listed = false
				put(f.store, registryPartition, w.id, nil)
				f.rec.add("store", "entry of %s expires", w.id)
			}
		}
		f.mu.Unlock()
	}
}

// runsOf returns all runs of a job, oldest first.
func (f *fleet) runsOf(id string) []run {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []run
	for _, r := range f.history {
		if strings.HasPrefix(r.task, id+".") {
			list = append(list, *r)
		}
	}
	return list
}
