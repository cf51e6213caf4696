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

func (a *ticketAdvisor) Advise(_ context.Context, step string, workers []string) (advisor.Response, error) {
	time.Sleep(40 * time.Millisecond)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.busyCalls > 0 {
		a.busyCalls--
		return advisor.Response{}, advisor.ErrBusy
	}
	a.calls++
	response := advisor.Response{Tickets: map[string]string{}, Validity: ticketValidity}
	for _, id := range workers {
		if id == a.allowedWorker {
			text := fmt.Sprintf("%s-%d", step, a.calls)
			response.Tickets[id] = text
			a.expiresAt[text] = time.Now().Add(ticketValidity)
		}
	}
	return response, nil
}

func (a *ticketAdvisor) accepts(worker, task, text string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return worker == a.allowedWorker && strings.HasPrefix(text, task[:strings.LastIndexByte(task, '.')]+"-") &&
		time.Now().Before(a.expiresAt[text])
}

// Guards against starts without a valid ticket, calls that are repeated while tickets are valid, and steps that stop
// permanently when their tickets expire or the advisor is busy.
func TestStartsCarryTickets(t *testing.T) {
	runCluster(t, 3, 1, oneSecondTask, func(c *cluster, is *is.I) {
		tickets := &ticketAdvisor{allowedWorker: "w1", expiresAt: map[string]time.Time{}, busyCalls: 2}
		c.advisor = tickets
		c.publish(&jobqueue.Config{Version: 2, Services: c.currentConfig().Services, Queues: []jobqueue.Queue{{Name: "q", Service: service,
			Advice: &jobqueue.Advice{PerCall: 40 * time.Millisecond, Validity: ticketValidity}}}})
		refused := 0
		c.fleet.SetTickets(func(worker, task, text string) bool {
			ok := tickets.accepts(worker, task, text)
			if !ok {
				refused++
			}
			return ok
		})
		c.owner()
		c.submit("a", jobs.Step{}, 25, 3) // more than w1 runs before the first tickets expire
		c.waitForState("a", jobs.StateCompleted, 15*time.Second)
		is.Equal(refused, 0)
		tickets.mu.Lock()
		defer tickets.mu.Unlock()
		is.True(tickets.calls <= 5) // one per step, and three to replace expired tickets
	})
}
