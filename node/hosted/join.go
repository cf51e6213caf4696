package hosted

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"waxwingslip.example/core/sharding"
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
	// capacityKey holds the cores of the daemon that proposed the number of shards.
	capacityKey = "owner-cores"
)

// peerTiming lets a query find a new owner within its time limit: a dial to a daemon that is gone must not block several
// attempts. An owner that is short of processor time or on a full link gets longer for handshakes, and keeps its
// connections. A process that has started again resets those of the one before it.
var peerTiming = peer.Timing{
	Dial: 700 * time.Millisecond, DialMax: 2800 * time.Millisecond, PeerTimeout: 6 * time.Second,
	RedialMax: 500 * time.Millisecond, BreakerOpen: 200 * time.Millisecond,
}

// Certificates of daemons. Their keys stay in memory.
const (
	// certValidity exceeds every outage of the store that a daemon is to outlast.
	certValidity = 24 * time.Hour
	// certRenewInterval is the time between two certificates. An authority that replaces another, after the record of
	// that was deleted, is in force everywhere after this time.
	certRenewInterval = 10 * time.Minute
)

// authority returns the authority of the daemons' certificates.
func (d *Daemon) authority(ctx context.Context) (*devcert.Authority, error) {
	secret, err := ledger.GetOrCreate(ctx, d.store, agreementPartition, authorityKey, func() ([]byte, error) {
		authority, err := devcert.NewAuthority()
		if err != nil {
			return nil, err
		}
		return authority.Encode()
	})
	if err != nil {
		return nil, err
	}
	return devcert.ParseAuthority(secret)
}

// renewCertificate replaces this daemon's certificate from time to time until the context ends.
func (d *Daemon) renewCertificate(ctx context.Context, credentials *peer.Credentials) {
	for ctxtime.Sleep(ctx, certRenewInterval) {
		authority, err := d.authority(ctx)
		if err == nil {
			var cert tls.Certificate
			if cert, err = authority.Issue(d.settings.Name, certValidity); err == nil {
				credentials.Replace(cert, authority.Roots())
			}
		}
		if err != nil {
			d.log.Warn().Err(err).Msg("renewing the certificate failed")
		}
	}
}

// startPeers issues this daemon's certificate from the shared authority and opens the listener for other daemons.
func (d *Daemon) startPeers(ctx context.Context) error {
	authority, err := d.authority(ctx)
	if err != nil {
		return err
	}
	cert, err := authority.Issue(d.settings.Name, certValidity)
	if err != nil {
		return err
	}
	credentials := peer.NewCredentials(cert, authority.Roots())
	resetSecret, err := authority.ResetSecret(d.settings.Name)
	if err != nil {
		return err
	}
	credentials.SetResetSecret(resetSecret)
	host, _, err := net.SplitHostPort(d.settings.Listen.Peers)
	if err != nil {
		return errors.Wrap(err, "parse peer listen address")
	}
	server, err := peer.NewServer(peer.ServerOptions{Address: d.settings.Listen.Peers, Credentials: credentials, Timing: peerTiming})
	if err != nil {
		return errors.Wrapf(err, "listen for other daemons on %s", d.settings.Listen.Peers)
	}
	transport, err := peer.NewTransport(peer.Options{LocalAddress: net.JoinHostPort(host, "0"), Credentials: credentials, Timing: peerTiming})
	if err != nil {
		server.Close() // the next attempt opens it again
		return errors.Wrap(err, "open the transport to other daemons")
	}
	go d.renewCertificate(ctx, credentials)
	d.handlePeers(server)
	go func() {
		if err := server.Serve(); err != nil && ctx.Err() == nil {
			d.log.Error().Err(err).Msg("listener for other daemons failed")
		}
	}()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers = transport
	return nil
}

// Timing of the proposal of the number of shards.
const (
	// registrationTime is how long workers have to register before they are counted first.
	registrationTime = 3 * time.Second
	// maxRegistrationTime is how long the number of workers may grow before it is taken as it is.
	maxRegistrationTime = 8 * time.Second
	// recountDelay is the time between two counts, which must be equal.
	recountDelay = time.Second
	// weakVMDelay lets VMs with more processor time propose the number of shards first.
	weakVMDelay = 2 * time.Second
	// weakVMCores is the number of cores below which a VM waits for others.
	weakVMCores = 0.4
	// proposalJitter spreads the counts of equal daemons, of which the first makes the others needless.
	proposalJitter = 800 * time.Millisecond
)

