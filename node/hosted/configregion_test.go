package hosted

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"waxwingslip.example/external/jobqueue"
	"waxwingslip.example/external/keyedlog"
	storefake "waxwingslip.example/external/keyedlog/fake"
)

// Figures of the target size.
const (
	targetDaemonsAcrossLink = 150
	targetLinkBytesPerS     = 60_000_000 / 8
	targetConfigInForce     = 7 * time.Second
	targetDaemonBytesPerS   = 10 << 10
	regionLatency           = 30 * time.Millisecond
)

// testManifest has a version in its first line and routes of the size and variety of real ones.
type testManifest struct {
	random  *rand.Rand
	version int
	routes  bytes.Buffer
}

func newTestManifest(routes int) *testManifest {
	m := &testManifest{random: rand.New(rand.NewPCG(1, 2))}
	for range routes {
		m.addRoute()
	}
	return m
}

func (m *testManifest) addRoute() {
	m.version++
	fmt.Fprintf(&m.routes, `{"name":"route-%d","host":"%x.example","path_prefix":"/%x/","timeout_ms":20000,"priority":%d,`+
		`"service":"service-%d","max_attempts":4,"stretch":1.7,"target_duration_ms":2500,"tenant":"t%d","limits":{}}`+"\n",
		m.version, m.random.Uint32(), m.random.Uint64(), m.random.IntN(4), m.random.IntN(9), m.random.IntN(30))
}

func (m *testManifest) encode() []byte {
	return append([]byte(strconv.Itoa(m.version)+"\n"), m.routes.Bytes()...)
}

func decodeTestManifest(value []byte) (*jobqueue.Config, error) {
	line, _, ok := bytes.Cut(value, []byte("\n"))
	version, err := strconv.ParseInt(string(line), 10, 64)
	if err != nil || !ok {
		return nil, errors.New("manifest has no version")
	}
	return &jobqueue.Config{Version: version}, nil
}

func copyTestManifest(value []byte) ([]byte, error) { return value, nil }

var testControl = keyedlog.Partition{Topic: "keyed.control"}

func publishManifest(t *testing.T, store *storefake.Store, m *testManifest) {
	_, err := store.As("operator").Append(t.Context(), keyedlog.Append{Partition: testControl,
		Records: []keyedlog.Record{{Key: "config", Value: m.encode()}}})
	is.New(t).NoErr(err)
}

// newControlDaemon returns a daemon that can follow the control topic.
func newControlDaemon(store *storefake.Store, name string) *Daemon {
	startedAt := time.Now()
	return New(&Settings{Name: name, Store: StoreSettings{Partitions: 8}}, Dependencies{
		Store: store.As(name),
		Layout: Layout{Control: testControl, ConfigKey: "config", ZoneOutOfServicePrefix: "evacuate/",
			DecodeConfig: decodeTestManifest, CopyConfig: copyTestManifest, DecodeCopy: decodeTestManifest},
		Now: func() time.Duration { return time.Hour + time.Since(startedAt) },
	}, zerolog.Nop())
}

func versionOf(d *Daemon) int64 {
	if c := d.control.Config(); c != nil {
		return c.Version
	}
	return 0
}

// waitForVersion returns how many daemons don't have a version in force after the target time.
func waitForVersion(daemons []*Daemon, version int) (late int) {
	for deadline := time.Now().Add(targetConfigInForce); ; time.Sleep(50 * time.Millisecond) {
		late = 0
		for _, d := range daemons {
			if versionOf(d) < int64(version) {
				late++
			}
		}
		if late == 0 || time.Now().After(deadline) {
			return late
		}
	}
}

// Guards against a region whose daemons get a new configuration too late, since their reads of a large manifest fill the
// link that they share (CONFIG after versions in quick succession and an outage).
func TestLargeManifestAcrossNarrowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, link := storefake.New(), storefake.NewLink(targetLinkBytesPerS)
		var silent sync.Map // names of daemons that get no responses
		store.SetFault(func(caller, _ string, _ keyedlog.Partition) storefake.Fault {
			_, hang := silent.Load(caller)
			if strings.HasPrefix(caller, "far") {
				return storefake.Fault{Hang: hang, Link: link, Delay: regionLatency}
			}
			return storefake.Fault{Hang: hang}
		})
		m := newTestManifest(1450)
		publishManifest(t, store, m)
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		var daemons []*Daemon
		for i := range targetDaemonsAcrossLink {
			daemons = append(daemons, newControlDaemon(store, fmt.Sprintf("far%d", i)))
		}
		for i := range 10 {
			daemons = append(daemons, newControlDaemon(store, fmt.Sprintf("near%d", i)))
		}
		startedAt := time.Now()
		for _, d := range daemons {
			go d.followControl(ctx)
		}
		is.Equal(waitForVersion(daemons, m.version), 0) // after the start of all daemons
		carried := func(step string) {
			t.Logf("%s: %d KB across the link, %.1f s after the start", step, link.Bytes()>>10, time.Since(startedAt).Seconds())
		}
		carried("manifest of " + strconv.Itoa(len(m.encode())>>10) + " KB in force everywhere")
		for range 18 {
			m.addRoute()
			publishManifest(t, store, m)
			time.Sleep(330 * time.Millisecond)
		}
		is.Equal(waitForVersion(daemons, m.version), 0) // after versions in quick succession
		carried("18 versions more")
		for i := 0; i < len(daemons); i += 3 {
			silent.Store(daemons[i].settings.Name, true)
		}
		for range 3 {
			time.Sleep(1300 * time.Millisecond)
			m.addRoute()
			publishManifest(t, store, m)
		}
		silent.Clear()
		is.Equal(waitForVersion(daemons, m.version), 0) // after an outage
		carried("3 versions more, in the outage of a third")
		time.Sleep(time.Minute - time.Since(startedAt))
		perDaemon := float64(link.Bytes()) / targetDaemonsAcrossLink / time.Since(startedAt).Seconds()
		t.Logf("%.0f B/s a daemon across the link", perDaemon)
		is.True(perDaemon <= targetDaemonBytesPerS)
	})
}
