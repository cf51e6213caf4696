package api

import (
	"waxwingslip.example/core/record"
	"waxwingslip.example/core/resource"
)

// Status describes the daemon that answers.
type Status struct {
	Daemon string `json:"daemon"`
	// Member is the daemon's member id in its zone stream.
	Member      string `json:"member"`
	Environment string `json:"environment"`
	Region      string `json:"region"`
	Zone        string `json:"zone"`
	// Build is the version of the daemon's program.
	Build         string `json:"build"`
	UptimeSeconds int64  `json:"uptimeSeconds"`
	Draining      bool   `json:"draining"`
	ConfigVersion int64  `json:"configVersion"`
	// ControlAgeMs and ZoneAgeMs are the times since the streams were last known to be read to their end, -1 if never.
	ControlAgeMs int64 `json:"controlAgeMs"`
	ZoneAgeMs    int64 `json:"zoneAgeMs"`
	// MayStart is true while the daemon has the authority to start tasks.
	MayStart bool  `json:"mayStart"`
	Shards   []int `json:"shards"`
	// Members lists the live members of the zone.
	Members []Member `json:"members"`
	Alarms  []Alarm  `json:"alarms"`
}

// Member is a daemon of the zone.
type Member struct {
	Member      string `json:"member"`
	PeerAddress string `json:"peerAddress"`
	// HeartbeatAgeMs is the time since the member's last heartbeat was read.
	HeartbeatAgeMs int64 `json:"heartbeatAgeMs"`
	Shards         int   `json:"shards"`
}

// Alarm is a condition that needs an operator's attention.
type Alarm struct {
	Name string `json:"name"`
	// SinceSeconds is how long the condition has held.
	SinceSeconds int64  `json:"sinceSeconds"`
	Detail       string `json:"detail"`
}

// Config is one version of the configuration.
type Config struct {
	Version int64  `json:"version"`
	Base    int64  `json:"base"`
	Author  string `json:"author,omitempty"`
	// Document is the YAML text.
	Document string `json:"document"`
	// Source is where the daemon got the document from: "log" or "peer".
	Source string `json:"source"`
}

// ConfigInForce lists the version in force in each zone.
type ConfigInForce struct {
	// Version is the newest version that the daemon has read.
	Version int64        `json:"version"`
	Zones   []ZoneConfig `json:"zones"`
}

// ZoneConfig is the configuration in force in one zone.
type ZoneConfig struct {
	Zone string `json:"zone"`
	// Version is the lowest version among the zone's members, 0 if unknown.
	Version int64 `json:"version"`
	Members int   `json:"members"`
	// Reachable is false if no member of the zone answered recently; Version is then its last known value.
	Reachable bool `json:"heard"`
	// AgeMs is the age of this entry's data, -1 if there is none.
	AgeMs int64 `json:"ageMs"`
}

// JobsQuery selects jobs; empty fields select all.
type JobsQuery struct {
	Team  string
	State string
	// Limit is the maximum number of jobs; 0 means DefaultLimit.
	Limit int
	// After is the Next value of the previous page.
	After string
}

// Limits of lists.
const (
	DefaultLimit = 1000
	MaxLimit     = 10000
)

// Jobs is a list of jobs.
type Jobs struct {
	Jobs []JobSummary `json:"jobs"`
	// Next is passed as After to get the next page, empty on the last page.
	Next string `json:"next,omitempty"`
}

// States of jobs.
const (
	JobQueued    = "queued"
	JobActive    = "active"
	JobParked    = "parked"
	JobFinished  = "finished"
	JobCancelled = "cancelled"
)

// JobSummary is the state of a job.
type JobSummary struct {
	ID       string          `json:"id"`
	Team     string          `json:"team"`
	Class    string          `json:"class"`
	Priority record.Priority `json:"priority"`
	State    string          `json:"state"`
	Tasks    int             `json:"tasks"`
	// Pending and Running count the tasks in the zone of the daemon that answers; Succeeded, Failed and
	// Cancelled count those of all zones.
	Pending   int    `json:"pending"`
	Running   int    `json:"running"`
	Succeeded int    `json:"succeeded"`
	Failed    int    `json:"failed"`
	Cancelled int    `json:"cancelled"`
	Reason    string `json:"reason,omitempty"`
}

// Job is the full description of a job.
type Job struct {
	JobSummary
	Spec record.JobSpec `json:"spec"`
	// Zones lists the zones where tasks of the job are or were.
	Zones []string `json:"zones"`
	// QueuePosition is the position in the team's queue, counted from 1; 0 if the job is not queued.
	QueuePosition int `json:"queuePosition,omitempty"`
}

// TasksQuery selects tasks of the zone of the daemon that answers; empty fields select all.
type TasksQuery struct {
	Zone   string
	Job    string
	Worker string
	State  string
	Limit  int
	After  string
}

