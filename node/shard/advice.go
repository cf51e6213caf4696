package shard

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/core/packing"
	"waxwingslip.example/external/advisor"
	"waxwingslip.example/external/jobqueue"
)

// Bounds of the calls for advice.
const (
	// advisedWorkers is the number of workers that a call asks about. The advisor takes time for each.
	advisedWorkers = 30
	// ticketReserve is the time that a ticket must be valid for, so that a start arrives with it.
	ticketReserve = 300 * time.Millisecond
	// adviceRetry is the wait after a call that failed.
	adviceRetry = 150 * time.Millisecond
	// adviceMargin is how long an answer may be late.
	adviceMargin = 1500 * time.Millisecond
	// adviceCalls is the number of calls under way; the advisor handles those of a VM one after the other.
	adviceCalls = 2
)

// ticket permits a step on a worker.
type ticket struct {
	text  string
	until time.Duration
}

// advice is what is known of the workers that may run a step.
type advice struct {
	// may holds the verdict on each worker asked about. It does not change.
	may     map[string]bool
	tickets map[string]ticket
	asking  bool
	retryAt time.Duration
}

// adviceOn returns what is known of a step. The caller holds mu.
func (s *Shard) adviceOn(stepName string) *advice {
	a := s.advice[stepName]
	if a == nil {
		a = &advice{may: map[string]bool{}, tickets: map[string]ticket{}}
		s.advice[stepName] = a
	}
	return a
}

func (a *advice) permits(worker string, now time.Duration) bool {
	t, ok := a.tickets[worker]
	return ok && now+ticketReserve < t.until
}

// advised limits a request to workers for which there is a valid ticket. The caller holds mu.
func (s *Shard) advised(r *packing.Request, now time.Duration) {
	a, other := s.adviceOn(r.StepName), r.Allowed
	r.Allowed = func(w *packing.Worker) bool {
		return a.permits(w.ID, now) && (other == nil || other(w))
	}
}

// seekAdvice asks about workers that have room for a step. The request is not limited by tickets. The caller holds mu.
func (s *Shard) seekAdvice(q *jobqueue.Queue, r *packing.Request, now time.Duration) {
	a := s.adviceOn(r.StepName)
	if a.asking || now < a.retryAt || s.env.Advisor == nil || s.adviceUnderWay >= adviceCalls {
		return
	}
	var known, untried []string
	for _, w := range s.fleet.Candidates(r) {
		switch may, asked := a.may[w.ID]; {
		case !asked:
			untried = append(untried, w.ID)
		case may && !a.permits(w.ID, now):
			known = append(known, w.ID)
		}
	}
	workers := append(known, untried...)
	if len(workers) == 0 {
		return
	}
	workers = workers[:min(len(workers), advisedWorkers)]
	a.asking = true
	s.adviceUnderWay++
	limit := q.Advice.Decision + time.Duration(len(workers))*q.Advice.Each + adviceMargin
	s.orders.Go(func() { s.ask(a, r.StepName, workers, limit, q.Advice.Validity) })
}

func (s *Shard) ask(a *advice, stepName string, workers []string, limit, validity time.Duration) {
	ctx, cancel := context.WithTimeout(s.ctx, limit)
	defer cancel()
	answer, err := s.env.Advisor.Advise(ctx, stepName, workers)
	s.mu.Lock()
	defer s.mu.Unlock()
	defer signal(s.planSignal)
	now := s.env.Now()
	a.asking = false
	s.adviceUnderWay--
	if err != nil {
		a.retryAt = now + adviceRetry
		if !errors.Is(err, advisor.ErrBusy) {
			s.log.Warn().Err(err).Str("step", stepName).Int("workers", len(workers)).Msg("no advice, is asked again")
		}
		return
	}
	if answer.Validity > 0 {
		validity = answer.Validity
	}
	for _, id := range workers {
		text, may := answer.Tickets[id]
		a.may[id] = may
		if may {
			a.tickets[id] = ticket{text, now + validity}
		}
	}
	s.log.Info().Str("step", stepName).Int("workers", len(workers)).Int("good", len(answer.Tickets)).Msg("advice")
}

// ticketFor returns the ticket for a start, empty if none is known. The caller holds mu.
func (s *Shard) ticketFor(r *run) string {
	if a := s.advice[r.stepName]; a != nil {
		return a.tickets[r.workerID].text
	}
	return ""
}

// dropTicket forgets a ticket that a worker did not accept. The caller holds mu.
func (s *Shard) dropTicket(r *run) {
	if a := s.advice[r.stepName]; a != nil {
		delete(a.tickets, r.workerID)
	}
}

// dropAdvice forgets what was asked for steps of jobs that ended. The caller holds mu.
func (s *Shard) dropAdvice() {
	for name := range s.advice {
		id, err := jobs.ParseTaskID(name + ".0")
		if e := s.jobs[id.Job]; err != nil || e == nil || e.job.Outcome != jobs.Unfinished {
			delete(s.advice, name)
		}
	}
}
