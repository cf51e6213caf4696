package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// taskSpec says how a task behaves. Clients of the cases put it into the spec of their submissions.
type taskSpec struct {
	// WorkMs is the work of a task; the work of a task with an odd index is SpreadMs longer.
	WorkMs   int64 `json:"work_ms"`
	SpreadMs int64 `json:"spread_ms,omitempty"`
	// CPU and MemMB are what a task reserves.
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"mem_mb"`
	// Checkpointing tasks produce a checkpoint with each second of work.
	Checkpointing bool `json:"checkpointing,omitempty"`
	// TailMs is the tail latency that a serving task reports, and Fills is set for filling tasks, whose cpu is not counted.
	TailMs int64 `json:"tail_ms,omitempty"`
	Fills  bool  `json:"fills,omitempty"`
	// Lasts is set for tasks that run until they are stopped.
	Lasts bool `json:"lasts,omitempty"`
	// Gang is the number of tasks of the gang; 0 for tasks that work alone.
	Gang int `json:"gang,omitempty"`
}

// reservedCPU is what a task takes of a worker's capacity.
func (s *taskSpec) reservedCPU() int64 {
	if s.Fills {
		return 0
	}
	return s.CPU
}

// measurement is the fifth entry of a run: the tail of a serving task, the processor time of any other.
func (s *taskSpec) measurement() int64 {
	if s.TailMs > 0 {
		return s.TailMs
	}
	return s.CPU
}

const (
	capacityCPU   = 64_000
	capacityMemMB = 256_000
	holdMaxMs     = 6_000
	maxListedEnds = 500
	checkpointMs  = 1_000
)

type activeRun struct {
	number     int64
	spec       taskSpec
	checkpoint string
	doneMs     int64 // work that was done before the start
	startedMs  int64
	timer      *time.Timer
	// fails is set for a run that its worker started while it failed all that it started.
	fails bool
}

type endRow struct {
	number     int64
	task       string
	run        int64
	how        string
	checkpoint string
}

// checkpoints holds the work in ms by checkpoint, for all workers.
var checkpoints sync.Map

func savedWork(checkpoint string) int64 {
	work, _ := checkpoints.Load(checkpoint)
	ms, _ := work.(int64)
	return ms
}

// worker is one worker with admission check, lease and fence, as the platform's pages describe it.
type worker struct {
	id      string
	zone    string
	machine string
	rack    string
	address string
	rec     *recorder
	// checkpointOf names the state that a task saved after so much work.
	checkpointOf func(task string, workMs int64) string
	server       *http.Server

	mu         sync.Mutex
	bornMs     int64
	bornAt     time.Time
	fence      int64
	deadlineMs int64
	runs       map[string]*activeRun
	lastRun    map[string]int64 // highest run that was stopped or ended
	ends       []endRow
	nextEnd    int64
	changed    chan struct{}
	seq        int64
	// fails is set while the worker fails all that it starts.
	fails bool
}

// failAfter is how long a run works that fails by its worker's fault.
const failAfter = 800 * time.Millisecond

func newWorker(id, zone, machine, rack string, rec *recorder, checkpointOf func(string, int64) string) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, zone: zone, machine: machine, rack: rack, rec: rec, checkpointOf: checkpointOf, address: l.Addr().String(),
		bornAt: time.Now(), bornMs: time.Now().UnixMilli(), runs: map[string]*activeRun{}, lastRun: map[string]int64{},
		nextEnd: 1, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.handle(w.start))
	mux.HandleFunc("POST /run-stop", w.handle(w.stop))
	mux.HandleFunc("POST /pace", w.handle(func(request) (int, map[string]any) { return http.StatusOK, w.reply() }))
	mux.HandleFunc("POST /hold", w.hold)
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(l) }() // ends with the case
	return w, nil
}

// entry is the worker's entry in the registry.
func (w *worker) entry() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	data, _ := json.Marshal(map[string]any{"service": "svc", "address": w.address, "zone": w.zone, "version": "v1", "slots": 8,
		"state": "ready", "cold_left_ms": 0, "machine": w.machine, "born": w.bornMs, "seq_no": w.seq,
		"capacity": map[string]int64{"cpu": capacityCPU, "mem_mb": capacityMemMB, "gpu": 0}, "labels": []string{"a", w.rack}})
	return data
}

type request struct {
	Task       string `json:"task"`
	Run        int64  `json:"run_id"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadline_ms"`
	Fence      int64  `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	Ack        int64  `json:"ack_cursor"`
	WaitMs     int64  `json:"wait_ms"`
}

func (w *worker) clockMs() int64 { return time.Since(w.bornAt).Milliseconds() + 1 }

func (w *worker) reply() map[string]any {
	return map[string]any{"born": w.bornMs, "clock_ms": w.clockMs()}
}

func (w *worker) refusal(reason string) (int, map[string]any) {
	r := w.reply()
	r["reason"] = reason
	return http.StatusConflict, r
}

func (w *worker) decode(rw http.ResponseWriter, r *http.Request) (request, bool) {
	var q request
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return q, false
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return q, false
	}
	return q, true
}

// handle serves a call that is executed at once, with mu held.
func (w *worker) handle(f func(request) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		q, ok := w.decode(rw, r)
		if !ok {
			return
		}
		status, body := w.execute(q, f)
		writeJSON(rw, status, body)
	}
}

// execute executes a call under its fence number.
func (w *worker) execute(q request, f func(request) (int, map[string]any)) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire()
	if q.Fence < w.fence {
		return w.refusal("fence")
	}
	w.fence = q.Fence
	return f(q)
}

func writeJSON(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body) // the caller may have disconnected
}

// extend extends the lease. The caller holds mu.
func (w *worker) extend(deadlineMs int64) {
	w.deadlineMs = max(w.deadlineMs, min(deadlineMs, w.clockMs()+holdMaxMs))
	time.AfterFunc(time.Duration(w.deadlineMs-w.clockMs()+2)*time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.expire()
	})
}

// expire ends all runs once the lease has expired. The caller holds mu.
func (w *worker) expire() {
	if w.clockMs() <= w.deadlineMs {
		return
	}
	for task, a := range w.runs {
		w.end(task, "lapsed")
		if a.spec.Gang > 0 {
			go gangRuns.leave(task, a.number)
		}
	}
}

func (w *worker) start(q request) (int, map[string]any) {
	if a := w.runs[q.Task]; a != nil && a.number == q.Run {
		return http.StatusOK, w.reply()
	}
	if q.DeadlineMs <= w.clockMs() {
		return w.refusal("late")
	}
	w.extend(q.DeadlineMs)
	if w.runs[q.Task] != nil || q.Run <= w.lastRun[q.Task] {
		return w.refusal("old")
	}
	var spec taskSpec
	if err := json.Unmarshal([]byte(q.Spec), &spec); err != nil {
		return http.StatusBadRequest, w.reply()
	}
	cpu, mem := spec.reservedCPU(), spec.MemMB
	for _, a := range w.runs {
		cpu, mem = cpu+a.spec.reservedCPU(), mem+a.spec.MemMB
	}
	if cpu > capacityCPU || mem > capacityMemMB {
		return w.refusal("room")
	}
	a := &activeRun{number: q.Run, spec: spec, checkpoint: q.Checkpoint, doneMs: savedWork(q.Checkpoint), startedMs: w.clockMs()}
	left := spec.WorkMs - a.doneMs
	if odd(q.Task) {
		left += spec.SpreadMs
	}
	if spec.Lasts {
		left = int64(time.Hour / time.Millisecond)
	}
	task, number := q.Task, q.Run
	a.timer = time.AfterFunc(time.Duration(max(left, 0))*time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if b := w.runs[task]; b != nil && b.number == number {
			w.end(task, "done")
		}
	})
	a.fails = w.fails
	w.runs[q.Task] = a
	w.rec.runStarted(q.Task, q.Run, w.id)
	if spec.Gang > 0 {
		a.timer.Stop() // the gang ends it
		gangRuns.join(w, q.Task, q.Run, spec, a.fails)
	}
	return http.StatusOK, w.reply()
}

func odd(task string) bool {
	return strings.ContainsAny(task[len(task)-1:], "13579")
}

func (w *worker) stop(q request) (int, map[string]any) {
	if q.Run > w.lastRun[q.Task] {
		w.lastRun[q.Task] = q.Run
	}
	if a := w.runs[q.Task]; a != nil && a.number <= q.Run {
		w.end(q.Task, "stopped")
		if a.spec.Gang > 0 {
			go gangRuns.leave(q.Task, a.number)
		}
	}
	return http.StatusOK, w.reply()
}

// end ends a run and lists its end. The caller holds mu.
func (w *worker) end(task, how string) {
	a := w.runs[task]
	w.save(task, a)
	a.timer.Stop()
	delete(w.runs, task)
	w.lastRun[task] = max(w.lastRun[task], a.number)
	checkpoint := a.checkpoint
	if how == "done" {
		checkpoint = ""
	}
	w.ends = append(w.ends, endRow{w.nextEnd, task, a.number, how, checkpoint})
	w.nextEnd++
	w.rec.runEnded(task, a.number, w.id, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// save updates the checkpoint of a run and returns its progress in percent. The caller holds mu.
func (w *worker) save(task string, a *activeRun) int {
	work := a.doneMs + w.clockMs() - a.startedMs
	if steps := work / checkpointMs; a.spec.Checkpointing && steps > 0 {
		a.checkpoint = w.checkpointOf(task, steps*checkpointMs)
		checkpoints.Store(a.checkpoint, steps*checkpointMs)
	}
	if a.spec.Lasts {
		return 100
	}
	return int(min(work*100/max(a.spec.WorkMs+a.spec.SpreadMs, 1), 99))
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	q, ok := w.decode(rw, r)
	if !ok {
		return
	}
	deadline := time.NewTimer(time.Duration(min(q.WaitMs, 2000)) * time.Millisecond)
	defer deadline.Stop()
	w.mu.Lock()
	w.expire()
	if q.Fence < w.fence {
		status, body := w.refusal("fence")
		w.mu.Unlock()
		writeJSON(rw, status, body)
		return
	}
	w.fence = q.Fence
	if q.DeadlineMs > 0 {
		w.extend(q.DeadlineMs)
	}
	for len(w.ends) > 0 && w.ends[0].number <= q.Ack {
		w.ends = w.ends[1:]
	}
	for len(w.ends) == 0 && q.WaitMs > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
			w.mu.Lock()
			continue
		case <-deadline.C:
		case <-r.Context().Done():
		}
		w.mu.Lock()
		break
	}
	body := w.reply()
	running, ended := [][]any{}, [][]any{}
	for task, a := range w.runs {
		percent := w.save(task, a)
		running = append(running, []any{task, a.number, a.checkpoint, percent, a.spec.measurement()})
	}
	for _, e := range w.ends[:min(len(w.ends), maxListedEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, e.checkpoint})
	}
	w.mu.Unlock()
	body["running"], body["ended"] = running, ended
	writeJSON(rw, http.StatusOK, body)
}
