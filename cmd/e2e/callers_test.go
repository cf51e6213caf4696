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

// plainClient keeps no connections, so that a caller's retry never meets a connection of a killed daemon.
var plainClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 15 * time.Second}

// reply is the outcome of one attempt; status is 0 if there was no answer.
type reply struct {
	status  int
	outcome string
	echo    endpointd.Echo
	text    string
}

func (r reply) answered() bool {
	return r.status == http.StatusOK && r.outcome == string(gateway.OutcomeAnswered)
}

func getOnce(d *entry, path string) reply { return attempt(d, http.MethodGet, path, "", "") }

// attempt sends one request for the service hello.
func attempt(d *entry, method, path, key, body string) reply {
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

// result is what a caller knows in the end.
type result struct {
	id    string
	keyed bool
	last  reply
	tries int
}

// stream is a number of callers that send requests without pause and retry through other daemons.
type stream struct {
	mu      sync.Mutex
	results []result

	stopping atomic.Bool
	callers  sync.WaitGroup
}

// giveUp is how long a caller goes on retrying one request.
const giveUp = 30 * time.Second

// unknownAfter is how long a caller goes on retrying a request whose outcome stays unknown. A killed daemon leaves the
// zone's claim view about 9 s after its last heartbeat; until then a key may be undecided for that reason.
const unknownAfter = 15 * time.Second

// startStream starts callers. Every second one sends non-idempotent requests with keys if keyed is set.
func (c *cluster) startStream(callers int, keyed bool) *stream {
	s := &stream{}
	daemons := append([]*entry(nil), c.daemons...)
	for i := range callers {
		s.callers.Go(func() {
			for n := 0; !s.stopping.Load(); n++ {
				r := call(daemons, i+n, keyed && i%2 == 0)
				s.mu.Lock()
				s.results = append(s.results, r)
				s.mu.Unlock()
			}
		})
	}
	return s
}

// count returns the number of finished requests.
func (s *stream) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.results)
}

// waitMore waits until n more requests have finished.
func (s *stream) waitMore(t *testing.T, n int) {
	t.Helper()
	target := s.count() + n
	eventually(t, readyTimeout, fmt.Sprintf("%d more requests", n), func() bool { return s.count() >= target })
}

// stop ends the callers and returns all results.
func (s *stream) stop() []result {
	s.stopping.Store(true)
	s.callers.Wait()
	return s.results
}

// call sends one request and retries it with the same key or path through the next daemon until it is answered. An
// outcome "unknown" of a keyed request is repeated too: the claim decides whether the first attempt counts.
func call(daemons []*entry, start int, keyed bool) result {
	r := result{id: uuid.Must(uuid.NewV7()).String(), keyed: keyed}
	begin := time.Now()
	for ; time.Since(begin) < giveUp; r.tries++ {
		d := daemons[(start+r.tries)%len(daemons)]
		if keyed {
			r.last = attempt(d, http.MethodPost, "/charge/"+r.id, r.id, "charge "+r.id)
		} else {
			r.last = attempt(d, http.MethodGet, "/read/"+r.id, "", "")
		}
		if r.last.answered() {
			return r
		}
		if keyed && r.last.outcome == string(gateway.OutcomeUnknown) && time.Since(begin) > unknownAfter {
			return r // the result was lost with its holder
		}
		time.Sleep(100 * time.Millisecond)
	}
	return r
}

// checkResults checks every result against the endpoints' journal: nothing lost, nothing doubled, every answer is the
// one to its own request. It returns the number of keyed requests whose outcome stayed unknown.
func (c *cluster) checkResults(results []result) (unknown int) {
	c.t.Helper()
	executed := map[string]int{}
	for _, e := range c.journal() {
		executed[e.Path[strings.LastIndex(e.Path, "/")+1:]]++
	}
	retried := 0
	for _, r := range results {
		n := executed[r.id]
		if r.tries > 0 {
			retried++
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
	c.t.Logf("%d requests, %d retried by callers, %d unknown", len(results), retried, unknown)
	return unknown
}
