// Package quota decides how much of a client account's limit a shard holds. It does no I/O and reads no clock.
//
// Each shard holds a share of the limit and runs the account's tasks within it. The shares of all shards are stored in one
// partition. A share is raised only by an append that takes effect if the shard has read the whole partition, so the sum of
// the shares stays within the limit. Shards whose tasks wait store that, too: the oldest waiting job of all shards gets
// capacity first, and shards with younger ones leave what it lacks.
package quota

import (
	"cmp"
	"math"
	"math/bits"

	"waxwingslip.example/core/resource"
)

// Entry is what a shard stores for an account.
type Entry struct {
	// Share is the part of the limit that the shard holds.
	Share resource.Vector `cbor:"1,keyasint"`
	// Lack is what the shard's oldest waiting job needs at once beyond the part of the share that was not in use when the
	// entry was stored. It is zero if none waits.
	Lack resource.Vector `cbor:"2,keyasint,omitempty"`
	// SinceMs is the time at which that job was accepted.
	SinceMs int64 `cbor:"3,keyasint,omitempty"`
	// Lasting is what long-running tasks use, which do not end by themselves.
	Lasting resource.Vector `cbor:"4,keyasint,omitempty"`
}

// Valid reports whether no component is negative or so large that sums overflow.
func (e *Entry) Valid() bool {
	for _, v := range [...]*resource.Vector{&e.Share, &e.Lack, &e.Lasting} {
		if !v.Valid() || !v.Fits(unlimited) {
			return false
		}
	}
	return true
}

// maxAmount stands for no limit. Sums of many such amounts fit an int64.
const maxAmount = 1 << 50

var unlimited = resource.Vector{Slots: maxAmount, Connections: maxAmount, MilliCPU: maxAmount, MemoryMB: maxAmount,
	Accelerators: maxAmount}

// components are the parts of a vector that limits count.
const components = 3

func at(v *resource.Vector, i int) *int64 {
	switch i {
	case 0:
		return &v.MilliCPU
	case 1:
		return &v.MemoryMB
	}
	return &v.Accelerators
}

// each returns the vector of f of each component that limits count.
func each(f func(i int) int64) resource.Vector {
	var v resource.Vector
	for i := range components {
		*at(&v, i) = f(i)
	}
	return v
}

// counted returns the components of a size that limits count.
func counted(v resource.Vector) resource.Vector {
	return resource.Vector{MilliCPU: v.MilliCPU, MemoryMB: v.MemoryMB, Accelerators: v.Accelerators}
}

func maxOf(a, b resource.Vector) resource.Vector {
	return each(func(i int) int64 { return max(*at(&a, i), *at(&b, i)) })
}

func minOf(a, b resource.Vector) resource.Vector {
	return each(func(i int) int64 { return min(*at(&a, i), *at(&b, i)) })
}

// waiting describes the account's tasks of this shard that wait for its limit.
type waiting struct {
	// head is what the oldest job needs at once; zero if none waits. sinceMs is when it was accepted.
	head    resource.Vector
	job     string
	sinceMs int64
	// need is what all tasks need.
	need resource.Vector
}

func (w *waiting) any() bool { return w.head != resource.Vector{} }

// mode is what is known of an account's limit.
type mode uint8

const (
	// unknown accounts start nothing: the configuration was not read yet, or does not hold the account.
	unknown mode = iota
	without
	limited
)

// surplusRounds is the number of rounds in a row for which a share must not be in use before it is given back, so that
// a stream of short tasks does not lead to an append for each task.
const surplusRounds = 3

// Account is the state of a client account in one shard.
type Account struct {
	shard int
	mode  mode
	limit resource.Vector
	// synced is set once the entries of all shards were read.
	synced bool
	own    Entry
	others map[int]Entry
	// ceiling limits the share in use while a lowering is being stored.
	ceiling  resource.Vector
	lowering bool
	// used is what runs use, and lasting the part of it that long-running tasks use.
	used, lasting resource.Vector
	// The following fields are derived from the others by update. remainder is what no shard holds; components are negative
	// where the limit has fallen below the sum of the shares. older is what jobs of other shards lack that have waited longer
	// than those of this one.
	remainder, older resource.Vector
	// othersLasting is what long-running tasks of other shards use.
	othersLasting resource.Vector
	// usable is what may be used now. Jobs accepted after owedToMs leave owed of it to older ones of other shards.
	usable, owed resource.Vector
	owedToMs     int64
	// oldest is the oldest waiting job of those that have waited longer; it has been the same one for oldestRounds rounds.
	oldest, oldestInRound olderJob
	oldestRounds          int
	// waits is what waits by the newest plan, and planned what the current one has found so far.
	waits, planned waiting
	// surplus holds what was not in use in the latest rounds.
	surplus [surplusRounds - 1]resource.Vector
}

// olderJob identifies the oldest waiting job of another shard.
type olderJob struct {
	shard   int
	sinceMs int64
}

// New returns the state of an account in a shard that holds nothing.
func New(shard int) *Account { return &Account{shard: shard, others: map[int]Entry{}} }

// SetUnknown makes the account start nothing.
func (a *Account) SetUnknown() { a.mode = unknown }

// SetLimit sets the limit in force. Components that are 0 have no limit.
func (a *Account) SetLimit(limit resource.Vector) {
	limit = each(func(i int) int64 {
		if n := *at(&limit, i); n > 0 {
			return min(n, maxAmount)
		}
		return maxAmount
	})
	a.mode, a.limit = limited, limit
	if limit == counted(unlimited) {
		a.mode = without
	}
	a.update()
}

