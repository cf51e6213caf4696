// Package telemetry provides the daemon's metrics, logger, traces and health endpoints.
package telemetry

// Type is the type of a metric.
type Type uint8

// Types of metrics.
const (
	// TypeCounter is a counter that starts at 0 with the process and never decreases.
	TypeCounter Type = iota + 1
	// TypeGauge is the latest value of a quantity.
	TypeGauge
	// TypeHistogram is a distribution of latencies over the last one to two minutes.
	TypeHistogram
)

// String returns the type's name.
func (t Type) String() string {
	switch t {
	case TypeCounter:
		return "counter"
	case TypeGauge:
		return "gauge"
	case TypeHistogram:
		return "histogram"
	}
	return "invalid"
}

// Metric describes one metric.
type Metric struct {
	Name string
	Type Type
	// Unit is the unit of the value; histograms are in microseconds.
	Unit string
	Help string
}

// Table lists every metric of the daemon, grouped by the part that sets it. docs/metrics.md is generated from it.
var Table = []Metric{
	{"log_appends", TypeCounter, "appends", "Appends that the log confirmed."},
	{"log_appends_ambiguous", TypeCounter, "appends", "Appends without a definite answer; their records may or may not be in the log."},
	{"log_records_repeated", TypeCounter, "records", "Records sent again with the same id because they were missing after an ambiguous append."},
	{"log_posts_dropped", TypeCounter, "records", "Records posted without waiting, such as heartbeats, that were not sent in time."},
	{"log_records_applied", TypeCounter, "records", "Records read from the log and passed to the state machines."},
	{"log_records_undecodable", TypeCounter, "records", "Entries skipped because they do not decode."},
	{"log_read_errors", TypeCounter, "reads", "Reads of the log that failed."},
	{"log_restores", TypeCounter, "restores", "Times that a state was replaced by a snapshot."},
	{"log_snapshots_written", TypeCounter, "snapshots", "Complete snapshots written by this daemon."},
	{"log_submit_latency", TypeHistogram, "us", "Time from the submission of a record until it was read back and judged."},

	{"log_bytes_sent", TypeCounter, "B", "Bytes sent to the log, HTTP headers included."},
	{"log_bytes_received", TypeCounter, "B", "Bytes received from the log, HTTP headers included."},
	{"directory_bytes_sent", TypeCounter, "B", "Bytes sent to the VM list, HTTP headers included."},
	{"directory_bytes_received", TypeCounter, "B", "Bytes received from the VM list, HTTP headers included."},
	{"worker_bytes_sent", TypeCounter, "B", "Bytes sent to workers, HTTP headers included."},
	{"worker_bytes_received", TypeCounter, "B", "Bytes received from workers, HTTP headers included."},

	{"control_version", TypeGauge, "version", "Version of the configuration in force."},
	{"control_age", TypeGauge, "ms", "Time since the control state, with the configuration, was known to be complete. Without the platform's store, starts stop above 3,000."},
	{"zone_age", TypeGauge, "ms", "Time since the zone state was known to be complete."},
	{"zone_tasks_running", TypeGauge, "tasks", "Tasks of the zone that are bound to a worker."},
	{"zone_tasks_pending", TypeGauge, "tasks", "Tasks of the zone that wait for a worker."},
	{"zone_members", TypeGauge, "daemons", "Members of the zone."},
	{"zone_shards_owned", TypeGauge, "shards", "Shards of workers that this daemon owns."},

	{"scheduler_binds", TypeCounter, "binds", "Placements proposed to the log."},
	{"scheduler_binds_rejected", TypeCounter, "binds", "Placements rejected because the state had changed."},
	{"scheduler_preemptions", TypeCounter, "tasks", "Tasks stopped to make room for more urgent ones."},
	{"scheduler_plan_time", TypeHistogram, "us", "Time to plan placements once."},
	{"scheduler_urgent_wait", TypeHistogram, "us", "Time from an urgent task's becoming pending until its start."},

	{"executor_starts", TypeCounter, "commands", "Start commands accepted by workers."},
	{"executor_starts_withheld", TypeCounter, "commands", "Starts not sent because the configuration was not known to be current."},
	{"executor_starts_refused", TypeCounter, "commands", "Start commands that workers refused."},
	{"executor_start_errors", TypeCounter, "commands", "Start commands without a definite answer; they are repeated."},
	{"executor_stops", TypeCounter, "commands", "Stop and checkpoint commands accepted by workers."},
	{"executor_stop_errors", TypeCounter, "commands", "Stop and checkpoint commands without a definite answer; they are repeated."},
	{"executor_ack_errors", TypeCounter, "commands", "Acknowledgements of end states without a definite answer; they are repeated."},
	{"executor_contact_errors", TypeCounter, "renewals", "Lease renewals that workers did not answer."},

	{"guard_throttles", TypeCounter, "commands", "Throttle commands that the guard asked for."},
	{"guard_moves", TypeCounter, "tasks", "Batch tasks that the guard had moved away from a service."},
	{"guard_quarantines", TypeCounter, "workers", "Workers quarantined because they failed tasks of several jobs."},
	{"contention_bad_digests", TypeCounter, "digests", "Learned profiles of other daemons that could not be read."},
	{"executor_throttles", TypeCounter, "commands", "Throttle commands accepted by workers."},
	{"executor_throttle_errors", TypeCounter, "commands", "Throttle commands without a definite answer."},
	{"membership_changes", TypeCounter, "changes", "Times that this daemon joined or left its zone's members."},

	{"requests_total_time", TypeHistogram, "us", "Time from the arrival of a request until the end of its answer."},
	{"requests_wait_time", TypeHistogram, "us", "Part of a request's time spent waiting in the daemon."},
	{"requests_network_time", TypeHistogram, "us", "Part of a request's time spent on the network."},
	{"requests_endpoint_time", TypeHistogram, "us", "Part of a request's time spent in the endpoint."},

	{"jobs_accepted", TypeCounter, "jobs", "Jobs that callers handed in and that were stored."},
	{"jobs_refused", TypeCounter, "jobs", "Jobs refused before anything was stored."},
	{"callers_unauthorized", TypeCounter, "requests", "Callers' requests refused because their key is missing or unknown."},
	{"jobs_uncertain", TypeCounter, "jobs", "Commands of callers of which it is not known whether they were stored."},
	{"jobs_stored_by_owner", TypeCounter, "jobs", "Commands of callers that the owner of the shard stored for this daemon."},
	{"jobs_cancelled", TypeCounter, "jobs", "Cancellations that were stored."},
	{"jobs_cancelled_unknown", TypeCounter, "jobs", "Cancellations of jobs that were not known. They are stored, since an acceptance may still be on its way."},
	{"jobs_cancels_limited", TypeCounter, "requests", "Cancellations of unknown jobs that were refused, because this daemon or the account had stored too many in the last 5 minutes."},
	{"jobs_acceptance_unchecked", TypeCounter, "jobs", "Accepted jobs of which the owner did not tell in time whether they had been cancelled before."},
	{"jobs_queries", TypeCounter, "queries", "Questions of callers for the state of a job or the length of a queue."},
	{"jobs_queries_failed", TypeCounter, "queries", "Questions that could not be answered because no owner of the shard was reached."},
	{"jobs_accept_time", TypeHistogram, "us", "Time to store a job."},
	{"jobs_query_time", TypeHistogram, "us", "Time to answer a question."},
	{"shard_owned", TypeGauge, "shards", "Shards of jobs that this daemon owns."},
	{"shards_handed_over", TypeCounter, "shards", "Shards handed over to a daemon with less load."},
	{"shard_starts", TypeCounter, "orders", "Starts sent to workers, repeats included."},
	{"shard_starts_refused", TypeCounter, "orders", "Starts that workers refused."},
	{"shard_starts_unknown", TypeCounter, "orders", "Starts without an answer, which were taken back."},
	{"shard_start_delay_time", TypeHistogram, "us", "Time from binding a task until its worker confirmed the start."},
	{"shard_ends_done", TypeCounter, "runs", "Runs that ended as done."},
	{"shard_ends_failed", TypeCounter, "runs", "Runs that ended as failed."},
	{"shard_ends_other", TypeCounter, "runs", "Runs that ended in another way."},
	{"shard_ends_late", TypeCounter, "runs", "Ends reported for runs that had been settled without a report."},
	{"shard_runs_lost", TypeCounter, "runs", "Runs that ended without a word of the worker."},
	{"shard_stops", TypeCounter, "orders", "Runs that were stopped."},
	{"shard_holds", TypeCounter, "calls", "Renewals of workers' leases."},
	{"shard_holds_failed", TypeCounter, "calls", "Renewals without an answer or refused."},
	{"shard_paces", TypeCounter, "orders", "Orders that set the pace of a filling task."},
	{"shard_stored_bytes", TypeCounter, "B", "Progress of jobs that was stored."},
	{"shard_commit_time", TypeHistogram, "us", "Time to store changes of progress."},
	{"shard_panics", TypeCounter, "errors", "Unexpected errors that were contained in a shard; the log has their stacks."},
	{"shard_jobs_set_aside", TypeCounter, "jobs", "Jobs whose records cannot be used or led to an unexpected error. Nothing of them runs any more."},
	{"shard_jobs_cancelled_early", TypeCounter, "jobs", "Jobs whose acceptance was stored after they had been cancelled as unknown. They never run, and callers don't see them."},
	{"shard_records_rejected", TypeCounter, "records", "Records that the store never takes. They are left out; the job of one is set aside. The log has their keys."},
	{"shard_checkpoints_dropped", TypeCounter, "checkpoints", "Checkpoints in reports that are not kept, since they have more than 131,072 bytes, or all of a report more than 2 MiB: the task would resume from the one before."},
	{"shard_workers_restarted", TypeCounter, "workers", "Restarts of workers under their ids."},
	{"shard_workers_lent", TypeCounter, "workers", "Workers moved to other shards, which could not place their tasks."},
	{"shard_jobs_moved", TypeCounter, "jobs", "Jobs moved to other shards, whose workers alone may run them and cannot move."},
	{"shard_tasks_wait_for_quota", TypeGauge, "tasks", "Tasks that only the limits of their client accounts keep from starting."},
	{"shard_tasks_unrunnable", TypeGauge, "tasks", "Waiting short tasks that no open worker could run if it ran no other short tasks. No capacity is kept for them."},
	{"shard_short_demand", TypeGauge, "millicores", "Processor time that short tasks use, or used recently, or could use at once. A share of it is kept free of new long-running tasks."},
	{"shard_reserve_overruled", TypeCounter, "tasks", "Long-running tasks that started in capacity kept for short ones, since they had waited and under half of the service was in use."},
	{"quota_appends", TypeCounter, "calls", "Appends that store the shards' shares of the limits of client accounts, repeats included."},
	{"control_offset", TypeGauge, "records", "Offset up to which the operators' records are in force."},
	{"control_end", TypeGauge, "records", "Offset after the operators' newest record that is known. Above control_offset, the daemon is behind."},
	{"control_original_reads", TypeCounter, "reads", "Times that the operators' records were read, since no copy of them came in time or this daemon stores it."},
	{"control_copies_stored", TypeCounter, "copies", "Copies of the configuration that this daemon stored."},
	{"store_bytes_read", TypeCounter, "B", "Bytes of the store's responses to reads."},
	{"store_reads_failed", TypeCounter, "reads", "Reads of the store that failed."},
	{"store_reads_cut", TypeCounter, "reads", "Reads of the store that failed after a part of the response had arrived. Records that arrived whole are used."},
	{"callers_panics", TypeCounter, "requests", "Callers' requests that ended with an unexpected error."},
	{"shard_plan_time", TypeHistogram, "us", "Time to bind waiting tasks once."},
	{"log_lines_dropped", TypeCounter, "lines", "Log lines dropped because standard output did not take them."},

	{"trace_export_errors", TypeCounter, "exports", "Batches of spans that the exporter could not deliver."},
	{"telemetry_unknown_names", TypeCounter, "counts", "Counts under a name that is not in this table."},
}
