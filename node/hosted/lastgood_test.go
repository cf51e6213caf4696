package hosted

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/external/keyedlog"
	storefake "waxwingslip.example/external/keyedlog/fake"
)

// Guards against a daemon that starts while the newest configuration cannot be used and so has none, although the daemons
// that run have the last good one: the store lists only the newest record of a key.
func TestLastGoodVersionAfterStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := storefake.New()
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		start := func(name string) *Daemon {
			d := newControlDaemon(store, name)
			go d.followControl(ctx)
			time.Sleep(targetConfigInForce)
			return d
		}
		publishManifest(t, store, newTestManifest(3))
		running := start("running")
		_, err := store.As("operator").Append(t.Context(), keyedlog.Append{Partition: testControl,
			Records: []keyedlog.Record{{Key: "config", Value: []byte("bad")}}})
		is.NoErr(err)
		time.Sleep(targetConfigInForce)
		started := start("started")
		for _, d := range []*Daemon{running, started} {
			is.Equal(versionOf(d), int64(3))
			is.True(d.feed.age() <= staleControlAge) // the newest record is known, though it can't be used
		}
	})
}
