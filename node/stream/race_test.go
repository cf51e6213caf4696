package stream_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"waxwingslip.example/core/control"
	"waxwingslip.example/core/environment"
	"waxwingslip.example/core/record"
	"waxwingslip.example/external/fault"
	"waxwingslip.example/external/logstore/fake"
	"waxwingslip.example/node/replica"
	"waxwingslip.example/node/stream"
)

// parseName accepts any text that is not empty and returns the same document for all.
func parseName(b []byte) (*environment.Document, error) {
	if len(b) == 0 {
		return nil, errors.New("empty document")
	}
	return &environment.Document{Environment: "trial"}, nil
}

// Guards against two operators whose documents are both accepted, also with lost or slow responses of the log, and
// against daemons that disagree about the document in force.
func TestOperatorsRace(t *testing.T) {
	faults := map[string]fault.Setting{
		"healthy":        {},
		"responses lost": {LoseResponses: 2, Operations: []string{fake.OpAppend}},
		"slow":           {DelayMs: 700, ResponseDelayMs: 700},
	}
	for name, set := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := fake.New(nil)
				var wg sync.WaitGroup
				ctx, cancel := context.WithCancel(t.Context())
				var daemons []*replica.Control
				for range 2 {
					c := replica.NewControl(store, parseName, stream.FollowerOptions{Stream: "trial.control"}, stream.AppenderOptions{})
					wg.Go(func() { _ = c.Follower.Run(ctx) })
					wg.Go(func() { _ = c.Appender.Run(ctx) })
					daemons = append(daemons, c)
				}
				time.Sleep(time.Second)
				store.Faults.Set(set)
				results := make([]stream.Result, 2)
				var commands sync.WaitGroup
				for i, c := range daemons {
					commands.Go(func() {
						submitCtx, cancelSubmit := context.WithTimeout(ctx, 20*time.Second)
						defer cancelSubmit()
						r, err := c.Submit(submitCtx, &record.Configure{Document: []byte{byte('a' + i)}})
						if err != nil {
							t.Error(err)
						}
						results[i] = r
					})
				}
				commands.Wait()
				time.Sleep(10 * time.Second)
				cancel()
				wg.Wait()
				winner := 0
				if results[1].Accepted {
					winner = 1
				}
				is.True(results[winner].Accepted && !results[1-winner].Accepted)
				is.True(strings.Contains(results[1-winner].Reason, "conflict"))
				for _, c := range daemons {
					c.View(func(s *control.State) {
						is.Equal(s.Version(), results[winner].Offset)
						is.Equal(string(s.DocumentBytes()), string(rune('a'+winner)))
					})
				}
			})
		})
	}
}
