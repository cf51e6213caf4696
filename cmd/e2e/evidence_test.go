package e2e

import (
	"encoding/json"
	"fmt"
	"strings"

	"waxwingslip.example/external/worker/fake"
	"waxwingslip.example/standin/endpointd"
)

// slotsPerWorker is the number of slots in workerCapacity.
const slotsPerWorker = 8

// taskRuns returns the executions of tasks that all workers recorded, with their starts and ends.
func (c *cluster) taskRuns() []fake.Execution {
	return fetchEvidence[fake.Execution](c, "/admin/history")
}

// requestExecutions returns the requests that endpoints executed.
func (c *cluster) requestExecutions() []endpointd.Execution {
	return fetchEvidence[endpointd.Execution](c, "/admin/journal")
}

func fetchEvidence[T any](c *cluster, path string) (all []T) {
	c.t.Helper()
	for id, address := range c.workers {
		var records []T
		if err := getJSON("http://"+address+path, &records); err != nil {
			c.t.Fatalf("evidence of worker %s: %v", id, err)
		}
		all = append(all, records...)
	}
	return all
}

func getJSON(url string, v any) error {
	resp, err := plainClient.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(v)
}

// runsOfJob returns the executions of one job.
func runsOfJob(all []fake.Execution, job string) (out []fake.Execution) {
	for _, e := range all {
		if e.Job == job {
			out = append(out, e)
		}
	}
	return out
}

// checkNoOverlap fails the test if a task ran in two places at once or twice under one epoch, or if a worker had more
// concurrent runs than slots. Batch tasks are compared over all zones. Replicas are numbered within their zone and
// never leave it, so they are compared within it. Every task of these tests takes one slot.
func (c *cluster) checkNoOverlap() {
	c.t.Helper()
	all := c.taskRuns()
	for worker, maxRuns := range maxConcurrentRuns(all) {
		if maxRuns > slotsPerWorker {
			c.t.Errorf("worker %s had %d concurrent runs, has %d slots", worker, maxRuns, slotsPerWorker)
		}
	}
	for i, e := range all {
		if strings.HasPrefix(e.Job, "service/") {
			all[i].Job = zoneOf(e.Worker) + "/" + e.Job
		}
	}
	workerByRun := map[string]string{}
	for _, e := range all {
		run := fmt.Sprintf("%s/%d under epoch %d", e.Job, e.Index, e.Epoch)
		if workerByRun[run] != "" {
			c.t.Errorf("%s ran on %s and on %s", run, workerByRun[run], e.Worker)
		}
		workerByRun[run] = e.Worker
	}
	for _, o := range fake.Overlaps(all) {
		c.t.Errorf("a task ran twice at the same time: %s", o)
	}
}

// maxConcurrentRuns returns the largest number of concurrent runs of each worker, which is reached when a run starts.
func maxConcurrentRuns(all []fake.Execution) map[string]int {
	maxRuns := map[string]int{}
	for _, e := range all {
		concurrent := 0
		for _, other := range all {
			if other.Worker == e.Worker && !other.Begin.After(e.Begin) && (other.End.IsZero() || other.End.After(e.Begin)) {
				concurrent++
			}
		}
		maxRuns[e.Worker] = max(maxRuns[e.Worker], concurrent)
	}
	return maxRuns
}

// zoneOf returns the zone of a worker of startWorkers.
func zoneOf(worker string) string { return worker[:strings.LastIndex(worker, "-")] }