// Limited reports whether the account has a limit.
func (a *Account) Limited() bool { return a.mode == limited }

// Reset forgets the entries of the other shards.
func (a *Account) Reset() {
	clear(a.others)
	a.update()
}

// Observe takes the entry of another shard as read from the store; the zero entry is that of a shard that has none.
func (a *Account) Observe(shard int, e Entry) {
	if e == (Entry{}) {
		delete(a.others, shard)
	} else {
		a.others[shard] = e
	}
	a.update()
}

// SetOwn takes the entry of this shard that was stored, which ends a lowering.
func (a *Account) SetOwn(e Entry) {
	a.own, a.lowering = e, false
	a.update()
}

// SetSynced allows the share to be used, or not: the entries of all shards were read, or have to be read again.
func (a *Account) SetSynced(synced bool) {
	a.synced = synced
	a.update()
}

// Reserve counts a run, which may have been started by an earlier owner. Lasting runs do not end by themselves.
func (a *Account) Reserve(size resource.Vector, lasting bool) { a.count(counted(size), lasting) }

// Release ends the counting of a run.
func (a *Account) Release(size resource.Vector, lasting bool) {
	a.count(counted(size).Times(-1), lasting)
}

func (a *Account) count(size resource.Vector, lasting bool) {
	a.used = a.used.Add(size)
	if lasting {
		a.lasting = a.lasting.Add(size)
	}
}

// Empty reports whether nothing runs, waits, is stored or is being stored, so that a new Account has the same state.
func (a *Account) Empty() bool {
	return a.used.IsZero() && a.own == (Entry{}) && len(a.others) == 0 && !a.lowering && !a.waits.any()
}

// Used returns what the account's runs use.
func (a *Account) Used() resource.Vector { return a.used }

// Stored returns the entry that this shard has stored.
func (a *Account) Stored() Entry { return a.own }

// Share returns the share that this shard holds.
func (a *Account) Share() resource.Vector {
	if a.lowering {
		return minOf(a.own.Share, a.ceiling)
	}
	return a.own.Share
}

// total returns the sum of the stored shares.
func (a *Account) total() resource.Vector {
	sum := a.own.Share
	for _, e := range a.others {
		sum = sum.Add(e.Share)
	}
	return sum
}

// update computes what may be used. Where the limit has fallen below the sum of the shares, the whole excess is taken off
// each. A reduction in proportion would not do: a shard whose runs use more than its reduced share keeps them, and starts of
// others would add to that. Shares that are not in use return at once then.
func (a *Account) update() {
	a.remainder, a.usable = a.limit.Sub(a.total()), resource.Vector{}
	if a.mode == limited && a.synced {
		a.usable = maxOf(resource.Vector{}, a.Share().Add(minOf(resource.Vector{}, a.remainder)))
	}
	a.updateOlder()
}

// scale returns n x numerator / denominator, rounded down; numerator is below the denominator.
func scale(n, numerator, denominator int64) int64 {
	high, low := bits.Mul64(uint64(n), uint64(numerator))
	q, _ := bits.Div64(high, low, uint64(denominator))
	return int64(q)
}

// before reports whether a job of another shard has waited longer than those of this one.
func (a *Account) before(shard int, e *Entry) bool {
	if e.Lack == (resource.Vector{}) || !e.Lack.Fits(a.limit) {
		return false // none waits, or it can never be placed
	}
	return !a.waits.any() || cmp.Or(cmp.Compare(e.SinceMs, a.waits.sinceMs), cmp.Compare(shard, a.shard)) < 0
}

// yieldAfterMs is how much older a job of another shard has to be before this shard does not start the next task where one
// has ended. Each hand-over of a part of the share takes some 0.4 s, in which that part is not in use; without the margin,
// two shards that are equally busy would hand shares over all the time.
const yieldAfterMs = 1000

// yieldRounds is the number of rounds in which the same job of another shard is the oldest, after which that margin no longer
// applies. Without this end, a gang waits as long as a job that was accepted within the margin has tasks.
const yieldRounds = 10

// updateOlder computes what jobs of other shards lack that have waited longer than those of this one, and what younger jobs
// leave to them: what they lack beyond the remainder.
func (a *Account) updateOlder() {
	a.older, a.owed, a.owedToMs, a.othersLasting = resource.Vector{}, resource.Vector{}, math.MaxInt64, resource.Vector{}
	a.oldest = olderJob{}
	for shard, e := range a.others {
		a.othersLasting = a.othersLasting.Add(e.Lasting)
		if a.before(shard, &e) {
			a.older = a.older.Add(e.Lack)
			if a.oldest == (olderJob{}) || cmp.Or(cmp.Compare(e.SinceMs, a.oldest.sinceMs), cmp.Compare(shard, a.oldest.shard)) < 0 {
				a.oldest = olderJob{shard, e.SinceMs}
			}
		}
	}
	if a.older != (resource.Vector{}) {
		a.owedToMs = a.oldest.sinceMs + yieldAfterMs
		if a.oldest == a.oldestInRound && a.oldestRounds >= yieldRounds {
			a.owedToMs = a.oldest.sinceMs - 1
		}
	}
	a.owed = each(func(i int) int64 {
		if *at(&a.older, i) == 0 {
			return 0
		}
		return max(0, *at(&a.older, i)-max(0, *at(&a.remainder, i)))
	})
}
