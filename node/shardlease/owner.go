package shardlease

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Owner is the record of a shard's owner.
type Owner struct {
	Name string `cbor:"1,keyasint"`
	// Address is where the owner accepts calls of other daemons.
	Address string `cbor:"2,keyasint"`
	Epoch   int64  `cbor:"3,keyasint"`
	// Released is set if the owner has given up the shard and makes no more calls to workers.
	Released bool `cbor:"4,keyasint,omitempty"`
	// Lifetime distinguishes two processes with the same name.
	Lifetime int64 `cbor:"5,keyasint"`
	// Capacity is the owner's capacity for shards in cores; 0 if it is not known.
	Capacity float64 `cbor:"6,keyasint,omitempty"`
	// Successor is the daemon to which a released shard is handed over; empty for any.
	Successor string `cbor:"7,keyasint,omitempty"`
	// EarlierRenewalsMs is for how many milliseconds after this record was sent owners before this one may renew
	// workers' leases. Nil stands for an unknown time, in the records of builds without the field.
	EarlierRenewalsMs *int64 `cbor:"8,keyasint,omitempty"`
	// LeasesMs gives, in the record of a release, for some workers by their ids for how many milliseconds after the record
	// was sent they may hold leases that this owner or one before it granted.
	LeasesMs map[string]int64 `cbor:"9,keyasint,omitempty"`
	// HoldsCancels is set while the owner holds cancellations of jobs that are not known. Other daemons ask it about the jobs
	// that they accept only then.
	HoldsCancels bool `cbor:"10,keyasint,omitempty"`
	// OtherLeasesMs gives, in the record of a release, the same for all workers that LeasesMs has no room for.
	OtherLeasesMs int64 `cbor:"11,keyasint,omitempty"`
}

const (
	// maxLeasesBytes limits the encoded size of LeasesMs: the store takes no record above 262,144 bytes.
	maxLeasesBytes = 128 << 10
	// leaseEntryBytes is more than the encoded size of an entry without the worker's id.
	leaseEntryBytes = 12
)

// earlierRenewals returns for how long after the record was sent earlier owners may renew workers' leases.
func (o *Owner) earlierRenewals() time.Duration {
	if o.EarlierRenewalsMs == nil {
		return WorkerLeaseGrace
	}
	return time.Duration(min(max(*o.EarlierRenewalsMs, 0), maxEarlierRenewalsMs)) * time.Millisecond
}

// Ownership is the ownership of a shard under one epoch.
type Ownership struct {
	Epoch int64
	// PreviousRenewalsUntil is until when any earlier owner may renew workers' leases; zero if there was none.
	PreviousRenewalsUntil time.Duration
	// LeasesUntil gives, for some workers by their ids, until when they may hold leases of any earlier owner.
	LeasesUntil map[string]time.Duration
	// OtherLeasesUntil is until when further workers may hold leases of any earlier owner; zero if no more is known of them.
	OtherLeasesUntil time.Duration

	now func() time.Duration
	// endOffset is the offset after the owner's newest record. Only the owner appends while it owns the shard, so a
	// renewal takes effect only if no other daemon has claimed the shard.
	endOffset int64

	mu        sync.Mutex
	renewedAt time.Duration // when the last successful renewal was sent
	// releasedLeases is until when some workers may hold leases of this or any earlier owner, after Lead has returned.
	releasedLeases map[string]time.Duration
}

// SetReleasedLeases sets until when some workers, by their ids, may hold leases of this or any earlier owner. A release
// passes it on to the next owner. Lead calls it after its last call to a worker.
func (o *Ownership) SetReleasedLeases(until map[string]time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.releasedLeases = until
}