// States of tasks.
const (
	TaskPending = "pending"
	TaskBound   = "bound"
	TaskRunning = "running"
	TaskEnded   = "ended"
	// TaskReleased is a task that the zone has transferred to another one.
	TaskReleased = "released"
)

// Tasks is a list of tasks of one zone.
type Tasks struct {
	Zone  string `json:"zone"`
	Tasks []Task `json:"tasks"`
	Next  string `json:"next,omitempty"`
}

// Task is the state of one task.
type Task struct {
	Job        string          `json:"job"`
	Index      int             `json:"index"`
	Epoch      int64           `json:"epoch"`
	Zone       string          `json:"zone"`
	State      string          `json:"state"`
	Worker     string          `json:"worker,omitempty"`
	Address    string          `json:"address,omitempty"`
	Size       resource.Vector `json:"size"`
	Checkpoint string          `json:"checkpoint,omitempty"`
	Evictions  int             `json:"evictions,omitempty"`
	// ThrottlePercent is the percentage of its processor share that the task may use; 0 means not throttled.
	ThrottlePercent int64  `json:"throttlePercent,omitempty"`
	Reason          string `json:"reason,omitempty"`
}

// WorkersQuery selects workers of the zone of the daemon that answers; empty fields select all.
type WorkersQuery struct {
	Zone  string
	State string
	Limit int
	After string
}

// Workers is a list of workers of one zone.
type Workers struct {
	Zone    string   `json:"zone"`
	Workers []Worker `json:"workers"`
	Next    string   `json:"next,omitempty"`
}

// Worker is the state of one worker.
type Worker struct {
	record.WorkerInfo
	Zone     string          `json:"zone"`
	State    string          `json:"state"`
	Reason   string          `json:"reason,omitempty"`
	Shard    int             `json:"shard"`
	Owner    string          `json:"owner,omitempty"`
	Tasks    int             `json:"tasks"`
	Reserved resource.Vector `json:"reserved"`
	// ReportAgeMs is the time since the queried daemon last received a report of the worker, -1 if it has none.
	ReportAgeMs int64 `json:"heardAgeMs"`
}

// Zones is the state of all zones.
type Zones struct {
	Zones []Zone `json:"zones"`
}

// Zone is the state of one zone. The counts of other zones come from their load summaries and lag behind.
type Zone struct {
	Name          string `json:"name"`
	Region        string `json:"region"`
	InService     bool   `json:"inService"`
	ConfigVersion int64  `json:"configVersion"`
	Reachable     bool   `json:"heard"`
	AgeMs         int64  `json:"ageMs"`
	Members       int    `json:"members"`
	// Workers counts registered workers, Usable those that take tasks.
	Workers int `json:"workers"`
	Usable  int `json:"usable"`
	// ServiceTasks and BatchTasks count bound tasks, PendingTasks those without a worker.
	ServiceTasks int             `json:"serviceTasks"`
	BatchTasks   int             `json:"batchTasks"`
	PendingTasks int             `json:"pendingTasks"`
	Capacity     resource.Vector `json:"capacity"`
	Reserved     resource.Vector `json:"reserved"`
	// Drained is true when the zone is out of service and holds no batch task.
	Drained bool `json:"drained"`
}

// ExplainQuery names one subject: exactly one of Job, Worker and Service is set.
type ExplainQuery struct {
	Job string
	// Index selects one task of Job; -1 means the whole job.
	Index   int
	Worker  string
	Service string
}

// Explanation gives the reasons why a subject is in its state.
type Explanation struct {
	Subject string `json:"subject"`
	State   string `json:"state"`
	// Reasons are in no fixed order.
	Reasons []Reason `json:"reasons"`
	// Verdict attributes a slowdown, for services only.
	Verdict *Verdict `json:"verdict,omitempty"`
}

// Reason is one cause of a state.
type Reason struct {
	// Code is a stable identifier for programs.
	Code string `json:"code"`
	Text string `json:"text"`
	// Count is how many workers or tasks the reason concerns, 0 if that does not apply.
	Count int `json:"count,omitempty"`
}

// Verdict attributes a slowdown to a cause.
type Verdict struct {
	// Cause is "network", "neighbours", "own load" or "unknown".
	Cause string `json:"cause"`
	// Requests is the number of requests that the verdict is based on.
	Requests int64      `json:"requests"`
	Evidence []Evidence `json:"evidence"`
}

// Evidence is one measurement behind a verdict.
type Evidence struct {
	Name string `json:"name"`
	// Observed and Expected are in Unit. Expected is 0 if no particular value is expected.
	Observed float64 `json:"observed"`
	Expected float64 `json:"expected"`
	Unit     string  `json:"unit"`
	Detail   string  `json:"detail,omitempty"`
}
