package e2e

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/external/fault"
)

func formatInt(v int64) string { return strconv.FormatInt(v, 10) }

// newestVersion returns the newest configuration version of all daemons.
func (c *cluster) newestVersion() (newest int64) {
	for _, d := range c.daemons {
		if s, ok := c.fetchStatus(d); ok {
			newest = max(newest, s.ConfigVersion)
		}
	}
	return newest
}

// inForceTimeout is the time within which a version is in force everywhere (docs/design.md, section 1.2).
const inForceTimeout = 7 * time.Second

// waitInForce waits until every daemon has the given version or a newer one.
func (c *cluster) waitInForce(version int64) {
	c.t.Helper()
	eventually(c.t, inForceTimeout, fmt.Sprintf("version %d in force", version), func() bool {
		for _, d := range c.daemons {
			if s, ok := c.fetchStatus(d); !ok || s.ConfigVersion < version {
				return false
			}
		}
		return true
	})
}

// Invariant 10 with concurrent operators: of two documents with the same base that are published through different
// daemons at the same time, one is accepted and the other is rejected with a conflict. The accepted one is in force
// everywhere within 7 s, and the version of a daemon never decreases.
func TestOperatorsRace(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, "east-a", "west-a")
	stop := c.watchVersions()
	for round := range 4 {
		base := c.newestVersion()
		var codes [2]int
		var outs [2]string
		var publishers sync.WaitGroup
		for i, d := range []*daemonProcess{c.firstDaemon("east-a"), c.firstDaemon("west-a")} {
			file := c.writeFile(fmt.Sprintf("race-%d.yaml", i), c.document(fmt.Sprintf("# round %d operator %d\n", round, i)))
			publishers.Go(func() {
				codes[i], outs[i] = c.runCommandAt("http://"+d.addresses.Operators, "config", "publish", "-wait=false", "-base",
					formatInt(base), file)
			})
		}
		publishers.Wait()
		if codes[0]+codes[1] != 4 || codes[0]*codes[1] != 0 {
			t.Fatalf("round %d: exit codes %v, want one 0 and one 4\n%s\n%s", round, codes, outs[0], outs[1])
		}
		winner := c.newestVersion()
		is.True(winner > base)
		c.waitInForce(winner)
		for _, d := range c.daemons {
			conf, err := c.operatorClient(d).Config(t.Context(), 0)
			is.NoErr(err)
			is.Equal(conf.Version, winner)
			is.Equal(conf.Document, c.document(fmt.Sprintf("# round %d operator %d\n", round, codes[0]/4)))
		}
	}
	stop()
}

// watchVersions polls the version of every daemon until the returned function is called, and fails the test if one
// decreases.
func (c *cluster) watchVersions() (stop func()) {
	done := make(chan struct{})
	var watchers sync.WaitGroup
	for _, d := range append([]*daemonProcess(nil), c.daemons...) {
		watchers.Go(func() {
			last := int64(0)
			for {
				select {
				case <-done:
					return
				case <-time.After(50 * time.Millisecond):
				}
				s, ok := c.fetchStatus(d)
				if ok && s.ConfigVersion < last {
					c.t.Errorf("%s went from version %d back to %d", d.name, last, s.ConfigVersion)
				}
				if ok {
					last = s.ConfigVersion
				}
			}
		})
	}
	return func() { close(done); watchers.Wait() }
}

// Invariant 10 after a restart: a daemon that was killed and starts again does not become ready for callers with an
// older configuration than the newest accepted one, also while the log is slow, or is down and only peers have that
// one.
func TestDaemonRestart(t *testing.T) {
	c := startCluster(t, "east-a")
	for _, step := range []struct {
		name  string
		fault fault.Setting
	}{
		{"healthy log", fault.Setting{}},
		{"slow log", fault.Setting{DelayMs: 400}},
		{"log down", fault.Setting{Down: true}},
	} {
		victim := c.daemons[0]
		victim.kill(t)
		c.removeDaemon(victim)
		newest := int64(0)
		for i := range 3 {
			newest = c.publishCurrent(fmt.Sprintf("# %s %d\n", step.name, i))
		}
		c.setLogFault(step.fault)
		d := c.startDaemon(victim.name, victim.zone)
		lastVersion := int64(0)
		eventually(t, readyTimeout, "the restarted daemon has the newest version, "+step.name, func() bool {
			ready := isReady(d)
			s, ok := c.fetchStatus(d)
			if !ok {
				return false
			}
			if ready && s.ConfigVersion < newest {
				t.Fatalf("%s: ready with version %d, newest is %d", step.name, s.ConfigVersion, newest)
			}
			if s.ConfigVersion < lastVersion {
				t.Fatalf("%s: version went from %d back to %d", step.name, lastVersion, s.ConfigVersion)
			}
			lastVersion = s.ConfigVersion
			return lastVersion >= newest
		})
		c.setLogFault(fault.Setting{})
		c.waitServing(d)
	}
}

// isReady reports whether the readiness check of a daemon succeeds.
func isReady(d *daemonProcess) bool {
	resp, err := plainClient.Get("http://" + d.addresses.Health + "/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
