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

// ticksPerSecond is the number of clock ticks per second of CPU time in /proc, which is 100 on all Linux systems.
const ticksPerSecond = 100

// reading holds the resources that one daemon has used since its start, and its current memory.
type reading struct {
	at                                    time.Time
	cpuSeconds                            float64
	rssBytes                              float64
	vars                                  vars
	logBytes, directoryBytes, workerBytes float64
	peerBytes                             float64
}

// vars is the part of /debug/vars that this program uses.
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

// sample is the resource use of one daemon during a window: rates per second, and memory in MB at the window's end.
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

func formatRow(name string, sz size, s sample) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-7s %7d %5d", name, sz.workers, sz.workers*sz.tasksPerWorker)
	for i, value := range s.values {
		fmt.Fprintf(&b, "  %*.2f", len(valueNames[i]), value)
	}
	return b.String()
}

// meanOf returns the mean of samples. The shards of a zone are not spread evenly over its daemons, so with three
// daemons a single one may own more or fewer workers than a third.
func meanOf(samples []sample) (m sample) {
	n := float64(len(samples))
	for _, s := range samples {
		m.workers += s.workers / n
		m.tasks += s.tasks / n
		for i, v := range s.values {
			m.values[i] += v / n
		}
	}
	return m
}

// takeReading reads the metrics and the process statistics of a daemon.
func takeReading(ctx context.Context, pid int, health string) (r reading, err error) {
	if err := getJSON(ctx, "http://"+health+"/debug/vars", &r.vars); err != nil {
		return r, err
	}
	r.at = time.Now()
	own := &r.vars.Own
	r.logBytes, r.directoryBytes, r.workerBytes = own.LogSent+own.LogReceived, own.DirSent+own.DirReceived,
		own.WorkerSent+own.WorkerRecv
	r.peerBytes = own.Calls.Sent + own.Calls.Received + own.Server.Sent + own.Server.Received
	if r.cpuSeconds, err = processCPUSeconds(pid); err != nil {
		return r, err
	}
	r.rssBytes, err = processRSSBytes(pid)
	return r, err
}

// processCPUSeconds returns the user and system CPU time of a process.
func processCPUSeconds(pid int) (float64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read processor time")
	}
	// The name in parentheses may contain blanks; utime and stime are the 14th and 15th fields of the line.
	_, fieldsText, _ := strings.Cut(string(b), ") ")
	fields := strings.Fields(fieldsText)
	if len(fields) < 13 {
		return 0, errors.Errorf("processor time of process %d has %d fields", pid, len(fields))
	}
	user, err1 := strconv.ParseFloat(fields[11], 64)
	system, err2 := strconv.ParseFloat(fields[12], 64)
	if err1 != nil || err2 != nil {
		return 0, errors.Errorf("processor time of process %d is %q and %q", pid, fields[11], fields[12])
	}
	return (user + system) / ticksPerSecond, nil
}

// processRSSBytes returns the resident memory of a process.
func processRSSBytes(pid int) (float64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read memory")
	}
	for line := range strings.Lines(string(b)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, err := strconv.ParseFloat(fields[1], 64)
			return kb * 1024, errors.Wrap(err, "read memory")
		}
	}
	return 0, errors.Errorf("status of process %d has no VmRSS", pid)
}

// rateSample returns the rates between two readings, and the memory of the second one.
func rateSample(before, after reading, workers, tasks float64) sample {
	s := sample{workers: workers, tasks: tasks}
	seconds := after.at.Sub(before.at).Seconds()
	setRate := func(i int, from, to float64) { s.values[i] = (to - from) / seconds }
	setRate(cpuPercent, 100*before.cpuSeconds, 100*after.cpuSeconds)
	setRate(allocKB, before.vars.Memstats.TotalAlloc/1e3, after.vars.Memstats.TotalAlloc/1e3)
	setRate(logBytes, before.logBytes, after.logBytes)
	setRate(directoryBytes, before.directoryBytes, after.directoryBytes)
	setRate(workerBytes, before.workerBytes, after.workerBytes)
	setRate(peersBytes, before.peerBytes, after.peerBytes)
	setRate(totalBytes, before.logBytes+before.directoryBytes+before.workerBytes+before.peerBytes,
		after.logBytes+after.directoryBytes+after.workerBytes+after.peerBytes)
	setRate(appends, before.vars.Own.Appends, after.vars.Own.Appends)
	setRate(records, before.vars.Own.Records, after.vars.Own.Records)
	setRate(starts, before.vars.Own.Starts, after.vars.Own.Starts)
	s.values[rssMB], s.values[heapMB] = after.rssBytes/1e6, after.vars.Memstats.HeapInuse/1e6
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
