package quota

import "waxwingslip.example/core/resource"

// Answer tells whether the limit allows tasks to start.
type Answer uint8

const (
	// Fits means that the tasks may start.
	Fits Answer = iota
	// Obtainable means that the shard does not hold enough, but the limit is not used up.
	Obtainable
	// UsedUp means that the tasks have to wait until others of the account have ended.
	UsedUp
)

// Ask tells whether tasks may start that need size at once, of a job that was accepted at sinceMs. Younger jobs leave what
// the oldest waiting one needs if the share suffices for that, and what older ones of other shards lack.
func (a *Account) Ask(job string, sinceMs int64, size resource.Vector) Answer {
	if a.mode == without {
		return Fits
	}
	if a.mode == unknown {
		return UsedUp
	}
	size = counted(size)
	wanted := a.used.Add(size)
	if a.waits.any() && job != a.waits.job && sinceMs >= a.waits.sinceMs {
		if next := a.used.Add(a.waits.head); a.allows(&next, &a.waits.head) {
			wanted = wanted.Add(a.waits.head)
		}
	}
	if sinceMs > a.owedToMs {
		wanted = wanted.Add(a.owed)
	}
	if a.allows(&wanted, &size) {
		return Fits
	}
	if pool := a.pool(); size.Fits(pool) {
		return Obtainable
	}
	return UsedUp
}

// allows reports whether a use is within what may be used, in the components of a size that have a limit.
func (a *Account) allows(use, size *resource.Vector) bool {
	if !a.synced {
		return false
	}
	for i := range components {
		if *at(size, i) > 0 && *at(&a.limit, i) < maxAmount && *at(use, i) > *at(&a.usable, i) {
			return false
		}
	}
	return true
}

// pool returns what this shard may come to use beside its runs: what it does not use of its share, and the remainder but for
// what older jobs of other shards lack.
func (a *Account) pool() resource.Vector {
	unused := maxOf(resource.Vector{}, a.own.Share.Sub(a.used))
	return a.remainder.Add(unused).Sub(a.older)
}

// BeginPlan begins a plan, which reports all tasks that wait.
func (a *Account) BeginPlan() { a.planned = waiting{} }

// Wait records tasks of a job, accepted at sinceMs, that only the limit keeps from starting. One step of it needs atOnce to
// go on, and all its tasks need need.
func (a *Account) Wait(job string, sinceMs int64, atOnce, need resource.Vector) {
	atOnce = counted(atOnce)
	if a.mode != limited || !atOnce.Add(a.lasting).Add(a.othersLasting).Fits(a.limit) {
		return // it cannot be placed beside what does not end by itself, and must not hold back others
	}
	p := &a.planned
	p.need = p.need.Add(counted(need))
	if !p.any() || sinceMs < p.sinceMs {
		p.head, p.job, p.sinceMs = atOnce, job, sinceMs
	}
}

// EndPlan ends a plan.
func (a *Account) EndPlan() {
	a.waits = a.planned
	a.update()
}

// Next returns the entry that this shard should store now, and whether it differs from the stored one. A round is a call of
// Next. Entries that raise a component may be stored only if all entries in the store were read.
func (a *Account) Next() (e Entry, changed, raises bool) {
	if !a.synced {
		return a.own, false, false
	}
	a.countOldest()
	e.Share = a.target()
	if a.mode == limited {
		e.Lasting = a.counts(a.lasting)
	}
	if a.waits.any() && a.mode == limited {
		// What exceeds the limit cannot be used, and is lacking, too.
		excess := minOf(resource.Vector{}, a.remainder.Add(a.own.Share).Sub(e.Share))
		if lack := a.counts(a.used.Add(a.waits.head).Sub(e.Share.Add(excess))); lack != (resource.Vector{}) {
			e.Lack, e.SinceMs = lack, a.waits.sinceMs
		}
	}
	return e, e != a.own, !e.Share.Fits(a.own.Share)
}

// countOldest counts the rounds in which the same job of another shard is the oldest.
func (a *Account) countOldest() {
	if a.oldest != a.oldestInRound {
		a.oldestInRound, a.oldestRounds = a.oldest, 0
	}
	a.oldestRounds++
	a.updateOlder()
}

// Begin makes the part of an entry take effect that lowers the share, before the entry is stored. SetOwn ends that.
func (a *Account) Begin(e Entry) {
	a.ceiling, a.lowering = e.Share, true
	a.update()
}

// Abandon ends the attempt to store an entry that had no effect.
func (a *Account) Abandon() { a.SetOwn(a.own) }

// target returns the share that this shard should hold.
func (a *Account) target() resource.Vector {
	switch a.mode {
	case unknown:
		return minOf(a.own.Share, a.used)
	case without:
		return resource.Vector{}
	}
	return a.counts(maxOf(a.used, a.wanted()))
}

// counts returns the components of a vector that have a limit and are not negative. Nothing is held of what has none.
func (a *Account) counts(v resource.Vector) resource.Vector {
	return each(func(i int) int64 {
		if *at(&a.limit, i) >= maxAmount {
			return 0
		}
		return max(0, *at(&v, i))
	})
}

// wanted returns the share that this shard should hold if its runs use less.
func (a *Account) wanted() resource.Vector {
	unused := maxOf(resource.Vector{}, a.own.Share.Sub(a.used))
	if !a.waits.any() {
		return a.used.Add(a.lastingSurplus(unused))
	}
	a.surplus = [surplusRounds - 1]resource.Vector{}
	if pool := a.pool(); a.waits.head.Fits(pool) {
		return a.used.Add(part(a.waits.head, a.waits.need, pool))
	}
	// What no waiting task fits in is of no use to this shard, unless it is the next to get more.
	if a.older != (resource.Vector{}) {
		return a.used
	}
	return a.used.Add(minOf(unused, a.waits.head))
}

// part returns as much of need as the pool holds, with the same part of each component, but at least head.
func part(head, need, pool resource.Vector) resource.Vector {
	granted := maxOf(head, need)
	var numerator, denominator int64 // of the smallest part
	for i := range components {
		if n, d := *at(&pool, i), *at(&granted, i); n < d && (denominator == 0 || n < scale(d, numerator, denominator)) {
			numerator, denominator = n, d
		}
	}
	if denominator == 0 {
		return granted
	}
	return maxOf(head, each(func(i int) int64 { return scale(*at(&granted, i), numerator, denominator) }))
}

// lastingSurplus returns the part of what is not in use that is kept for tasks that may come: what was in use in one of the
// latest rounds, and nothing while other shards wait or the shares exceed the limit.
func (a *Account) lastingSurplus(unused resource.Vector) resource.Vector {
	if a.older != (resource.Vector{}) || !a.remainder.Valid() {
		return resource.Vector{}
	}
	lasting := unused
	for _, s := range a.surplus {
		lasting = minOf(lasting, s)
	}
	copy(a.surplus[:], a.surplus[1:])
	a.surplus[len(a.surplus)-1] = unused
	return unused.Sub(lasting)
}
