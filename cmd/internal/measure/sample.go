package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ticksPerSecond is the unit of processor time in /proc, which is 100 on all Linux systems.
const ticksPerSecond = 100

// reading is what one daemon has used since its start, and its memory now.
type reading struct {
	at                time.Time
	cpuSeconds        float64
	rssBytes          float64
	vars              vars
	log, dir, workers float64
	peers             float64
}

// vars is the part of /debug/vars that is read.
type vars struct {
	Memstats struct{ HeapAlloc, HeapInuse, Sys, TotalAlloc, Mallocs, NumGC float64 } `json:"memstats"`
	Own      struct {
		LogSent     float64 `json:"log_bytes_sent"`
		LogReceived float64 `json:"log_bytes_received"`
		DirSent     float64 `json:"directory_bytes_sent"`
		DirReceived float64 `json:"directory_bytes_received"`
		WorkerSent  float64 `json:"worker_bytes_sent"`
		WorkerRecv  float64 `json:"worker_bytes_received"`
		Appends     float64 `json:"log_appends"`
		Records     float64 `json:"log_records_applied"`
		Starts      float64 `json:"executor_starts"`
		Binds       float64 `json:"scheduler_binds"`

		Running       int `json:"zone_tasks_running"`
		StartErrors   int `json:"executor_start_errors"`
		Refused       int `json:"executor_starts_refused"`
		Stops         int `json:"executor_stops"`
		Preemptions   int `json:"scheduler_preemptions"`
		Moves         int `json:"guard_moves"`
		ContactErrors int `json:"executor_contact_errors"`

		Calls  peerBytes `json:"peer_calls"`
		Server peerBytes `json:"peer_server"`
	} `json:"waxwingslip"`
}

type peerBytes struct {
	Sent     float64 `json:"bytesSent"`
	Received float64 `json:"bytesReceived"`
}

// sample is the use of one daemon during a window: rates per second, memory in MB at its end.
type sample struct {
	workers, tasks float64
	values         [numValues]float64
}

// Indexes of sample.values.
const (
	cpuPercent = iota
	rssMB
	heapMB
	allocKB
	logBytes
	directoryBytes
	workerBytes
	peersBytes
	totalBytes
	appends
	records
	starts
	numValues
)

var valueNames = [numValues]string{"cpu%", "rss-MB", "heap-MB", "alloc-KB/s", "log-B/s", "dir-B/s", "worker-B/s",
	"peer-B/s", "sum-B/s", "appends/s", "records/s", "starts/s"}

var header = fmt.Sprintf("%-7s %7s %5s  %s", "window", "workers", "tasks", strings.Join(valueNames[:], "  "))

func row(name string, s size, v sample) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-7s %7d %5d", name, s.workers, s.workers*s.tasksPerWorker)
	for i, x := range v.values {
		fmt.Fprintf(&b, "  %*.2f", len(valueNames[i]), x)
	}
	return b.String()
}

// mean returns the mean of samples. The shards of a zone are not spread evenly over its daemons, so that single daemons
// own more or fewer workers than a third.
func mean(all []sample) (m sample) {
	n := float64(len(all))
	for _, s := range all {
		m.workers += s.workers / n
		m.tasks += s.tasks / n
		for i, v := range s.values {
			m.values[i] += v / n
		}
	}
	return m
}

// read takes a reading of a daemon.
func read(ctx context.Context, pid int, health string) (r reading, err error) {
	if err := getJSON(ctx, "http://"+health+"/debug/vars", &r.vars); err != nil {
		return r, err
	}
	r.at = time.Now()
	o := &r.vars.Own
	r.log, r.dir, r.workers = o.LogSent+o.LogReceived, o.DirSent+o.DirReceived, o.WorkerSent+o.WorkerRecv
	r.peers = o.Calls.Sent + o.Calls.Received + o.Server.Sent + o.Server.Received
	if r.cpuSeconds, err = cpuOf(pid); err != nil {
		return r, err
	}
	r.rssBytes, err = rssOf(pid)
	return r, err
}

// cpuOf returns the user and system time of a process.
func cpuOf(pid int) (float64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read processor time")
	}
	// The name in parentheses may hold blanks; utime and stime are the 14th and 15th fields of the line.
	_, rest, _ := strings.Cut(string(b), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0, errors.Errorf("processor time of process %d has %d fields", pid, len(f))
	}
	user, err1 := strconv.ParseFloat(f[11], 64)
	system, err2 := strconv.ParseFloat(f[12], 64)
	if err1 != nil || err2 != nil {
		return 0, errors.Errorf("processor time of process %d is %q and %q", pid, f[11], f[12])
	}
	return (user + system) / ticksPerSecond, nil
}

func rssOf(pid int) (float64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read memory")
	}
	for line := range strings.Lines(string(b)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, err := strconv.ParseFloat(f[1], 64)
			return kb * 1024, errors.Wrap(err, "read memory")
		}
	}
	return 0, errors.Errorf("process %d shows no VmRSS", pid)
}

func between(a, b reading, workers, tasks float64) sample {
	s := sample{workers: workers, tasks: tasks}
	seconds := b.at.Sub(a.at).Seconds()
	set := func(i int, from, to float64) { s.values[i] = (to - from) / seconds }
	set(cpuPercent, 100*a.cpuSeconds, 100*b.cpuSeconds)
	set(allocKB, a.vars.Memstats.TotalAlloc/1e3, b.vars.Memstats.TotalAlloc/1e3)
	set(logBytes, a.log, b.log)
	set(directoryBytes, a.dir, b.dir)
	set(workerBytes, a.workers, b.workers)
	set(peersBytes, a.peers, b.peers)
	set(totalBytes, a.log+a.dir+a.workers+a.peers, b.log+b.dir+b.workers+b.peers)
	set(appends, a.vars.Own.Appends, b.vars.Own.Appends)
	set(records, a.vars.Own.Records, b.vars.Own.Records)
	set(starts, a.vars.Own.Starts, b.vars.Own.Starts)
	s.values[rssMB], s.values[heapMB] = b.rssBytes/1e6, b.vars.Memstats.HeapInuse/1e6
	return s
}

func getJSON(ctx context.Context, url string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "read metrics")
	}
	defer resp.Body.Close()
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(v), "read metrics")
}
