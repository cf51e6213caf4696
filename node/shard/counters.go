package shard

import "waxwingslip.example/node/telemetry"

// Counters are the metrics of all shards of a daemon.
type Counters struct {
	Starts, StartsRefused, StartsUnknown            *telemetry.Counter
	EndsDone, EndsFailed, EndsOther, EndsLate       *telemetry.Counter
	Lost, Stops, LeaseRenewals, LeaseRenewalsFailed *telemetry.Counter
	Paces, StoredBytes, WorkersRestarted            *telemetry.Counter
	Panics, SetAside, WorkersLent, JobsMoved        *telemetry.Counter
	RecordsRejected, CheckpointsDropped             *telemetry.Counter
	CancelledEarly, ReserveOverruled                *telemetry.Counter
	QuotaAppends                                    *telemetry.Counter
	WaitForQuota, Unrunnable, ShortDemand           *telemetry.Gauge
	Commit, StartDelay, Plan                        *telemetry.Histogram
}

// NewCounters registers the metrics in r.
func NewCounters(r *telemetry.Registry) *Counters {
	return &Counters{
		Starts: r.Counter("shard_starts"), StartsRefused: r.Counter("shard_starts_refused"),
		StartsUnknown: r.Counter("shard_starts_unknown"), EndsDone: r.Counter("shard_ends_done"),
		EndsFailed: r.Counter("shard_ends_failed"), EndsOther: r.Counter("shard_ends_other"),
		EndsLate: r.Counter("shard_ends_late"),
		Lost:     r.Counter("shard_runs_lost"), Stops: r.Counter("shard_stops"), LeaseRenewals: r.Counter("shard_holds"),
		LeaseRenewalsFailed: r.Counter("shard_holds_failed"), Paces: r.Counter("shard_paces"),
		StoredBytes: r.Counter("shard_stored_bytes"), WorkersRestarted: r.Counter("shard_workers_restarted"), Panics: r.Counter("shard_panics"),
		SetAside: r.Counter("shard_jobs_set_aside"), WorkersLent: r.Counter("shard_workers_lent"),
		RecordsRejected: r.Counter("shard_records_rejected"), CheckpointsDropped: r.Counter("shard_checkpoints_dropped"),
		CancelledEarly: r.Counter("shard_jobs_cancelled_early"), ReserveOverruled: r.Counter("shard_reserve_overruled"),
		JobsMoved: r.Counter("shard_jobs_moved"), QuotaAppends: r.Counter("quota_appends"),
		WaitForQuota: r.Gauge("shard_tasks_wait_for_quota"),
		Unrunnable:   r.Gauge("shard_tasks_unrunnable"), ShortDemand: r.Gauge("shard_short_demand"), Commit: r.Histogram("shard_commit_time"),
		StartDelay: r.Histogram("shard_start_delay_time"), Plan: r.Histogram("shard_plan_time"),
	}
}
