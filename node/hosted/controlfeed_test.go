package hosted

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/external/keyedlog"
	storefake "waxwingslip.example/external/keyedlog/fake"
	"waxwingslip.example/node/configcopy"
)

// feedDaemons starts daemons, of which the first one copies, and returns them.
func feedDaemons(ctx context.Context, store *storefake.Store, count int) []*Daemon {
	var daemons []*Daemon
	for i := range count {
		d := newControlDaemon(store, fmt.Sprintf("d%d", i))
		d.feed.leads = func() bool { return i == 0 }
		daemons = append(daemons, d)
		go d.followControl(ctx)
	}
	return daemons
}

// shortestConfigBound is the shortest time of the deployments within which a configuration has to be in force.
const shortestConfigBound = 2500 * time.Millisecond

// Guards against a configuration that is late since the daemon that copies it, or the topic of the copy, fails.
func TestConfigurationInForceWithoutCopy(t *testing.T) {
	copies := configcopy.Partition.Topic
	for name, c := range map[string]struct {
		cutOff string // daemon that can't get the configuration
		fault  func(caller, method, topic string) storefake.Fault
	}{
		"no fault": {"", func(string, string, string) storefake.Fault { return storefake.Fault{} }},
		"the daemon that copies gets no responses": {"d0", func(caller, _, _ string) storefake.Fault {
			return storefake.Fault{Hang: caller == "d0"}
		}},
		"its appends are refused": {"", func(caller, method, _ string) storefake.Fault {
			return storefake.Fault{Refuse: caller == "d0" && method == "append"}
		}},
		"its appends take effect later": {"", func(caller, method, _ string) storefake.Fault {
			if caller == "d0" && method == "append" {
				return storefake.Fault{Late: 1500 * time.Millisecond}
			}
			return storefake.Fault{}
		}},
		"the topic of the copy refuses all": {"", func(_, _, topic string) storefake.Fault {
			return storefake.Fault{Refuse: topic == copies}
		}},
		"the topic of the copy is silent": {"", func(_, _, topic string) storefake.Fault {
			return storefake.Fault{Hang: topic == copies}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store, m := storefake.New(), newTestManifest(100)
				publishManifest(t, store, m)
				ctx, cancel := context.WithCancel(t.Context())
				defer synctest.Wait()
				defer cancel()
				daemons := feedDaemons(ctx, store, 5)
				time.Sleep(5 * time.Second)
				store.SetFault(func(caller, method string, p keyedlog.Partition) storefake.Fault {
					if caller == "operator" {
						return storefake.Fault{}
					}
					return c.fault(caller, method, p.Topic)
				})
				time.Sleep(3 * time.Second)
				m.addRoute()
				publishManifest(t, store, m)
				time.Sleep(shortestConfigBound)
				for _, d := range daemons {
					is.Equal(versionOf(d) == int64(m.version), d.settings.Name != c.cutOff)
					is.Equal(d.feed.age() <= staleControlAge, d.settings.Name != c.cutOff)
				}
				store.SetFault(nil)
				time.Sleep(targetConfigInForce)
				for _, d := range daemons {
					is.Equal(versionOf(d), int64(m.version))
					is.True(d.feed.age() <= staleControlAge)
				}
			})
		})
	}
}

// Guards against daemons that all read the operators' large record although one copies it.
func TestOnlyOneDaemonReadsOriginal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, m := storefake.New(), newTestManifest(100)
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		daemons := feedDaemons(ctx, store, 20)
		for range 10 {
			m.addRoute()
			publishManifest(t, store, m)
			time.Sleep(time.Second)
		}
		for i, d := range daemons {
			is.Equal(versionOf(d), int64(m.version))
			if i > 0 {
				is.Equal(d.metrics.Counter("control_original_reads").Value(), int64(0))
			}
		}
	})
}

// Guards against a zone that stays in or out of service on daemons that read only copies.
func TestZonesArriveWithCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := storefake.New()
		publishManifest(t, store, newTestManifest(3))
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		daemons := feedDaemons(ctx, store, 3)
		for _, value := range [][]byte{[]byte("{}"), nil, []byte("{}")} {
			_, err := store.As("operator").Append(t.Context(), keyedlog.Append{Partition: testControl,
				Records: []keyedlog.Record{{Key: "evacuate/z1", Value: value}}})
			is.NoErr(err)
			time.Sleep(shortestConfigBound)
			for _, d := range daemons {
				is.Equal(d.control.ZoneOutOfService("z1"), value != nil)
			}
		}
		for _, d := range feedDaemons(ctx, store, 1) {
			time.Sleep(shortestConfigBound)
			is.True(d.control.ZoneOutOfService("z1")) // after a start
		}
	})
}
