package shard_test

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/external/keyedlog"
	storefake "waxwingslip.example/external/keyedlog/fake"
)

// Guards against a call of an owner to the store that has no time limit or is not repeated: the first call of each kind
// to each topic has no response.
func TestFirstCallsWithoutResponse(t *testing.T) {
	runCluster(t, 2, 0, oneSecondTask, func(c *cluster, is *is.I) {
		var mu sync.Mutex
		called := map[string]bool{}
		c.store.SetFault(func(caller, method string, p keyedlog.Partition) storefake.Fault {
			mu.Lock()
			defer mu.Unlock()
			key := method + " " + p.Topic
			first := caller != "operator" && !called[key]
			if first {
				called[key] = true
			}
			return storefake.Fault{Hang: first}
		})
		c.addDaemon("d0") // it makes its first calls at once
		c.submit("job", jobs.Step{}, 2)
		c.waitForState("job", jobs.StateCompleted, 30*time.Second)
		is.True(len(called) >= 8)
	})
}
