package hosted

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"waxwingslip.example/external/keyedlog"
	"waxwingslip.example/node/ctxtime"
	"waxwingslip.example/node/ledger"
	"waxwingslip.example/node/peer"
	"waxwingslip.example/node/peer/devcert"
)

// Partition and keys of what daemons agree on once.
var agreed = keyedlog.Partition{Topic: "keyed.agreed"}

const (
	authorityKey = "peer-authority"
	shardsKey    = "shards"
)

// peerTiming lets a query find a new owner within its time limit: a connection that went silent with its daemon must
// not hold up several attempts.
var peerTiming = peer.Timing{
	Dial: 700 * time.Millisecond, Silence: 3 * time.Second, RedialMax: 500 * time.Millisecond, BreakerOpen: 200 * time.Millisecond,
}

// startPeers gets this daemon's certificate from the common authority and opens the listener for other daemons.
func (d *Daemon) startPeers(ctx context.Context) error {
	secret, err := ledger.Ensure(ctx, d.out.Store, agreed, authorityKey, func() ([]byte, error) {
		authority, err := devcert.NewAuthority()
		if err != nil {
			return nil, err
		}
		return authority.Encode()
	})
	if err != nil {
		return err
	}
	authority, err := devcert.ParseAuthority(secret)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "waxwingslip")
	if err != nil {
		return errors.Wrap(err, "make directory for keys")
	}
	defer func() {
		if err := os.RemoveAll(dir); err != nil {
			d.log.Warn().Err(err).Msg("removing key files failed")
		}
	}()
	files, err := authority.Write(dir, d.set.Name)
	if err != nil {
		return err
	}
	credentials, err := peer.LoadCredentials(files)
	if err != nil {
		return err
	}
	server, err := peer.NewServer(peer.ServerOptions{Address: d.set.Listen.Peers, Credentials: credentials, Timing: peerTiming})
	if err != nil {
		return err
	}
	d.handlePeers(server)
	go func() {
		if err := server.Serve(); err != nil && ctx.Err() == nil {
			d.log.Error().Err(err).Msg("listener for other daemons failed")
		}
	}()
	host, _, err := net.SplitHostPort(d.set.Listen.Peers)
	if err != nil {
		return errors.Wrap(err, "address for peers")
	}
	transport, err := peer.NewTransport(peer.Options{LocalAddress: net.JoinHostPort(host, "0"), Credentials: credentials, Timing: peerTiming})
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers = transport
	return nil
}

// Sizing of shards.
const (
	// workersPerCore is the number of workers whose shard takes a third of a core.
	workersPerCore = 350
	// Bounds of the workers in a shard: with fewer, large tasks find no room beside others; with more, an owner's
	// loss stops too much at once.
	leastWorkersPerShard, mostWorkersPerShard = 48, 175
	// weakVMWait lets VMs with more processor time propose the number of shards.
	weakVMWait = 1500 * time.Millisecond
	// registrationTime is how long workers may take to register before they are counted.
	registrationTime = 3 * time.Second
)

// countShards returns the number of shards, which the first daemon derives from the number of workers.
func (d *Daemon) countShards(ctx context.Context) (int, error) {
	begun := d.now()
	value, err := ledger.Ensure(ctx, d.out.Store, agreed, shardsKey, func() ([]byte, error) {
		wait := registrationTime
		if d.set.VM.Cores < 2*smallVMCores {
			wait += weakVMWait
		}
		ctxtime.Sleep(ctx, wait-(d.now()-begun))
		workers := 0
		after := ""
		for {
			page, err := d.out.Store.Newest(ctx, d.out.Layout.Registry, after)
			if err != nil {
				return nil, err
			}
			workers += len(page.Records)
			if after = page.Next; after == "" {
				break
			}
		}
		perShard := min(max(int(workersPerCore*d.set.VM.Cores), leastWorkersPerShard), mostWorkersPerShard)
		shards := max(1, min((workers+perShard/2)/perShard, d.set.Store.Partitions))
		d.log.Info().Int("workers", workers).Int("shards", shards).Msg("number of shards proposed")
		return cbor.Marshal(shards)
	})
	if err != nil {
		return 0, err
	}
	var count int
	if err := cbor.Unmarshal(value, &count); err != nil || count < 1 {
		return 0, errors.Errorf("number of shards cannot be read (%v)", err)
	}
	return count, nil
}
