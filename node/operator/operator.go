// Package operator serves the operators' HTTP interface. Commands and queries are separate interfaces that
// the daemon implements.
package operator

import (
	"context"

	"waxwingslip.example/node/operator/api"
)

// Commands carries out operators' commands. Each method uses the command id as the id of the record that it
// appends, waits until the record is read back and returns the state machine's verdict. A repeat with the same id
// returns the verdict on the first record: an implementation looks up the id in the log before it checks
// anything else, because a base version that was current at first no longer is. A command whose outcome is not
// known is answered with api.Unknown and a nil error; an error means that nothing was appended.
type Commands interface {
	// PublishConfig publishes a document.
	PublishConfig(ctx context.Context, cmd api.PublishConfig) (api.Answer, error)
	// SubmitJob submits a batch job.
	SubmitJob(ctx context.Context, cmd api.SubmitJob) (api.Answer, error)
	// CancelJob ends a job.
	CancelJob(ctx context.Context, cmd api.CancelJob) (api.Answer, error)
	// SetZoneService publishes the current document with the zone's outOfService field changed.
	SetZoneService(ctx context.Context, cmd api.SetZoneService) (api.Answer, error)
	// WorkerLost records that a VM is gone and runs nothing.
	WorkerLost(ctx context.Context, cmd api.WorkerLost) (api.Answer, error)
}

// Queries answers operators' queries from the daemon's state. Tasks and Workers cover the daemon's own zone
// and return ErrOtherZone for another.
type Queries interface {
	// Status describes the daemon.
	Status(ctx context.Context) (api.Status, error)
	// Config returns a configuration version; 0 selects the current one. Older versions may no longer
	// be kept (ErrNotFound).
	Config(ctx context.Context, version int64) (api.Config, error)
	// ConfigInForce returns which version is in force in each zone.
	ConfigInForce(ctx context.Context) (api.ConfigInForce, error)
	// Jobs lists jobs.
	Jobs(ctx context.Context, q api.JobsQuery) (api.Jobs, error)
	// Job describes one job.
	Job(ctx context.Context, id string) (api.Job, error)
	// Tasks lists tasks.
	Tasks(ctx context.Context, q api.TasksQuery) (api.Tasks, error)
	// Workers lists workers.
	Workers(ctx context.Context, q api.WorkersQuery) (api.Workers, error)
	// Zones describes all zones.
	Zones(ctx context.Context) (api.Zones, error)
	// Explain returns why a job, task, worker or service is in its state.
	Explain(ctx context.Context, q api.ExplainQuery) (api.Explanation, error)
}
