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

// ticketAdvisor permits one worker, with tickets that expire.
type ticketAdvisor struct {
	allowedWorker string

	mu        sync.Mutex
	calls     int
	expiresAt map[string]time.Time
	busyCalls int // calls that are still refused
}

const ticketValidity = 2 * time.Second

func (p *ticketAdvisor) Advise(_ context.Context, step string, workers []string) (advisor.Response, error) {
	time.Sleep(40 * time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busyCalls > 0 {
		p.busyCalls--
		return advisor.Response{}, advisor.ErrBusy
	}
	p.calls++
	a := advisor.Response{Tickets: map[string]string{}, Validity: ticketValidity}
	for _, id := range workers {
		if id == p.allowedWorker {
			text := fmt.Sprintf("%s-%d", step, p.calls)
			a.Tickets[id] = text
			p.expiresAt[text] = time.Now().Add(ticketValidity)
		}
	}
	return a, nil
}

func (p *ticketAdvisor) accepts(worker, task, text string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return worker == p.allowedWorker && strings.HasPrefix(text, task[:strings.LastIndexByte(task, '.')]+"-") &&
		time.Now().Before(p.expiresAt[text])
}

// Guards against starts without a valid ticket, calls that are repeated while tickets are valid, and steps that stop
// for good when their tickets expire or the advisor is busy.
func TestStartsCarryTickets(t *testing.T) {
	runCluster(t, 3, 1, oneSecondTask, func(c *cluster, is *is.I) {
		p := &ticketAdvisor{allowedWorker: "w1", expiresAt: map[string]time.Time{}, busyCalls: 2}
		c.advisor = p
		c.publish(&jobqueue.Config{Version: 2, Services: c.currentConfig().Services, Queues: []jobqueue.Queue{{Name: "q", Service: service,
			Advice: &jobqueue.Advice{PerCall: 40 * time.Millisecond, Validity: ticketValidity}}}})
		refused := 0
		c.fleet.SetTickets(func(worker, task, text string) bool {
			ok := p.accepts(worker, task, text)
			if !ok {
				refused++
			}
			return ok
		})
		c.owner()
		c.submit("a", jobs.Step{}, 25, 3) // more than w1 runs before the first tickets expire
		c.waitForState("a", jobs.StateCompleted, 15*time.Second)
		is.Equal(refused, 0)
		p.mu.Lock()
		defer p.mu.Unlock()
		is.True(p.calls <= 5) // one per step, and three to replace expired tickets
	})
}
