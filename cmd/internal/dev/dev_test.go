package dev

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/resource"
	"waxwingslip.example/node/operator/api"
)

// eventually waits until check returns true, and fails the test after 60 s.
func eventually(t *testing.T, condition string, check func() bool) {
	t.Helper()
	deadline := time.Now().Add(60 * time.Second)
	for !check() {
		if time.Now().After(deadline) {
			t.Fatalf("not reached: %s", condition)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against components that work on their own but do not serve a request or finish a batch job together.
func TestRequestAndBatchJob(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	trial, err := Start(ctx, Options{Dir: t.TempDir(), Log: zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.WarnLevel)})
	is.NoErr(err)
	defer trial.Close()

	for _, d := range trial.Daemons {
		eventually(t, "request answered by "+d.Name, func() bool {
			resp, err := http.Get("http://" + d.Addresses.Callers + "/services/hello/greet")
			if err != nil {
				return false
			}
			defer resp.Body.Close()
			_, err = io.ReadAll(resp.Body)
			return err == nil && resp.StatusCode == http.StatusOK
		})
	}

	client := api.NewClient("http://"+trial.Daemons[0].Addresses.Operators, trial.Token, http.DefaultClient)
	job := record.JobSpec{
		ID: "count", Team: "demo", Class: "batch", Priority: record.PriorityBatch, Tasks: 3,
		Size: resource.Vector{Slots: 1, MilliCPU: 500, MemoryMB: 100}, Payload: "run=200ms",
	}
	answer, err := client.SubmitJob(ctx, api.SubmitJob{Command: uuid.New(), Job: job})
	is.NoErr(err)
	is.Equal(answer.Result, api.Accepted)
	eventually(t, "job finished", func() bool {
		j, err := client.Job(ctx, "count")
		return err == nil && j.State == api.JobFinished && j.Succeeded == 3
	})
}
