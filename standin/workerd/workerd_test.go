package workerd_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"waxwingslip.example/core/resource"
	"waxwingslip.example/external/worker"
	"waxwingslip.example/external/worker/fake"
	"waxwingslip.example/standin/endpointd"
	"waxwingslip.example/standin/workerd"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var (
	ctx = context.Background()
	key = worker.RunKey{Job: "service/zones", Index: 3, Epoch: 7}
)

type replica struct {
	*is.I
	worker *workerd.Worker
	client *worker.HTTPClient
	url    string
	fence  worker.Fence
	http   *http.Client
}

// startReplica starts one replica on one worker with a lease of the given length.
func startReplica(t *testing.T, leaseMs int64) *replica {
	is := is.New(t)
	s, err := workerd.Start(ctx, "", []workerd.WorkerOptions{{ID: "w1", Capacity: resource.Vector{Slots: 1}}})
	is.NoErr(err)
	r := &replica{I: is, worker: s.Worker("w1"), client: worker.NewHTTPClient(),
		http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	t.Cleanup(func() { r.client.Close(); s.Close() })
	rep, err := r.client.Report(ctx, r.worker.Address())
	is.NoErr(err)
	r.fence = worker.Fence{Incarnation: rep.Incarnation, OwnerEpoch: 1, NotAfterMs: 1 << 40}
	_, err = r.client.Renew(ctx, r.worker.Address(), worker.RenewRequest{Fence: r.fence, LeaseUntilMs: r.worker.Fake.NowMs() + leaseMs})
	is.NoErr(err)
	is.NoErr(r.client.Start(ctx, r.worker.Address(), worker.StartRequest{Fence: r.fence, RunKey: key, Service: "zones",
		Size: resource.Vector{Slots: 1}}))
	rep, err = r.client.Report(ctx, r.worker.Address())
	is.NoErr(err)
	r.url = "http://" + rep.Runs[0].Address
	return r
}

func (r *replica) post(ctx context.Context, path, id, body string) (*http.Response, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.url+path, strings.NewReader(body))
	r.NoErr(err)
	req.Header.Set(endpointd.HeaderRequestID, id)
	resp, err := r.http.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	respBody, err := io.ReadAll(resp.Body)
	return resp, respBody, err
}

// Guards against echoes of another request and against a journal that misses an execution.
func TestEchoAndJournal(t *testing.T) {
	r := startReplica(t, 3600_000)
	resp, body, err := r.post(ctx, "/tune?status=201", "id-1", "hello")
	r.NoErr(err)
	r.Equal(resp.StatusCode, http.StatusCreated)
	var echo endpointd.Echo
	r.NoErr(json.Unmarshal(body, &echo))
	r.Equal(echo, endpointd.Echo{Replica: "zones/3/7@w1", Method: "POST", Path: "/tune?status=201", RequestID: "id-1", Body: "hello"})
	_, body, err = r.post(ctx, "/big?size=100000", "id-2", "")
	r.NoErr(err)
	r.Equal(len(body), 100_000)
	r.Equal(body[99_999], endpointd.Pattern(99_999))
	journal := r.worker.Journal()
	r.Equal(len(journal), 2)
	r.Equal(journal[1].RequestID, "id-2")
}

// Guards against an endpoint that does not signal that it is leaving, or that executes requests that it refuses.
func TestLeaving(t *testing.T) {
	r := startReplica(t, 3600_000)
	r.worker.SetCondition(fake.Condition{Leaving: true})
	resp, _, err := r.post(ctx, "/", "", "")
	r.NoErr(err)
	r.Equal(resp.Header.Get(endpointd.HeaderLeaving), "1")
	r.worker.SetCondition(fake.Condition{Refusing: true})
	resp, _, err = r.post(ctx, "/", "", "")
	r.NoErr(err)
	r.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	r.True(resp.Close)
	r.Equal(len(r.worker.Journal()), 1)
}

// Guards against an endpoint that still serves after its run was stopped, or after its lease expired without a call
// to the worker.
func TestEndpointCloses(t *testing.T) {
	for name, leaseMs := range map[string]int64{"stopped": 3600_000, "lapsed": 100} {
		t.Run(name, func(t *testing.T) {
			r := startReplica(t, leaseMs)
			if name == "stopped" {
				_, err := r.client.Stop(ctx, r.worker.Address(), worker.StopRequest{Fence: r.fence, RunKey: key})
				r.NoErr(err)
			}
			for deadline := time.Now().Add(10 * time.Second); ; {
				if _, _, err := r.post(ctx, "/", "", ""); err != nil {
					return
				}
				if time.Now().After(deadline) {
					t.Fatal("the endpoint still serves")
				}
			}
		})
	}
}

// Guards against an endpoint that responds while its worker is frozen.
func TestFrozenEndpoint(t *testing.T) {
	r := startReplica(t, 3600_000)
	r.worker.SetCondition(fake.Condition{Frozen: true})
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	_, _, err := r.post(short, "/", "id", "")
	r.True(err != nil)
	r.Equal(len(r.worker.Journal()), 0)
	r.worker.SetCondition(fake.Condition{})
	_, _, err = r.post(ctx, "/", "id", "")
	r.NoErr(err)
}
