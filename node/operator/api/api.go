// Package api defines the operators' HTTP interface: paths, JSON bodies and a typed client.
//
// Commands (POST below /command/) change something and carry a command id chosen by the client. Repeating a
// command with the same id, at any daemon, has no further effect and returns the same answer. Queries (GET
// below /query/) change nothing.
package api

import (
	"github.com/google/uuid"

	"waxwingslip.example/core/record"
)

// Paths of commands.
const (
	PathPublishConfig  = "/command/config/publish"
	PathSubmitJob      = "/command/job/submit"
	PathCancelJob      = "/command/job/cancel"
	PathSetZoneService = "/command/zone/in-service"
	PathWorkerLost     = "/command/worker/lost"
)

// Paths of queries.
const (
	PathStatus        = "/query/status"
	PathConfig        = "/query/config"
	PathConfigInForce = "/query/config/in-force"
	PathJobs          = "/query/jobs"
	PathJob           = "/query/job"
	PathTasks         = "/query/tasks"
	PathWorkers       = "/query/workers"
	PathZones         = "/query/zones"
	PathExplain       = "/query/explain"
)

// MaxCommandBytes limits the body of a command: a document of 200 KiB, JSON-escaped, fits.
const MaxCommandBytes = 1 << 20

// MaxAnswerBytes limits an answer that the client reads.
const MaxAnswerBytes = 16 << 20

// Result is the outcome of a command.
type Result string

// Results of commands.
const (
	// Accepted means that the command's record was read back and accepted by the state machine.
	Accepted Result = "accepted"
	// Conflict means that another change was accepted first. The command changed nothing.
	Conflict Result = "conflict"
	// Rejected means that the command is invalid. Nothing was changed, and a repeat gives the same result.
	Rejected Result = "rejected"
	// Unknown means that the daemon cannot tell whether the command took effect. It may be repeated with
	// the same id.
	Unknown Result = "unknown"
)

// Answer is the reply to a command.
type Answer struct {
	// Command is the id that the client chose.
	Command uuid.UUID `json:"command"`
	Result  Result    `json:"result"`
	// Version is the configuration version that the command published, 0 for other commands.
	Version int64 `json:"version,omitempty"`
	// CurrentVersion is the configuration version known to the daemon when it answered.
	CurrentVersion int64 `json:"currentVersion,omitempty"`
	// Reason explains any result but Accepted in one sentence.
	Reason string `json:"reason,omitempty"`
	// Problems lists every problem of a rejected document or job.
	Problems []string `json:"problems,omitempty"`
	// Step is the last processing step, for instance "append" or "read back".
	Step string `json:"step,omitempty"`
	// Peer is the remote system in that step, for instance the URL of the platform log.
	Peer string `json:"peer,omitempty"`
}

// PublishConfig publishes a document as the next configuration version.
type PublishConfig struct {
	Command uuid.UUID `json:"command"`
	// Base is the version that the author started from, 0 for the first document of an environment.
	Base int64 `json:"base"`
	// Document is the YAML text.
	Document string `json:"document"`
	// Author names the operator.
	Author string `json:"author,omitempty"`
}

// SubmitJob submits a batch job.
type SubmitJob struct {
	Command uuid.UUID      `json:"command"`
	Job     record.JobSpec `json:"job"`
	// Zone is where the job is admitted first; empty lets the daemon choose.
	Zone string `json:"zone,omitempty"`
}

// CancelJob ends a job.
type CancelJob struct {
	Command uuid.UUID `json:"command"`
	Job     string    `json:"job"`
}

// SetZoneService takes a zone out of service or puts it back. It publishes the current document with only
// that field changed.
type SetZoneService struct {
	Command   uuid.UUID `json:"command"`
	Zone      string    `json:"zone"`
	InService bool      `json:"inService"`
	Author    string    `json:"author,omitempty"`
}

// WorkerLost attests that a VM is gone and runs nothing.
type WorkerLost struct {
	Command uuid.UUID `json:"command"`
	Zone    string    `json:"zone"`
	Worker  string    `json:"worker"`
	Author  string    `json:"author,omitempty"`
}

// Problem is the body of every HTTP answer that is neither an Answer nor the result of a query.
type Problem struct {
	// Step is the processing step that failed.
	Step string `json:"step"`
	// Peer is the remote system in that step, empty if the step involved none.
	Peer string `json:"peer,omitempty"`
	// Message says what is wrong.
	Message string `json:"message"`
}
