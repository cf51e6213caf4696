package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// The queue of all cases.
const (
	queueHost   = "nony24.example"
	queuePrefix = "/lohu930/"
	serviceName = "huvo11a"
)

var httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: -1}}

// call sends a client's request to a daemon and returns the status, 0 without an answer, and the body.
func (c *testCase) call(d *daemon, method, id string, body []byte) (int, string) {
	httpClient.Timeout = 3500 * time.Millisecond
	req, err := http.NewRequest(method, "http://"+d.callers+queuePrefix+id, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", "3000")
	resp, err := httpClient.Do(req)
	if err != nil {
		c.rec.add("client", "%s %s at %s: no answer (%v)", method, id, d.name, err)
		return 0, ""
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	text := string(bytes.TrimSpace(data))
	c.rec.add("client", "%s %s at %s: %d %s", method, id, d.name, resp.StatusCode, text)
	return resp.StatusCode, text
}

// submit hands a job in, at other daemons too while it is not accepted, and reports whether it was accepted.
func (c *testCase) submit(j *job) bool {
	body, err := json.Marshal(map[string]any{"spec": "(text)", "steps": j.wire()})
	if err != nil {
		panic(err)
	}
	c.fleet.know(j)
	for try := range 5 {
		if status, _ := c.call(c.daemons[try%len(c.daemons)], http.MethodPost, j.id, body); status == http.StatusOK {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// state returns the state of a job as a daemon shows it, empty without one.
func (c *testCase) state(d *daemon, id string) (int, string) {
	status, body := c.call(d, http.MethodGet, id, nil)
	var v struct{ State string }
	_ = json.Unmarshal([]byte(body), &v) // other answers have no state
	return status, v.State
}
