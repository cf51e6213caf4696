package shard

import (
	"strconv"
	"strings"
	"time"

	"waxwingslip.example/core/jobs"
	"waxwingslip.example/core/packing"
	"waxwingslip.example/core/quota"
	"waxwingslip.example/core/resource"
	"waxwingslip.example/external/jobqueue"
)

// quotas is what the shard holds of the limits of client accounts. The shard's mu guards it.
type quotas struct {
	accounts map[string]*accountQuota // by the accounts' ids
	// longNames holds the names of the configuration's accounts whose ids are hashes, by these.
	longNames map[string]string
	// config is the configuration by which limits are set, and inForce is set if it has any.
	config  *jobqueue.Config
	inForce bool
	// synced is set once the shares of all shards were read.
	synced bool
	// waiting holds the number of tasks that wait for a limit by the newest plan, by step.
	waiting map[string]int
	// waitingTotal is the part of the gauge that this shard has added.
	waitingTotal int
}

// accountQuota is what the shard holds of an account's limit.
type accountQuota struct {
	*quota.Account
	id string
	// name is empty if only the account's id is known: its shares were read, and the configuration does not hold it.
	name  string
	limit resource.Vector
	// waiting is the number of tasks that wait by the current plan. waitLogged is set if the log says that some wait.
	waiting    int
	waitLogged bool
	loggedAt   time.Duration
}

// waitLogInterval is the shortest time between two log lines on tasks that wait for the limit of an account.
const waitLogInterval = time.Second

// quotaOf returns the state of an account by its name. The caller holds mu.
func (s *Shard) quotaOf(name string) *accountQuota {
	a := s.quotaOfID(accountID(name))
	if a.learnName(name) {
		s.setLimit(a)
	}
	return a
}

// learnName sets the name of an account of which only the id was known, and reports whether it did.
func (a *accountQuota) learnName(name string) bool {
	if a.name != "" || name == "" {
		return false
	}
	a.name = name
	return true
}

// quotaOfID returns the state of an account by its id. The caller holds mu.
func (s *Shard) quotaOfID(id string) *accountQuota {
	a := s.quotas.accounts[id]
	if a == nil {
		a = &accountQuota{Account: quota.New(s.number), id: id, name: s.accountName(id)}
		s.quotas.accounts[id] = a
		a.SetSynced(s.quotas.synced)
		a.limit, _ = s.limitOf(a.name)
		s.setLimit(a)
	}
	return a
}

// accountName returns the name of an account by its id; empty if it is not known. The caller holds mu.
func (s *Shard) accountName(id string) string {
	if name, ok := accountOfID(id); ok {
		return name
	}
	return s.quotas.longNames[id]
}

// key returns the key of the account's share in a shard.
func (a *accountQuota) key(shard int) string {
	if a.name == "" {
		return a.id + "/" + strconv.Itoa(shard)
	}
	return quotaKey(a.name, shard)
}

// limitOf returns the limit of an account in the configuration in force, and whether that holds the account. The caller
// holds mu.
func (s *Shard) limitOf(name string) (resource.Vector, bool) {
	if s.quotas.config == nil {
		return resource.Vector{}, false
	}
	if s.quotas.config.Accounts == nil {
		return resource.Vector{}, true // the operators have given up accounts
	}
	a := s.quotas.config.Accounts.Account(name)
	if a == nil {
		return resource.Vector{}, false
	}
	return a.Limit, true
}

// setLimit sets the limit of an account by the configuration in force. A share is used under another limit only once the
// shares of all shards were read again. The caller holds mu.
func (s *Shard) setLimit(a *accountQuota) {
	limit, known := s.limitOf(a.name)
	if !known {
		a.SetUnknown()
		return
	}
	if limit != a.limit {
		a.SetSynced(false)
		s.quotas.synced = false
	}
	a.limit = limit
	a.SetLimit(limit)
}

// applyLimits puts the limits of the newest configuration into force. The caller holds mu.
func (s *Shard) applyLimits() {
	config, q := s.deps.Config(), &s.quotas
	if config == q.config {
		return
	}
	q.config = config
	before := q.inForce
	q.inForce = config != nil && config.Accounts.AnyLimit()
	q.longNames = longNames(config)
	for _, a := range q.accounts {
		if a.name == "" {
			a.name = s.accountName(a.id)
		}
		s.setLimit(a)
		if !before {
			a.SetSynced(false) // nothing was read meanwhile
		}
	}
	if !before {
		q.synced = false
	}
	if q.inForce {
		signal(s.quotaSignal)
	}
}

