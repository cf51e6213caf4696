package daemon

import (
	"context"
	"strings"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"waxwingslip.example/core/control"
	"waxwingslip.example/core/environment"
	"waxwingslip.example/core/record"
	"waxwingslip.example/node/operator"
	"waxwingslip.example/node/operator/api"
	"waxwingslip.example/node/stream"
)

// commands implements operator.Commands: each command is one record in the control stream.
type commands struct{ d *Daemon }

// PublishConfig implements operator.Commands.
func (c commands) PublishConfig(ctx context.Context, cmd api.PublishConfig) (api.Answer, error) {
	if _, err := environment.Parse([]byte(cmd.Document)); err != nil {
		return c.invalidDocument(err), nil
	}
	return c.append(ctx, cmd.Command, &record.Configure{Base: cmd.Base, Document: []byte(cmd.Document), Author: cmd.Author})
}

// invalidDocument returns the answer to an invalid document with all its problems.
func (c commands) invalidDocument(err error) api.Answer {
	return api.Answer{
		Result: api.Rejected, Reason: "document is invalid", Step: "validate",
		Problems: strings.Split(err.Error(), "\n"), CurrentVersion: c.version(),
	}
}

// SubmitJob implements operator.Commands.
func (c commands) SubmitJob(ctx context.Context, cmd api.SubmitJob) (api.Answer, error) {
	if cmd.Zone == "" {
		cmd.Zone = c.chooseZone(&cmd.Job)
	}
	return c.append(ctx, cmd.Command, &record.Submit{Job: cmd.Job, Zone: cmd.Zone})
}

// chooseZone returns the first zone of a job: the daemon's own if it is in service, allowed and has large enough
// workers, else another one. A job that exists keeps its zone, so that a repeat gets the same answer.
func (c commands) chooseZone(job *record.JobSpec) string {
	var choice string
	c.d.control.View(func(s *control.State) {
		if existing := s.Job(job.ID); existing != nil {
			choice = existing.Zone
			return
		}
		if s.Document() == nil {
			return
		}
		for _, name := range s.Document().ZoneNames() {
			_, z, _ := s.Document().FindZone(name)
			if z.OutOfService || !allowsZone(job, name) || !job.Size.Fits(z.Worker) {
				continue
			}
			if choice == "" || name == c.d.settings.Zone {
				choice = name
			}
		}
		if choice == "" {
			choice = c.d.settings.Zone
		}
	})
	return choice
}

func allowsZone(job *record.JobSpec, zoneName string) bool {
	if len(job.Zones) == 0 {
		return true
	}
	for _, z := range job.Zones {
		if z == zoneName {
			return true
		}
	}
	return false
}

// CancelJob implements operator.Commands.
func (c commands) CancelJob(ctx context.Context, cmd api.CancelJob) (api.Answer, error) {
	return c.append(ctx, cmd.Command, &record.CancelJob{Job: cmd.Job})
}

// SetZoneService implements operator.Commands.
func (c commands) SetZoneService(ctx context.Context, cmd api.SetZoneService) (api.Answer, error) {
	var base int64
	var document []byte
	c.d.control.View(func(s *control.State) { base, document = s.Version(), s.DocumentBytes() })
	if base == 0 {
		return api.Answer{Result: api.Rejected, Reason: "there is no configuration yet", Step: "read configuration"}, nil
	}
	edited, err := environment.SetZone(document, cmd.Zone, !cmd.InService)
	if err != nil {
		return c.invalidDocument(err), nil
	}
	return c.append(ctx, cmd.Command, &record.Configure{Base: base, Document: edited, Author: cmd.Author})
}

// WorkerLost implements operator.Commands.
func (c commands) WorkerLost(ctx context.Context, cmd api.WorkerLost) (api.Answer, error) {
	return c.append(ctx, cmd.Command, &record.AttestLost{Zone: cmd.Zone, Worker: cmd.Worker, Author: cmd.Author})
}

// append appends the record of a command under the command's id and returns the verdict as an answer.
func (c commands) append(ctx context.Context, id uuid.UUID, body record.Body) (api.Answer, error) {
	if earlier, ok := c.recentVerdict(id); ok {
		return c.answerFor(body, earlier), nil
	}
	res, err := c.d.control.Appender.SubmitAs(ctx, id, body)
	if err != nil {
		if errors.Is(err, stream.ErrUnknown) {
			return api.Answer{
				Result: api.Unknown, Reason: err.Error(), Step: "append", Peer: c.d.settings.Platform.LogURL,
				CurrentVersion: c.version(),
			}, nil
		}
		return api.Answer{}, &operator.StepError{Step: "append", Peer: c.d.settings.Platform.LogURL, Err: err}
	}
	if res.Duplicate {
		earlier, ok := c.recentVerdict(id)
		if !ok {
			return api.Answer{
				Result: api.Unknown, Reason: "the command was decided earlier, and this daemon no longer knows how",
				Step: "read back", CurrentVersion: c.version(),
			}, nil
		}
		res = earlier
	}
	return c.answerFor(body, res), nil
}

func (c commands) answerFor(body record.Body, res stream.Result) api.Answer {
	a := api.Answer{Result: api.Accepted, CurrentVersion: c.version(), Step: "read back"}
	_, configure := body.(*record.Configure)
	switch {
	case res.Accepted && configure:
		a.Version = res.Offset
	case res.Accepted:
	case configure && strings.HasPrefix(res.Reason, "conflict"):
		a.Result, a.Reason = api.Conflict, res.Reason
	default:
		a.Result, a.Reason = api.Rejected, res.Reason
	}
	return a
}

// recentVerdict returns the verdict on a recent record with the id.
func (c commands) recentVerdict(id uuid.UUID) (res stream.Result, ok bool) {
	c.d.control.View(func(s *control.State) {
		var v control.StoredVerdict
		if v, ok = s.StoredVerdict(id); ok {
			res = stream.Result{Offset: v.Offset, Accepted: v.Accepted, Reason: v.Reason}
		}
	})
	return res, ok
}

func (c commands) version() (v int64) {
	c.d.control.View(func(s *control.State) { v = s.Version() })
	return v
}
