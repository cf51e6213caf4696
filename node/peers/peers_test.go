package peers

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"waxwingslip.example/node/stream"
)

// network carries hellos between daemons of one process and counts them.
type network struct {
	daemons map[string]*Peers
	calls   int
}

// Call implements Caller.
func (n *network) Call(ctx context.Context, address, _ string, req, resp any) error {
	n.calls++
	answer, err := n.daemons[address].onHello(ctx, "", req.(Hello))
	*resp.(*Hello) = answer
	return err
}

// Stream implements Caller.
func (n *network) Stream(context.Context, string, string, any, any, io.Reader) (io.ReadCloser, error) {
	return nil, errors.New("not used")
}

func (n *network) add(zone, address string, members []string, seeds ...string) *Peers {
	p := New(Config{Self: Contact{Zone: zone, Address: address}, Caller: n, Seeds: seeds,
		Control:  stream.NewFollower(nil, nil, stream.FollowerOptions{}),
		Describe: func() Hello { return Hello{Daemon: address} }, ZoneMembers: func() []string { return members }})
	n.daemons[address] = p
	return p
}

// Guards against hellos in both directions in every interval, and against a member that is not heard in time because
// each of two waits for the other.
func TestOneHelloForEachPair(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := &network{daemons: map[string]*Peers{}}
		a, b := n.add("z", "a", []string{"a", "b"}), n.add("z", "b", []string{"a", "b"})
		const seconds = 20
		for range seconds {
			a.greetZone(t.Context())
			synctest.Wait()
			time.Sleep(zoneInterval / 3)
			b.greetZone(t.Context())
			synctest.Wait()
			is.True(a.book.heardWithin("b", zoneInterval, time.Now()))
			is.True(b.book.heardWithin("a", zoneInterval, time.Now()))
			time.Sleep(2 * zoneInterval / 3)
		}
		is.Equal(n.calls, seconds)
	})
}

// Guards against a new daemon that knows a single seed and does not learn of the others at once.
func TestNewDaemonLearnsContacts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := &network{daemons: map[string]*Peers{}}
		n.add("y", "b", nil)
		n.add("z", "a", nil, "b").greetOthers(t.Context())
		synctest.Wait()
		late := n.add("x", "c", nil, "a")
		late.greetOthers(t.Context())
		synctest.Wait()
		is.Equal(len(late.InZone("y")), 1)
		is.Equal(len(n.daemons["a"].hello("z", false).Known), 0)
	})
}

// Guards against the pressure of a zone's workers that is sent to other zones over the narrow link.
func TestPressureStaysInItsZone(t *testing.T) {
	is := is.New(t)
	n := &network{daemons: map[string]*Peers{}}
	p := n.add("z", "a", nil)
	p.cfg.Describe = func() Hello { return Hello{Pressure: map[string]int64{"w": 5}, Learned: []byte{1}} }
	is.Equal(len(p.hello("z", false).Pressure), 1)
	other := p.hello("y", false)
	is.Equal(len(other.Pressure)+len(other.Learned), 0)
}