// errAgreed means that another daemon has proposed the number of shards meanwhile.
var errAgreed = errors.New("the number of shards is agreed on")

// agreeOnShardCount returns the number of shards, which the first daemon derives from the number of workers.
func (d *Daemon) agreeOnShardCount(ctx context.Context) (int, error) {
	start, proposed := d.now(), false
	value, err := ledger.GetOrCreate(ctx, d.store, agreementPartition, shardsKey, func() ([]byte, error) {
		workers, err := d.countWorkers(ctx, start)
		if err != nil {
			return nil, err
		}
		shards := sharding.Count(workers, d.settings.VM.Cores, d.settings.Store.Partitions)
		d.log.Info().Int("workers", workers).Int("shards", shards).Msg("number of shards proposed")
		proposed = true
		return cbor.Marshal(shards)
	})
	if err != nil {
		return 0, err
	}
	var count int
	if err := cbor.Unmarshal(value, &count); err != nil || count < 1 || count > d.settings.Store.Partitions {
		return 0, errors.Errorf("number of shards cannot be read, or is not between 1 and %d (%v)", d.settings.Store.Partitions, err)
	}
	if proposed {
		go d.retry(ctx, "store the capacity of owners", d.storeCapacity)
	}
	return count, nil
}

// storeCapacity stores this daemon's capacity, so that daemons with much less leave shards to those like it. Without the
// record, the capacities of the owners tell.
func (d *Daemon) storeCapacity(ctx context.Context) error {
	value, err := cbor.Marshal(d.settings.VM.Cores)
	if err != nil {
		return err
	}
	_, err = d.store.Append(ctx, keyedlog.Append{Partition: agreementPartition,
		Records: []keyedlog.Record{{Key: capacityKey, Value: value}}})
	return err
}

// countWorkers returns the number of registered workers once it no longer grows. It returns errAgreed if another daemon
// was faster.
func (d *Daemon) countWorkers(ctx context.Context, start time.Duration) (int, error) {
	wait, previous := registrationTime+rand.N(proposalJitter), -1
	for {
		workers, err := d.countOnce(ctx, wait-(d.now()-start))
		if err != nil {
			return 0, err
		}
		if workers == previous || d.now()-start >= maxRegistrationTime {
			previous = workers
			break
		}
		previous, wait = workers, d.now()-start+recountDelay
	}
	if d.settings.VM.Cores < weakVMCores {
		// VMs with more processor time see the same numbers, so the delay begins once these are final: a small VM would
		// divide the fleet into many small shards.
		return d.countOnce(ctx, weakVMDelay)
	}
	return previous, nil
}

// countOnce waits and then returns the number of registered workers, or errAgreed if the number of shards is agreed on.
func (d *Daemon) countOnce(ctx context.Context, wait time.Duration) (int, error) {
	ctxtime.Sleep(ctx, wait)
	agreed, err := d.shardCountStored(ctx)
	if err != nil || agreed {
		return 0, firstError(err, errAgreed)
	}
	return d.registeredWorkers(ctx)
}

func firstError(err, other error) error {
	if err != nil {
		return err
	}
	return other
}

// shardCountStored reports whether the number of shards is agreed on.
func (d *Daemon) shardCountStored(ctx context.Context) (bool, error) {
	page, err := d.store.Newest(ctx, agreementPartition, "")
	return slices.ContainsFunc(page.Records, func(r keyedlog.Record) bool { return r.Key == shardsKey }), err
}

// registeredWorkers returns the number of entries in the registry.
func (d *Daemon) registeredWorkers(ctx context.Context) (int, error) {
	workers, after := 0, ""
	for {
		page, err := d.store.Newest(ctx, d.deps.Layout.Registry, after)
		if err != nil {
			return 0, err
		}
		workers += len(page.Records)
		if after = page.Next; after == "" {
			return workers, nil
		}
	}
}
