package e2e

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"

	"waxwingslip.example/node/gateway"
	"waxwingslip.example/standin/endpointd"
)

// plainClient does not reuse connections, so that a caller's retry never uses a connection to a killed daemon.
var plainClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 15 * time.Second}

// reply is the outcome of one attempt; status is 0 if there was no response.
type reply struct {
	status  int
	outcome string
	echo    endpointd.Echo
	text    string
}

func (r reply) answered() bool {
	return r.status == http.StatusOK && r.outcome == string(gateway.OutcomeAnswered)
}

func getOnce(d *daemonProcess, path string) reply {
	return sendRequest(d, http.MethodGet, path, "", "")
}

// sendRequest sends one request to the service hello through a daemon.
func sendRequest(d *daemonProcess, method, path, key, body string) reply {
	req, err := http.NewRequest(method, "http://"+d.addresses.Callers+"/services/hello"+path, strings.NewReader(body))
	if err != nil {
		return reply{text: err.Error()}
	}
	if key != "" {
		req.Header.Set(gateway.HeaderKey, key)
	}
	resp, err := plainClient.Do(req)
	if err != nil {
		return reply{text: err.Error()}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{text: err.Error()}
	}
	r := reply{status: resp.StatusCode, outcome: resp.Header.Get(gateway.HeaderOutcome), text: string(text)}
	_ = json.Unmarshal(text, &r.echo)
	return r
}

// result is the final outcome of a request as its caller observed it.
type result struct {
	id    string
	keyed bool
	last  reply
	tries int
}

// requestStream is a set of callers that send requests without pause and retry through other daemons.
type requestStream struct {
	mu      sync.Mutex
	results []result

	stopping atomic.Bool
	callers  sync.WaitGroup
}

// retryTimeout is the time for which a caller retries one request.
const retryTimeout = 30 * time.Second

// unknownRetryTimeout is the time for which a caller retries a request whose outcome stays unknown. A killed daemon
// leaves the zone's claim view about 9 s after its last heartbeat; until then the outcome of a key may be undecided.
const unknownRetryTimeout = 15 * time.Second

// startStream starts callers. Every second one sends non-idempotent requests with keys if keyed is set.
func (c *cluster) startStream(callers int, keyed bool) *requestStream {
	s := &requestStream{}
	daemons := append([]*daemonProcess(nil), c.daemons...)
	for i := range callers {
		s.callers.Go(func() {
			for n := 0; !s.stopping.Load(); n++ {
				r := sendWithRetries(daemons, i+n, keyed && i%2 == 0)
				s.mu.Lock()
				s.results = append(s.results, r)
				s.mu.Unlock()
			}
		})
	}
	return s
}

// count returns the number of finished requests.
func (s *requestStream) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.results)
}

// waitMore waits until n more requests have finished.
func (s *requestStream) waitMore(t *testing.T, n int) {
	t.Helper()
	target := s.count() + n
	eventually(t, readyTimeout, fmt.Sprintf("%d more requests", n), func() bool { return s.count() >= target })
}

// stop ends the callers and returns all results.
func (s *requestStream) stop() []result {
	s.stopping.Store(true)
	s.callers.Wait()
	return s.results
}

// sendWithRetries sends one request and retries it with the same key or path through the next daemon until it is
// answered. A keyed request is retried after the outcome "unknown" too: its claim decides whether the first attempt
// counts. The outcome "not-run" is final for its key, so the next attempt has a new one; a request that did run under the
// former key is executed twice then.
func sendWithRetries(daemons []*daemonProcess, startIndex int, keyed bool) result {
	r := result{id: uuid.Must(uuid.NewV7()).String(), keyed: keyed}
	key, start := r.id, time.Now()
	for ; time.Since(start) < retryTimeout; r.tries++ {
		d := daemons[(startIndex+r.tries)%len(daemons)]
		if keyed {
			r.last = sendRequest(d, http.MethodPost, "/charge/"+r.id, key, "charge "+r.id)
		} else {
			r.last = sendRequest(d, http.MethodGet, "/read/"+r.id, "", "")
		}
		if r.last.answered() {
			return r
		}
		if keyed && r.last.outcome == string(gateway.OutcomeUnknown) && time.Since(start) > unknownRetryTimeout {
			return r // the result was lost with the daemon that held it
		}
		if keyed && r.last.outcome == string(gateway.OutcomeNotRun) {
			key = uuid.Must(uuid.NewV7()).String()
		}
		time.Sleep(100 * time.Millisecond)
	}
	return r
}

// checkResults checks every result against the endpoints' journal: no request is lost, no keyed one is executed twice,
// and every answer belongs to its request. It returns the number of keyed requests whose outcome stayed unknown.
func (c *cluster) checkResults(results []result) (unknown int) {
	c.t.Helper()
	executions := map[string]int{}
	for _, e := range c.requestExecutions() {
		executions[e.Path[strings.LastIndex(e.Path, "/")+1:]]++
	}
	retriedCount := 0
	for _, r := range results {
		n := executions[r.id]
		if r.tries > 0 {
			retriedCount++
		}
		switch {
		case r.last.answered() && !strings.HasSuffix(r.last.echo.Path, r.id):
			c.t.Errorf("request %s got the answer to %s", r.id, r.last.echo.Path)
		case r.last.answered() && n == 0:
			c.t.Errorf("request %s was answered but not executed", r.id)
		case r.keyed && n > 1:
			c.t.Errorf("keyed request %s was executed %d times", r.id, n)
		case r.keyed && r.last.outcome == string(gateway.OutcomeNotRun) && n > 0:
			c.t.Errorf("keyed request %s was executed and ended as not-run: %s", r.id, r.last.text)
		case r.keyed && r.last.outcome == string(gateway.OutcomeUnknown):
			unknown++
		case !r.last.answered():
			c.t.Errorf("request %s (keyed %t) was lost after %d tries: %d %s %s", r.id, r.keyed, r.tries, r.last.status,
				r.last.outcome, r.last.text)
		}
	}
	c.t.Logf("%d requests, %d retried by callers, %d unknown", len(results), retriedCount, unknown)
	return unknown
}
