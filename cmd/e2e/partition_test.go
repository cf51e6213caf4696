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

// link passes the connections of one daemon to the platform on, until it is cut.
type link struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// cut and open are guarded by mu.
	cut  bool
	open map[net.Conn]bool
	done sync.WaitGroup
}

// newLink starts a link to a base URL; it ends with the test.
func newLink(t *testing.T, url string) *link {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &link{listener: listener, target: strings.TrimPrefix(url, "http://"), open: map[net.Conn]bool{}}
	l.done.Go(l.accept)
	t.Cleanup(func() {
		_ = listener.Close()
		l.setCut(true)
		l.done.Wait()
	})
	return l
}

func (l *link) url() string { return "http://" + l.listener.Addr().String() }

// setCut breaks all connections and refuses new ones, or lets them pass again.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if cut {
		for c := range l.open {
			_ = c.Close()
		}
	}
}

func (l *link) accept() {
	for {
		from, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.done.Go(func() { l.pass(from) })
	}
}

// add reports whether the connection may be used; it is closed when the link is cut.
func (l *link) add(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.cut {
		l.open[c] = true
	}
	return !l.cut
}

func (l *link) remove(c net.Conn) {
	_ = c.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

func (l *link) pass(from net.Conn) {
	defer l.remove(from)
	to, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer l.remove(to)
	if !l.add(from) || !l.add(to) {
		return
	}
	var back sync.WaitGroup
	back.Go(func() {
		_, _ = io.Copy(from, to)
		_ = from.Close()
	})
	_, _ = io.Copy(to, from)
	_ = to.Close()
	back.Wait()
}

// Invariants 2, 3, 4 and 10 when the platform is out of reach for all daemons of a zone, while operators take that zone
// out of service and peers of the other zone are reachable: the zone learns the version from its peers within 7 s, starts
// nothing later than 4 s after the last fresh read, keeps its running tasks and callers, and finishes all work afterwards.
func TestZoneCutOffFromPlatform(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "east-a", "west-a")
	links := map[string]*link{}
	for _, z := range c.zones {
		links[z] = newLink(t, c.platform)
		c.platformOf[z] = links[z].url()
	}
	c.startDaemons()
	const running, waiting = 20, 14
	c.submitIn("west-a", "running", running, 12*time.Second)
	c.waitRuns("running", running)
	c.submitIn("west-a, east-a", "waiting", waiting, 2*time.Second, "-zone", "west-a")
	links["west-a"].setCut(true)
	cut := time.Now()
	if code, out := c.commandAt("http://"+c.first("east-a").addresses.Operators, "zone", "out", "-wait=false", "west-a"); code != 0 {
		t.Fatalf("zone out: exit code %d\n%s", code, out)
	}
	version := c.version()
	c.waitInForce(version)
	t.Logf("version %d in force everywhere %s after the cut", version, time.Since(cut).Round(100*time.Millisecond))
	s := c.startStream(4, false)
	holds(t, 14*time.Second-time.Since(cut), "callers of the zone are answered", func() bool {
		return getOnce(c.first("west-a"), "/cut-off").answered()
	})
	is.Equal(startedBetween(c.history(), "west-a", cut.Add(startLimit), time.Now()), nil)
	links["west-a"].setCut(false)
	c.waitFinished("running", 40*time.Second)
	c.waitFinished("waiting", 40*time.Second)
	c.checkResults(s.stop())
	c.checkOnce("running", running)
	c.checkNoOverlap()
}
