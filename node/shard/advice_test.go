package shard_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/external/advisor"
	"waxwingslip.example/external/jobqueue"
)

// policy permits one worker, with tickets that end.
type policy struct {
	good string

	mu    sync.Mutex
	calls int
	until map[string]time.Time
	busy  int // calls that are still refused
}

const ticketValidity = 2 * time.Second

func (p *policy) Advise(_ context.Context, step string, workers []string) (advisor.Answer, error) {
	time.Sleep(40 * time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy > 0 {
		p.busy--
		return advisor.Answer{}, advisor.ErrBusy
	}
	p.calls++
	a := advisor.Answer{Tickets: map[string]string{}, Validity: ticketValidity}
	for _, w := range workers {
		if w == p.good {
			text := fmt.Sprintf("%s-%d", step, p.calls)
			a.Tickets[w] = text
			p.until[text] = time.Now().Add(ticketValidity)
		}
	}
	return a, nil
}

func (p *policy) accepts(worker, task, text string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return worker == p.good && strings.HasPrefix(text, task[:strings.LastIndexByte(task, '.')]+"-") && time.Now().Before(p.until[text])
}

// Guards against starts without a valid ticket, calls that are repeated while tickets are valid, and steps that stop for
// good when their tickets end or the advisor is busy.
func TestStartsCarryTickets(t *testing.T) {
	run(t, 3, 1, brief, func(w *world, is *is.I) {
		p := &policy{good: "w1", until: map[string]time.Time{}, busy: 2}
		w.advisor = p
		w.publish(&jobqueue.Config{Version: 2, Services: w.newestConfig().Services, Queues: []jobqueue.Queue{{Name: "q", Service: service,
			Advice: &jobqueue.Advice{Decision: 40 * time.Millisecond, Validity: ticketValidity}}}})
		refused := 0
		w.fleet.SetTickets(func(worker, task, text string) bool {
			ok := p.accepts(worker, task, text)
			if !ok {
				refused++
			}
			return ok
		})
		w.owner()
		w.submit("a", jobs.Step{}, 25, 3) // more than w1 runs before the first tickets end
		w.await("a", jobs.StateCompleted, 15*time.Second)
		is.Equal(refused, 0)
		p.mu.Lock()
		defer p.mu.Unlock()
		is.True(p.calls <= 5) // two steps, and three times new tickets
	})
}
