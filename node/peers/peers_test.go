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

// fakeNetwork carries hellos between daemons of one process and counts them.
type fakeNetwork struct {
	daemons map[string]*Peers
	calls   int
	// lost is the number of calls to lose before the first one arrives.
	lost int
}

// Call implements Caller.
func (n *fakeNetwork) Call(ctx context.Context, address, method string, req, resp any) error {
	if method == methodTail {
		return errors.New("not used")
	}
	n.calls++
	if n.calls <= n.lost {
		return errors.New("call lost")
	}
	response, err := n.daemons[address].onHello(ctx, "", req.(Hello))
	*resp.(*Hello) = response
	return err
}

// Stream implements Caller.
func (n *fakeNetwork) Stream(context.Context, string, string, any, any, io.Reader) (io.ReadCloser, error) {
	return nil, errors.New("not used")
}

func (n *fakeNetwork) add(zone, address string, members []string, seeds ...string) *Peers {
	p := New(Config{Self: Contact{Zone: zone, Address: address}, Caller: n, Seeds: seeds,
		Control:  stream.NewFollower(nil, nil, stream.FollowerOptions{}),
		Describe: func() Hello { return Hello{Daemon: address} }, ZoneMembers: func() []string { return members }})
	n.daemons[address] = p
	return p
}

// Guards against hellos in both directions in every interval, and against two members that each wait for the hello of
// the other.
func TestOneHelloForEachPair(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := &fakeNetwork{daemons: map[string]*Peers{}}
		a, b := n.add("z", "a", []string{"a", "b"}), n.add("z", "b", []string{"a", "b"})
		const seconds = 20
		for range seconds {
			a.sendZoneHellos(t.Context())
			synctest.Wait()
			time.Sleep(zoneHelloInterval / 3)
			b.sendZoneHellos(t.Context())
			synctest.Wait()
			is.True(a.table.hasHelloWithin("b", zoneHelloInterval, time.Now()))
			is.True(b.table.hasHelloWithin("a", zoneHelloInterval, time.Now()))
			time.Sleep(2 * zoneHelloInterval / 3)
		}
		is.Equal(n.calls, seconds)
	})
}

// Guards against a new daemon with a single seed that does not get the contacts of the others with the first response.
func TestNewDaemonGetsContactsFromSeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := &fakeNetwork{daemons: map[string]*Peers{}}
		n.add("y", "b", nil)
		n.add("z", "a", nil, "b").sendOtherHellos(t.Context())
		synctest.Wait()
		late := n.add("x", "c", nil, "a")
		late.sendOtherHellos(t.Context())
		synctest.Wait()
		is.Equal(len(late.InZone("y")), 1)
		is.Equal(len(n.daemons["a"].newHello("z", false).Contacts), 0)
	})
}

// Guards against a daemon that starts while the log is down, knows no members of its zone for that reason, and stays
// without its zone's daemons because the VM list came before the first hello, that hello was lost, or it is too old.
func TestDaemonsOfOwnZoneWithoutLog(t *testing.T) {
	for name, lost := range map[string]int{"first hello succeeds": 0, "first hello is lost": 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := &fakeNetwork{daemons: map[string]*Peers{}, lost: lost}
				n.add("z", "b", nil)
				a := n.add("z", "a", nil, "b")
				a.AddContacts(Contact{Zone: "z", Address: "b"})
				ctx, stop := context.WithCancel(t.Context())
				go a.Run(ctx)
				time.Sleep(otherZoneHelloInterval + time.Second)
				for range 2 * aliveFor / time.Second {
					is.True(a.table.hasHelloWithin("b", aliveFor, time.Now()))
					time.Sleep(time.Second)
				}
				stop()
				synctest.Wait()
			})
		})
	}
}

// Guards against sending the pressure of a zone's workers and the interference model to other zones, whose link is
// slow.
func TestPressureStaysInItsZone(t *testing.T) {
	is := is.New(t)
	n := &fakeNetwork{daemons: map[string]*Peers{}}
	p := n.add("z", "a", nil)
	p.cfg.Describe = func() Hello { return Hello{Pressure: map[string]int64{"w": 5}, Learned: []byte{1}} }
	is.Equal(len(p.newHello("z", false).Pressure), 1)
	other := p.newHello("y", false)
	is.Equal(len(other.Pressure)+len(other.Learned), 0)
}