// longNames returns the names of a configuration's accounts whose ids are hashes, by these.
func longNames(config *jobqueue.Config) map[string]string {
	names := map[string]string{}
	if config == nil {
		return names
	}
	for name := range config.Accounts.Names() {
		if id := accountID(name); strings.HasPrefix(id, hashedPrefix) {
			names[id] = name
		}
	}
	return names
}

// reserveQuota counts a run. The caller holds mu.
func (s *Shard) reserveQuota(r *run) {
	if e := s.jobs[r.id.Job]; e != nil && e.job.Spec.Account != "" {
		r.account = e.job.Spec.Account
		s.quotaOf(r.account).Reserve(r.step.Size, r.step.LongRunning)
	}
}

// releaseQuota ends the counting of a run. The caller holds mu.
func (s *Shard) releaseQuota(r *run) {
	if r.account != "" {
		s.quotaOf(r.account).Release(r.step.Size, r.step.LongRunning)
	}
}

// beginQuotaPlan begins a plan of the jobs that wait. The caller holds mu.
func (s *Shard) beginQuotaPlan(waiting []*jobEntry) {
	s.applyLimits()
	for _, e := range waiting {
		e.waitsForQuota = false
	}
	clear(s.quotas.waiting)
	for _, a := range s.quotas.accounts {
		a.BeginPlan()
		a.waiting = 0
	}
}

// endQuotaPlan ends a plan and publishes what waits for limits. The caller holds mu.
func (s *Shard) endQuotaPlan(now time.Duration) {
	total, limited := 0, 0
	for _, a := range s.quotas.accounts {
		a.EndPlan()
		total += a.waiting
		if a.Limited() {
			limited += a.waiting
		}
		if waits := a.waiting > 0; waits != a.waitLogged && (a.loggedAt == 0 || now-a.loggedAt >= waitLogInterval) {
			a.waitLogged, a.loggedAt = waits, now
			message := "tasks wait for the account's limit"
			if !waits {
				message = "tasks no longer wait for the account's limit"
			}
			s.log.Info().Str("account", a.name).Int("tasks", a.waiting).Stringer("used", a.Used()).Stringer("share", a.Share()).
				Stringer("limit", a.limit).Msg(message)
		}
	}
	s.forgetAccounts()
	s.countQuotaWaits(total)
	if limited > 0 { // no share helps tasks of accounts that the configuration does not hold
		signal(s.quotaSignal)
	}
}

// forgetAccounts removes the accounts that the configuration does not hold and of which nothing is left, so that their number
// stays bounded. The caller holds mu.
func (s *Shard) forgetAccounts() {
	for id, a := range s.quotas.accounts {
		if _, known := s.limitOf(a.name); !known && a.waiting == 0 && a.Empty() {
			delete(s.quotas.accounts, id)
		}
	}
}

// countQuotaWaits updates the shard's part of the gauge. The caller holds mu.
func (s *Shard) countQuotaWaits(total int) {
	s.deps.Counters.WaitForQuota.Add(int64(total - s.quotas.waitingTotal))
	s.quotas.waitingTotal = total
}

// placeWithinQuota returns the worker that find finds for tasks of a job, which need size at once, and whether the limit of
// their account keeps them from being bound. Tasks that the limit allows and for which there is no worker are short of
// workers. The caller holds mu.
func (s *Shard) placeWithinQuota(e *jobEntry, size resource.Vector, find func() *packing.Worker) (w *packing.Worker, waits bool) {
	spec := e.job.Spec
	if spec.Account == "" {
		return find(), false
	}
	answer := s.quotaOf(spec.Account).Ask(spec.ID, spec.AcceptedMs, size)
	w = find()
	return w, answer == quota.UsedUp || answer == quota.Obtainable && w != nil
}

// recordQuotaWait records the waiting tasks of a step that wait for the limit of their account. The tasks need atOnce to go
// on, and get more of the limit only if there is a worker. The caller holds mu.
func (s *Shard) recordQuotaWait(e *jobEntry, tasks []jobs.Task, r *packing.Request, atOnce resource.Vector, hasWorker bool) {
	e.waitsForQuota = true
	if _, counted := s.quotas.waiting[r.StepName]; counted {
		return // found in an earlier round of the plan
	}
	n := 0
	for i := range tasks {
		if tasks[i].Phase == jobs.Waiting {
			n++
		}
	}
	s.quotas.waiting[r.StepName] = n
	a := s.quotaOf(e.job.Spec.Account)
	a.waiting += n
	if !hasWorker {
		return
	}
	// More than the workers have room for would be given back.
	if cpu := r.Step.Reserved().MilliCPU; cpu > 0 {
		n = min(n, max(1, int(s.fleet.CPUTotals(r.Service).Free/cpu)))
	}
	a.Wait(e.job.Spec.ID, e.job.Spec.AcceptedMs, atOnce, r.Step.Size.Times(int64(n)))
}
