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

// Limits of the calls to the advisor.
const (
	// maxAdvisedWorkers limits the workers in one call. The advisor takes time for each.
	maxAdvisedWorkers = 30
	// minTicketValidity is how long a ticket must still be valid, so that a start arrives in time.
	minTicketValidity = 300 * time.Millisecond
	// adviceRetryDelay is the wait after a failed call.
	adviceRetryDelay = 150 * time.Millisecond
	// adviceTimeoutMargin is how late a response may be.
	adviceTimeoutMargin = 1500 * time.Millisecond
	// maxAdviceCalls limits the calls in flight; the advisor handles those of a VM one after the other.
	maxAdviceCalls = 2
)

// ticket permits the start of a step's tasks on a worker.
type ticket struct {
	text      string
	expiresAt time.Duration
}

// advice holds the advisor's decisions on the workers that may run a step.
type advice struct {
	// allowed holds the decision on each worker named in an earlier call. Decisions do not change.
	allowed  map[string]bool
	tickets  map[string]ticket
	inFlight bool
	retryAt  time.Duration
}

// adviceFor returns the advice on a step and creates it if there is none. The caller holds mu.
func (s *Shard) adviceFor(stepName string) *advice {
	a := s.advice[stepName]
	if a == nil {
		a = &advice{allowed: map[string]bool{}, tickets: map[string]ticket{}}
		s.advice[stepName] = a
	}
	return a
}

func (a *advice) hasValidTicket(worker string, now time.Duration) bool {
	t, ok := a.tickets[worker]
	return ok && now+minTicketValidity < t.expiresAt
}

// requireTicket limits a request to workers with a valid ticket. The caller holds mu.
func (s *Shard) requireTicket(r *packing.Request, now time.Duration) {
	a, base := s.adviceFor(r.StepName), r.Allowed
	r.Allowed = func(w *packing.Worker) bool {
		return a.hasValidTicket(w.ID, now) && (base == nil || base(w))
	}
}

// excludeRefused excludes the workers on which the advisor has forbidden the step. The caller holds mu.
func (s *Shard) excludeRefused(r *packing.Request) {
	a, base := s.advice[r.StepName], r.Allowed
	if a == nil {
		return
	}
	r.Allowed = func(w *packing.Worker) bool {
		allowed, decided := a.allowed[w.ID]
		return (allowed || !decided) && (base == nil || base(w))
	}
}

// requestAdvice calls the advisor about workers with capacity for a step, unless a limit forbids it. The request must
// not be limited by tickets. The caller holds mu.
func (s *Shard) requestAdvice(q *jobqueue.Queue, r *packing.Request, now time.Duration) {
	a := s.adviceFor(r.StepName)
	if a.inFlight || now < a.retryAt || s.deps.Advisor == nil || s.adviceCallsInFlight >= maxAdviceCalls {
		return
	}
	var withoutTicket, undecided []string
	for _, w := range s.fleet.Candidates(r) {
		switch allowed, decided := a.allowed[w.ID]; {
		case !decided:
			undecided = append(undecided, w.ID)
		case allowed && !a.hasValidTicket(w.ID, now):
			withoutTicket = append(withoutTicket, w.ID)
		}
	}
	workers := append(withoutTicket, undecided...)
	if len(workers) == 0 {
		return
	}
	workers = workers[:min(len(workers), maxAdvisedWorkers)]
	kinds := make([]int, len(workers))
	for i, id := range workers {
		kinds[i] = s.kindVersion(id)
	}
	a.inFlight = true
	s.adviceCallsInFlight++
	timeout := q.Advice.PerCall + time.Duration(len(workers))*q.Advice.PerWorker + adviceTimeoutMargin
	s.runInBackground("call advisor", func() { s.callAdvisor(a, r.StepName, workers, kinds, timeout, q.Advice.Validity) })
}

// callAdvisor requests and applies advice on workers, whose kinds had the given versions.
func (s *Shard) callAdvisor(a *advice, stepName string, workers []string, kinds []int, timeout, validity time.Duration) {
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	response, err := s.deps.Advisor.Advise(ctx, stepName, workers)
	s.mu.Lock()
	defer s.mu.Unlock()
	defer signal(s.planSignal)
	now := s.deps.Now()
	a.inFlight = false
	s.adviceCallsInFlight--
	if err != nil {
		a.retryAt = now + adviceRetryDelay
		if !errors.Is(err, advisor.ErrBusy) {
			s.log.Warn().Err(err).Str("step", stepName).Int("workers", len(workers)).Msg("call to advisor failed, retrying")
		}
		return
	}
	if response.Validity > 0 {
		validity = response.Validity
	}
	for i, id := range workers {
		if s.kindVersion(id) != kinds[i] {
			continue // the advice was on a worker of another kind
		}
		text, allowed := response.Tickets[id]
		a.allowed[id] = allowed
		if allowed {
			a.tickets[id] = ticket{text, now + validity}
		}
	}
	s.log.Info().Str("step", stepName).Int("workers", len(workers)).Int("good", len(response.Tickets)).Msg("advice")
}

// ticketFor returns the ticket for a start, empty if there is none. The caller holds mu.
func (s *Shard) ticketFor(r *run) string {
	if a := s.advice[r.stepName]; a != nil {
		return a.tickets[r.workerID].text
	}
	return ""
}

// deleteTicket deletes a ticket that a worker did not accept. The caller holds mu.
func (s *Shard) deleteTicket(r *run) {
	if a := s.advice[r.stepName]; a != nil {
		delete(a.tickets, r.workerID)
	}
}

// kindVersion returns the version of a worker's kind; 0 for one that is not known. The caller holds mu.
func (s *Shard) kindVersion(workerID string) int {
	if w := s.workers[workerID]; w != nil {
		return w.kindVersion
	}
	return 0
}

// deleteAdviceOn deletes the advice on a worker that is of another kind now. The caller holds mu.
func (s *Shard) deleteAdviceOn(workerID string) {
	for _, a := range s.advice {
		delete(a.allowed, workerID)
		delete(a.tickets, workerID)
	}
}

// pruneAdvice deletes the advice on steps of jobs that ended. The caller holds mu.
func (s *Shard) pruneAdvice() {
	for name := range s.advice {
		id, err := jobs.ParseTaskID(name + ".0")
		if e := s.jobs[id.Job]; err != nil || e == nil || e.job.Outcome != jobs.Unfinished {
			delete(s.advice, name)
		}
	}
}
