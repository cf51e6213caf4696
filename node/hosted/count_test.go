package hosted

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	storefake "waxwingslip.example/external/keyedlog/fake"
	"waxwingslip.example/node/peer"
	"waxwingslip.example/node/peer/devcert"
	"waxwingslip.example/node/shard"
)

// daemonBeside returns a daemon, and the address of an owner of another build with the given methods.
func daemonBeside(t *testing.T, methods func(*peer.Server)) (*Daemon, string) {
	is := is.New(t)
	authority, err := devcert.NewAuthority()
	is.NoErr(err)
	credentials := func(name string) *peer.Credentials {
		cert, err := authority.Issue(name, time.Hour)
		is.NoErr(err)
		return peer.NewCredentials(cert, authority.Roots())
	}
	owner, err := peer.NewServer(peer.ServerOptions{Address: "127.0.0.1:0", Credentials: credentials("owner"), Timing: peerTiming})
	is.NoErr(err)
	t.Cleanup(func() { owner.Close() })
	methods(owner)
	is.NoErr(owner.Serve())
	d := newTestDaemon(storefake.New().As("d"))
	d.peers, err = peer.NewTransport(peer.Options{LocalAddress: "127.0.0.1:0", Credentials: credentials("d"), Timing: peerTiming})
	is.NoErr(err)
	t.Cleanup(func() { d.peers.Close() })
	return d, owner.Address()
}

// Guards against daemons that give no number of waiting jobs beside owners of an earlier build, and against moved jobs
// that are counted twice then.
func TestCountAtOwnerOfEarlierBuild(t *testing.T) {
	is := is.New(t)
	d, owner := daemonBeside(t, func(s *peer.Server) {
		peer.HandleCall(s, methodWaiting, func(context.Context, string, waitingQuery) (int, error) { return 7, nil })
	})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	c, err := d.countAt(ctx, owner, waitingQuery{Shard: 0, Queue: "q"})
	is.NoErr(err)
	is.Equal(c.Waiting, 7)
	is.Equal(c.ReadTo, int64(math.MaxInt64))
	is.Equal(shard.TotalWaiting([]shard.Count{c, {Leaving: []shard.Leaving{{To: 0, Offset: 3}}}}), 7)
}
