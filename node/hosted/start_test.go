package hosted

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"waxwingslip.example/external/jobqueue"
	"waxwingslip.example/external/jobworker"
	workerfake "waxwingslip.example/external/jobworker/fake"
	"waxwingslip.example/external/keyedlog"
	storefake "waxwingslip.example/external/keyedlog/fake"
)

// startTestDaemon starts a daemon whose store holds a configuration and the number of shards, and returns it with its
// store. It listens for other daemons on an address.
func startTestDaemon(t *testing.T, address string, fault func(caller, method string, p keyedlog.Partition) storefake.Fault) *Daemon {
	is := is.New(t)
	store, control := storefake.New(), keyedlog.Partition{Topic: "keyed.control"}
	count, err := cbor.Marshal(1)
	is.NoErr(err)
	for p, r := range map[keyedlog.Partition]keyedlog.Record{
		control: {Key: "config", Value: []byte("1")}, agreementPartition: {Key: shardsKey, Value: count},
	} {
		_, err := store.As("operator").Append(t.Context(), keyedlog.Append{Partition: p, Records: []keyedlog.Record{r}})
		is.NoErr(err)
	}
	store.SetFault(fault)
	settings := &Settings{Name: "d", VM: VM{Cores: 0.5}, Listen: Listen{Peers: address}, Store: StoreSettings{Partitions: 8},
		Bounds: Bounds{HoldMaxMs: 6000, HarmMs: 4000}}
	startedAt := time.Now()
	d := New(settings, Dependencies{
		Store: store.As("d"), Workers: workerfake.NewFleet(nil),
		Layout: Layout{Control: control, Registry: keyedlog.Partition{Topic: "keyed.servers"}, ConfigKey: "config",
			DecodeConfig: func([]byte) (*jobqueue.Config, error) { return &jobqueue.Config{Version: 1}, nil },
			CopyConfig:   copyTestManifest,
			DecodeCopy:   func([]byte) (*jobqueue.Config, error) { return &jobqueue.Config{Version: 1}, nil }},
		DecodeWorker: func(string, []byte) (jobworker.Info, error) { return jobworker.Info{}, nil },
		Now:          func() time.Duration { return time.Hour + time.Since(startedAt) },
	}, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go d.start(ctx)
	return d
}

// waitForShard waits until the daemon is ready and owns its shard.
func waitForShard(t *testing.T, d *Daemon) {
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if d.notReady() == nil && d.ownedShard(0) != nil {
			return
		}
	}
	t.Fatalf("the daemon owns no shard after 30 s: %v", d.notReady())
}

// Guards against a daemon that is never ready because it started while the store left calls unanswered (review of
// ambon-mist): each of its first calls is without response.
func TestStartWhileStoreIsSilent(t *testing.T) {
	var mu sync.Mutex
	called := map[string]bool{}
	waitForShard(t, startTestDaemon(t, "127.0.0.1:0", func(caller, method string, p keyedlog.Partition) storefake.Fault {
		mu.Lock()
		defer mu.Unlock()
		key := method + " " + p.Topic
		first := caller == "d" && !called[key]
		called[key] = true
		return storefake.Fault{Hang: first}
	}))
}

// Guards against a daemon that is never ready because its former process still used the port for other daemons.
func TestStartWhilePortIsInUse(t *testing.T) {
	former, err := net.ListenPacket("udp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	time.AfterFunc(time.Second, func() { _ = former.Close() }) // the process ends
	waitForShard(t, startTestDaemon(t, former.LocalAddr().String(), nil))
}