// leasesMs returns the released leases as times from now on: the longest ones by worker, and the longest of the others.
func (o *Ownership) leasesMs(now time.Duration) (byWorker map[string]int64, others int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	workers := slices.SortedFunc(maps.Keys(o.releasedLeases), func(a, b string) int {
		return cmp.Or(cmp.Compare(o.releasedLeases[b], o.releasedLeases[a]), cmp.Compare(a, b))
	})
	byWorker = map[string]int64{}
	bytes := 0
	for _, worker := range workers {
		ms := millisecondsUp(max(o.releasedLeases[worker]-now, 0))
		if bytes += len(worker) + leaseEntryBytes; bytes > maxLeasesBytes {
			return byWorker, max(ms, 1) // the leases of all further workers are no longer
		}
		byWorker[worker] = ms
	}
	return byWorker, 0
}

func millisecondsUp(d time.Duration) int64 { return (d + time.Millisecond - 1).Milliseconds() }

// MayStart reports whether runs may be started: no other daemon can own the shard now.
func (o *Ownership) MayStart() bool { return o.now()-o.lastRenewal() < LeaseDuration }

// MayRenew reports whether workers' leases may still be renewed.
func (o *Ownership) MayRenew() bool { return o.now()-o.lastRenewal() < WorkerLeaseGrace }

// FenceNumber returns the highest fence number that the owner may use at the moment. It is at least the epoch, rises with
// each renewal, and stays below the epoch of every later owner, whose claim is appended after the newest renewal.
func (o *Ownership) FenceNumber() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.endOffset
}

// setEndOffset sets the offset after the owner's newest record. Only the manager's goroutine calls it, and reads the
// offset without the lock.
func (o *Ownership) setEndOffset(offset int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.endOffset = offset
}

func (o *Ownership) lastRenewal() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.renewedAt
}

func (o *Ownership) setRenewed(sentAt time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.renewedAt = max(o.renewedAt, sentAt)
}

// hasEnded reports whether an owner makes no more calls to workers: it released the shard, or it was an earlier process
// at this daemon's address, which must have ended because this one listens there.
func (m *Manager) hasEnded(o *Owner) bool {
	self := &m.opts.Self
	return o.Released || o.Name == self.Name && o.Address == self.Address && o.Lifetime != self.Lifetime
}

// renewalsUntil returns until when the owner of the newest record, which was read at readAt, and all owners before it may
// renew workers' leases; zero without an owner. That the newest owner has ended says nothing of those before it: one that
// is cut off from the store goes on until its grace is over.
func (m *Manager) renewalsUntil(o *Owner, readAt time.Duration) time.Duration {
	switch {
	case o == nil:
		return 0
	case m.hasEnded(o):
		return readAt + o.earlierRenewals() // it made its last call to a worker before that
	}
	return readAt + WorkerLeaseGrace // not shorter than what is left to those before it
}

// leasesUntil returns until when some workers may hold leases of the owner of the newest record, which was read at readAt,
// and of all owners before it. Only a release tells it: an owner that has not released the shard may reach workers again. others
// is the same for further workers, and zero if the record names all that are known.
func leasesUntil(o *Owner, readAt time.Duration) (byWorker map[string]time.Duration, others time.Duration) {
	if o == nil || !o.Released {
		return nil, 0
	}
	out := map[string]time.Duration{}
	for worker, ms := range o.LeasesMs {
		if ms >= 0 && ms <= maxLeasesMs {
			out[worker] = readAt + time.Duration(ms)*time.Millisecond
		}
	}
	if ms := o.OtherLeasesMs; ms > 0 && ms <= maxLeasesMs {
		others = readAt + time.Duration(ms)*time.Millisecond
	}
	return out, others
}

// encodeOwner encodes this daemon's record.
func (m *Manager) encodeOwner(ownership *Ownership, released bool) ([]byte, error) {
	self := m.opts.Self
	self.Epoch, self.Released = ownership.Epoch, released
	left := max(ownership.PreviousRenewalsUntil-m.opts.Now(), 0)
	leftMs := millisecondsUp(left)
	self.EarlierRenewalsMs = &leftMs
	self.HoldsCancels = m.opts.HoldsCancels != nil && m.opts.HoldsCancels()
	if released {
		self.Successor = m.handOverTo()
		self.LeasesMs, self.OtherLeasesMs = ownership.leasesMs(m.opts.Now())
	}
	return cbor.Marshal(self)
}
