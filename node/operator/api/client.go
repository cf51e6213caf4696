package api

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Error is a call that returned no result of its command or query.
type Error struct {
	// Step is the step that failed, Peer the daemon's base URL.
	Step string
	Peer string
	// Status is the HTTP status, 0 if no answer arrived.
	Status int
	// OutcomeUnknown is true if the daemon may have received a command whose result is unknown.
	OutcomeUnknown bool
	Err            error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Status == 0 {
		return fmt.Sprintf("%s, daemon %s: %v", e.Step, e.Peer, e.Err)
	}
	return fmt.Sprintf("%s, daemon %s, status %d: %v", e.Step, e.Peer, e.Status, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Client calls one daemon.
type Client struct {
	// base is the URL of the daemon's operators' listener without a trailing slash.
	base  string
	token string
	http  *http.Client
}

// NewClient returns a client for the daemon at base, for instance http://10.0.0.1:7102.
func NewClient(base, token string, hc *http.Client) *Client {
	return &Client{base: strings.TrimRight(base, "/"), token: token, http: hc}
}

// Address returns the daemon's base URL.
func (c *Client) Address() string { return c.base }

// PublishConfig publishes a document.
func (c *Client) PublishConfig(ctx context.Context, cmd PublishConfig) (Answer, error) {
	return c.command(ctx, PathPublishConfig, cmd)
}

// SubmitJob submits a batch job.
func (c *Client) SubmitJob(ctx context.Context, cmd SubmitJob) (Answer, error) {
	return c.command(ctx, PathSubmitJob, cmd)
}

// CancelJob ends a job.
func (c *Client) CancelJob(ctx context.Context, cmd CancelJob) (Answer, error) {
	return c.command(ctx, PathCancelJob, cmd)
}

// SetZoneService takes a zone out of service or puts it back.
func (c *Client) SetZoneService(ctx context.Context, cmd SetZoneService) (Answer, error) {
	return c.command(ctx, PathSetZoneService, cmd)
}

// WorkerLost attests that a VM is gone and runs nothing.
func (c *Client) WorkerLost(ctx context.Context, cmd WorkerLost) (Answer, error) {
	return c.command(ctx, PathWorkerLost, cmd)
}

// Status describes the daemon.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return get[Status](ctx, c, PathStatus, nil)
}

// Config returns a configuration version; 0 selects the current one.
func (c *Client) Config(ctx context.Context, version int64) (Config, error) {
	return get[Config](ctx, c, PathConfig, queryValues("version", formatNumber(version)))
}

// ConfigInForce returns which version is in force in each zone.
func (c *Client) ConfigInForce(ctx context.Context) (ConfigInForce, error) {
	return get[ConfigInForce](ctx, c, PathConfigInForce, nil)
}

// Jobs lists jobs.
func (c *Client) Jobs(ctx context.Context, q JobsQuery) (Jobs, error) {
	return get[Jobs](ctx, c, PathJobs, queryValues("team", q.Team, "state", q.State,
		"limit", formatNumber(int64(q.Limit)), "after", q.After))
}

// Job describes one job.
func (c *Client) Job(ctx context.Context, id string) (Job, error) {
	return get[Job](ctx, c, PathJob, queryValues("id", id))
}

// Tasks lists tasks of the daemon's zone.
func (c *Client) Tasks(ctx context.Context, q TasksQuery) (Tasks, error) {
	return get[Tasks](ctx, c, PathTasks, queryValues("zone", q.Zone, "job", q.Job, "worker", q.Worker,
		"state", q.State, "limit", formatNumber(int64(q.Limit)), "after", q.After))
}

// Workers lists workers of the daemon's zone.
func (c *Client) Workers(ctx context.Context, q WorkersQuery) (Workers, error) {
	return get[Workers](ctx, c, PathWorkers, queryValues("zone", q.Zone, "state", q.State,
		"limit", formatNumber(int64(q.Limit)), "after", q.After))
}

// Zones describes all zones.
func (c *Client) Zones(ctx context.Context) (Zones, error) {
	return get[Zones](ctx, c, PathZones, nil)
}

// Explain returns why a subject is in its state.
func (c *Client) Explain(ctx context.Context, q ExplainQuery) (Explanation, error) {
	v := queryValues("job", q.Job, "worker", q.Worker, "service", q.Service)
	if q.Job != "" && q.Index >= 0 {
		v.Set("index", strconv.Itoa(q.Index))
	}
	return get[Explanation](ctx, c, PathExplain, v)
}

func (c *Client) command(ctx context.Context, path string, cmd any) (Answer, error) {
	body, err := json.Marshal(cmd)
	if err != nil {
		return Answer{}, &Error{Step: path, Peer: c.base, Err: err}
	}
	var answer Answer
	err = c.call(ctx, http.MethodPost, path, nil, body, &answer)
	return answer, err
}

func get[T any](ctx context.Context, c *Client, path string, q url.Values) (T, error) {
	var out T
	err := c.call(ctx, http.MethodGet, path, q, nil, &out)
	return out, err
}

func (c *Client) call(ctx context.Context, method, path string, q url.Values, body []byte, out any) error {
	target := c.base + path
	if len(q) > 0 {
		target += "?" + q.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return &Error{Step: path, Peer: c.base, Err: err}
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return &Error{Step: path, Peer: c.base, OutcomeUnknown: !dialFailed(err), Err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes+1))
	if err == nil && len(data) > MaxAnswerBytes {
		err = errors.Errorf("answer is larger than %d bytes", MaxAnswerBytes)
	}
	if err != nil {
		return &Error{Step: path, Peer: c.base, Status: resp.StatusCode, OutcomeUnknown: true, Err: err}
	}
	return c.decode(path, method, resp.StatusCode, data, out)
}

func (c *Client) decode(path, method string, status int, data []byte, out any) error {
	if isResult(method, status) {
		err := json.Unmarshal(data, out)
		if answer, ok := out.(*Answer); err == nil && ok && answer.Result == "" {
			err = errors.New("answer has no result")
		}
		if err != nil {
			return &Error{Step: path, Peer: c.base, Status: status, OutcomeUnknown: true,
				Err: errors.Wrap(err, "decode answer")}
		}
		return nil
	}
	// A body that is not a Problem may come from a proxy between client and daemon.
	var p Problem
	outcomeUnknown := false
	if err := json.Unmarshal(data, &p); err != nil || p.Message == "" {
		p = Problem{Step: path, Message: http.StatusText(status)}
		outcomeUnknown = status >= http.StatusInternalServerError
	}
	e := &Error{Step: p.Step, Peer: c.base, Status: status, OutcomeUnknown: outcomeUnknown, Err: errors.New(p.Message)}
	if p.Peer != "" {
		e.Err = errors.Errorf("%s (peer %s)", p.Message, p.Peer)
	}
	return e
}

func isResult(method string, status int) bool {
	if status == http.StatusOK {
		return true
	}
	if method != http.MethodPost {
		return false
	}
	return status == http.StatusConflict || status == http.StatusUnprocessableEntity ||
		status == http.StatusGatewayTimeout
}

func queryValues(pairs ...string) url.Values {
	v := url.Values{}
	for i := 0; i+1 < len(pairs); i += 2 {
		if pairs[i+1] != "" {
			v.Set(pairs[i], pairs[i+1])
		}
	}
	return v
}

// formatNumber formats n for a query; 0 selects the daemon's default.
func formatNumber(n int64) string {
	if n == 0 {
		return ""
	}
	return strconv.FormatInt(n, 10)
}
