package e2e

import (
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// tcpProxy forwards connections to the platform, unless it is partitioned.
type tcpProxy struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// partitioned and openConns are guarded by mu.
	partitioned bool
	openConns   map[net.Conn]bool
	goroutines  sync.WaitGroup
}

// newTCPProxy starts a proxy for a base URL; it ends with the test.
func newTCPProxy(t *testing.T, url string) *tcpProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &tcpProxy{listener: listener, target: strings.TrimPrefix(url, "http://"), openConns: map[net.Conn]bool{}}
	p.goroutines.Go(p.accept)
	t.Cleanup(func() {
		_ = listener.Close()
		p.setPartitioned(true)
		p.goroutines.Wait()
	})
	return p
}

func (p *tcpProxy) url() string { return "http://" + p.listener.Addr().String() }

// setPartitioned closes all connections and refuses new ones, or accepts connections again.
func (p *tcpProxy) setPartitioned(partitioned bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.partitioned = partitioned
	if partitioned {
		for c := range p.openConns {
			_ = c.Close()
		}
	}
}

func (p *tcpProxy) accept() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.goroutines.Go(func() { p.forward(from) })
	}
}

// track reports whether the connection may be used; if so, setPartitioned closes it.
func (p *tcpProxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.partitioned {
		p.openConns[c] = true
	}
	return !p.partitioned
}

func (p *tcpProxy) untrack(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.openConns, c)
}

func (p *tcpProxy) forward(from net.Conn) {
	defer p.untrack(from)
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer p.untrack(to)
	if !p.track(from) || !p.track(to) {
		return
	}
	var reverse sync.WaitGroup
	reverse.Go(func() {
		_, _ = io.Copy(from, to)
		_ = from.Close()
	})
	_, _ = io.Copy(to, from)
	_ = to.Close()
	reverse.Wait()
}

// Invariants 2, 3, 4 and 10 when the platform is unreachable for all daemons of a zone, while operators take that zone
// out of service and peers of the other zone are reachable: the zone gets the version from its peers within 7 s, starts
// no task later than 4 s after the last fresh read, keeps its running tasks, serves its callers, and finishes all work
// afterwards.
func TestZoneCutOffFromPlatform(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "east-a", "west-a")
	proxies := map[string]*tcpProxy{}
	for _, z := range c.zones {
		proxies[z] = newTCPProxy(t, c.platformURL)
		c.platformByZone[z] = proxies[z].url()
	}
	c.startDaemons()
	const running, waiting = 20, 14
	c.submitJobIn("west-a", "running", running, 12*time.Second)
	c.waitRunCount("running", running)
	c.submitJobIn("west-a, east-a", "waiting", waiting, 2*time.Second, "-zone", "west-a")
	proxies["west-a"].setPartitioned(true)
	partitionedAt := time.Now()
	if code, out := c.runCommandAt("http://"+c.firstDaemon("east-a").addresses.Operators, "zone", "out", "-wait=false",
		"west-a"); code != 0 {
		t.Fatalf("zone out: exit code %d\n%s", code, out)
	}
	version := c.newestVersion()
	c.waitInForce(version)
	t.Logf("version %d in force everywhere %s after the partition", version,
		time.Since(partitionedAt).Round(100*time.Millisecond))
	s := c.startStream(4, false)
	holdsThroughout(t, 14*time.Second-time.Since(partitionedAt), "callers of the zone are answered", func() bool {
		return getOnce(c.firstDaemon("west-a"), "/cut-off").answered()
	})
	is.Equal(startedBetween(c.taskRuns(), "west-a", partitionedAt.Add(maxStartDelay), time.Now()), nil)
	proxies["west-a"].setPartitioned(false)
	c.waitFinished("running", 40*time.Second)
	c.waitFinished("waiting", 40*time.Second)
	c.checkResults(s.stop())
	c.checkRunOnce("running", running)
	c.checkNoOverlap()
}
