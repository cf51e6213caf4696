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

// Partition and keys of the values on which daemons agree once.
var agreementPartition = keyedlog.Partition{Topic: "keyed.agreed"}

const (
	authorityKey = "peer-authority"
	shardsKey    = "shards"
)

// peerTiming lets a query find a new owner within its time limit: an unresponsive connection to a daemon that is gone
// must not block several attempts.
var peerTiming = peer.Timing{
	Dial: 700 * time.Millisecond, PeerTimeout: 3 * time.Second, RedialMax: 500 * time.Millisecond,
	BreakerOpen: 200 * time.Millisecond,
}

// startPeers issues this daemon's certificate from the shared authority and opens the listener for other daemons.
func (d *Daemon) startPeers(ctx context.Context) error {
	secret, err := ledger.GetOrCreate(ctx, d.deps.Store, agreementPartition, authorityKey, func() ([]byte, error) {
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
		return errors.Wrap(err, "create directory for key files")
	}
	defer func() {
		if err := os.RemoveAll(dir); err != nil {
			d.log.Warn().Err(err).Msg("removing key files failed")
		}
	}()
	files, err := authority.Write(dir, d.settings.Name)
	if err != nil {
		return err
	}
	credentials, err := peer.LoadCredentials(files)
	if err != nil {
		return err
	}
	server, err := peer.NewServer(peer.ServerOptions{Address: d.settings.Listen.Peers, Credentials: credentials, Timing: peerTiming})
	if err != nil {
		return err
	}
	d.handlePeers(server)
	go func() {
		if err := server.Serve(); err != nil && ctx.Err() == nil {
			d.log.Error().Err(err).Msg("listener for other daemons failed")
		}
	}()
	host, _, err := net.SplitHostPort(d.settings.Listen.Peers)
	if err != nil {
		return errors.Wrap(err, "parse peer listen address")
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
	// workersPerCore sizes shards: the shard of that many workers uses a third of a core.
	workersPerCore = 350
	// Bounds of the workers in a shard: with fewer, large tasks do not fit beside others; with more, the loss of an
	// owner stops too many workers at once.
	minWorkersPerShard, maxWorkersPerShard = 48, 175
	// smallVMDelay lets VMs with more processor time propose the number of shards first.
	smallVMDelay = 1500 * time.Millisecond
	// registrationTime is how long workers have to register before they are counted.
	registrationTime = 3 * time.Second
)

// agreeOnShardCount returns the number of shards, which the first daemon derives from the number of workers.
func (d *Daemon) agreeOnShardCount(ctx context.Context) (int, error) {
	start := d.now()
	value, err := ledger.GetOrCreate(ctx, d.deps.Store, agreementPartition, shardsKey, func() ([]byte, error) {
		wait := registrationTime
		if d.settings.VM.Cores < 2*smallVMCores {
			wait += smallVMDelay
		}
		ctxtime.Sleep(ctx, wait-(d.now()-start))
		workers := 0
		after := ""
		for {
			page, err := d.deps.Store.Newest(ctx, d.deps.Layout.Registry, after)
			if err != nil {
				return nil, err
			}
			workers += len(page.Records)
			if after = page.Next; after == "" {
				break
			}
		}
		perShard := min(max(int(workersPerCore*d.settings.VM.Cores), minWorkersPerShard), maxWorkersPerShard)
		shards := max(1, min((workers+perShard/2)/perShard, d.settings.Store.Partitions))
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
