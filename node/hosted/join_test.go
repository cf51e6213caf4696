package hosted

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"waxwingslip.example/external/keyedlog"
	storefake "waxwingslip.example/external/keyedlog/fake"
)

// Guards against a small VM that divides the fleet into many small shards, since the workers' registration takes as long
// as its delay (sweep of trentside-plans-grown at 30 VMs: eight shards for 302 workers, without room for restarted tasks).
func TestSmallVMsLeaveCountToOthers(t *testing.T) {
	for _, registration := range []time.Duration{0, 3 * time.Second, 5 * time.Second, 6 * time.Second, 9 * time.Second} {
		t.Run(registration.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store, registry := storefake.New(), keyedlog.Partition{Topic: "keyed.servers"}
				startedAt := time.Now()
				var daemons sync.WaitGroup
				counts := make([]int, 12)
				for i := range counts {
					cores := 0.11
					if i == len(counts)-1 {
						cores = 0.8
					}
					d := New(&Settings{Name: fmt.Sprintf("d%d", i), VM: VM{Cores: cores}, Store: StoreSettings{Partitions: 8},
						Bounds: Bounds{HoldMaxMs: 6000, HarmMs: 4000}},
						Dependencies{Store: store.As(fmt.Sprintf("d%d", i)), Now: func() time.Duration { return time.Since(startedAt) },
							Layout: Layout{Registry: registry}}, zerolog.Nop())
					daemons.Go(func() {
						for counts[i] == 0 && time.Since(startedAt) < time.Minute {
							counts[i], _ = d.agreeOnShardCount(t.Context())
						}
					})
				}
				for i := range 350 {
					_, err := store.As("operator").Append(t.Context(), keyedlog.Append{Partition: registry,
						Records: []keyedlog.Record{{Key: fmt.Sprintf("w%d", i), Value: []byte("up")}}})
					is.NoErr(err)
					time.Sleep(registration / 350)
				}
				daemons.Wait()
				for _, n := range counts {
					is.Equal(n, 2)
				}
			})
		})
	}
}
