package hosted

import (
	"context"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"waxwingslip.example/core/account"
	"waxwingslip.example/core/jobs"
	"waxwingslip.example/external/jobqueue"
	"waxwingslip.example/external/keyedlog"
	"waxwingslip.example/node/ctxtime"
	"waxwingslip.example/node/ledger"
	"waxwingslip.example/node/peer"
	"waxwingslip.example/node/shard"
)

// Timing of callers' requests.
const (
	// queryTimeLimit covers a change of the shard's owner, for callers that wait that long.
	queryTimeLimit = 2 * time.Second
	// queryAttemptTimeout limits one call to a shard's owner.
	queryAttemptTimeout = 600 * time.Millisecond
	queryRetryDelay     = 60 * time.Millisecond
	// outageRetryAfter is the delay after which callers should retry while the store or an owner cannot be reached.
	outageRetryAfter = time.Second
)

// jobAPI serves callers on any daemon: commands go to the store, queries to the owner of the job's shard.
type jobAPI struct{ d *Daemon }

// Config implements jobqueue.JobAPI.
func (a *jobAPI) Config() *jobqueue.Config { return a.d.control.Config() }

// ConfigCurrent implements jobqueue.JobAPI.
func (a *jobAPI) ConfigCurrent() bool { return a.d.feed.age() <= staleControlAge }

// shardOf returns the home shard of a job or a worker. It never changes for an environment.
func shardOf(id string, shards int) int { return int(xxhash.Sum64String(id) % uint64(shards)) }

// errStarting refuses requests until the number of shards is known, which determines a job's shard.
func errStarting() error {
	return &jobqueue.RefusedError{Reason: "the daemon is starting", RetryAfter: outageRetryAfter}
}

// Submit implements jobqueue.JobAPI.
func (a *jobAPI) Submit(ctx context.Context, spec *jobs.Spec) error {
	shards := a.d.shardCount()
	if shards == 0 {
		return errStarting()
	}
	start := a.d.now()
	spec.AcceptedMs = time.Now().UnixMilli()
	value, err := cbor.Marshal(spec)
	if err != nil {
		return errors.Wrapf(err, "encode job %s", spec.ID)
	}
	n := shardOf(spec.ID, shards)
	err = a.storeCommand(ctx, n, shard.AcceptRecord(spec.ID, value))
	took := a.d.now() - start
	log := a.d.log.Info().Str("job", spec.ID).Str("queue", spec.Queue).Int("shard", n).Dur("took", took)
	if err != nil {
		log.Err(err).Msg("job not accepted")
		return err
	}
	if err := a.refuseIfCancelled(ctx, n, spec); err != nil {
		log.Err(err).Msg("job not accepted")
		a.d.metrics.Counter("jobs_refused").Inc()
		return err
	}
	log.Msg("job accepted")
	a.d.metrics.Counter("jobs_accepted").Inc()
	a.d.metrics.Histogram("jobs_accept_time").Record(took)
	return nil
}

// storeCommand stores a caller's command.
func (a *jobAPI) storeCommand(ctx context.Context, n int, r keyedlog.Record) error {
	ctx, cancel := context.WithTimeout(ctx, a.d.limitToDrain(storeTimeLimit))
	defer cancel()
	route, err := a.d.commands.store(ctx, n, r)
	switch {
	case err == nil:
		if route == routeViaOwner {
			a.d.metrics.Counter("jobs_stored_by_owner").Inc()
		}
		return nil
	case errors.Is(err, ledger.ErrUncertain):
		a.d.metrics.Counter("jobs_uncertain").Inc()
		return errors.Wrap(jobqueue.ErrUncertain, err.Error())
	}
	if errors.Is(err, keyedlog.ErrRejected) {
		return errors.Wrap(jobqueue.ErrTooLarge, err.Error())
	}
	a.d.metrics.Counter("jobs_refused").Inc()
	return &jobqueue.RefusedError{Reason: "the store cannot be reached: " + err.Error(), RetryAfter: outageRetryAfter}
}

// Cancel implements jobqueue.JobAPI.
func (a *jobAPI) Cancel(ctx context.Context, id string, scope account.Scope) error {
	shards := a.d.shardCount()
	if shards == 0 {
		return errStarting()
	}
	state, err := a.State(ctx, id, scope)
	var refused *jobqueue.RefusedError
	switch {
	case errors.As(err, &refused):
		// No owner responds. The command is stored anyway; an owner executes it once it has read it.
		if err := a.checkStoredJob(ctx, id, scope, refused); err != nil {
			return err
		}
	case errors.Is(err, jobqueue.ErrUnknownJob):
		return a.cancelUnknown(ctx, shardOf(id, shards), id, scope)
	case err != nil:
		return err
	case state == jobs.StateCancelled || state == jobs.StateCompleted || state == jobs.StateFailed:
		return nil
	}
	n := shardOf(id, shards)
	err = a.storeCommand(ctx, n, shard.CancelRecord(id))
	log := a.d.log.Info().Str("job", id).Stringer("state", state)
	if err != nil {
		log.Err(err).Msg("cancelling not stored")
		return err
	}
	log.Msg("cancelling stored")
	a.d.metrics.Counter("jobs_cancelled").Inc()
	return nil
}

// State implements jobqueue.JobAPI.
func (a *jobAPI) State(ctx context.Context, id string, scope account.Scope) (jobs.State, error) {
	shards := a.d.shardCount()
	if shards == 0 {
		return 0, errStarting()
	}
	n := shardOf(id, shards)
	var state jobs.State
	err := a.query(ctx, n,
		func(ctx context.Context, s *shard.Shard) (err error) { state, err = s.StateFor(ctx, id, scope); return },
		func(ctx context.Context, address string) error {
			return a.d.peers.Call(ctx, address, methodState, stateQuery{n, id, scope}, &state)
		})
	if err == nil && state == jobs.StateUnknown {
		err = jobqueue.ErrUnknownJob
	}
	return state, err
}

// CountUnauthorized implements jobqueue.JobAPI.
func (a *jobAPI) CountUnauthorized() { a.d.metrics.Counter("callers_unauthorized").Inc() }

// Waiting implements jobqueue.JobAPI.
func (a *jobAPI) Waiting(ctx context.Context, queue string) (int, error) {
	shards := a.d.shardCount()
	if shards == 0 {
		return 0, errStarting()
	}
	counts := make([]shard.Count, shards)
	for n := range counts {
		err := a.query(ctx, n,
			func(_ context.Context, s *shard.Shard) (err error) { counts[n], err = s.Waiting(queue); return },
			func(ctx context.Context, address string) (err error) {
				counts[n], err = a.d.countAt(ctx, address, waitingQuery{n, queue})
				return err
			})
		if err != nil {
			return 0, err
		}
	}
	return shard.TotalWaiting(counts), nil
}

// countAt asks the owner of a shard for the jobs of a queue that wait.
func (d *Daemon) countAt(ctx context.Context, address string, q waitingQuery) (c shard.Count, err error) {
	err = d.peers.Call(ctx, address, methodCount, q, &c)
	if code, answered := peer.CodeOf(err); answered && code == peer.CodeUnknownMethod {
		err = d.peers.Call(ctx, address, methodWaiting, q, &c.Waiting)
		c.ReadTo = math.MaxInt64 // builds without the method count a moved job from its announcement on
	}
	return c, err
}

// query calls the owner of a shard, locally if that is this daemon, until a call succeeds, the time is up or the store
// is unreachable.
func (a *jobAPI) query(ctx context.Context, n int, local func(context.Context, *shard.Shard) error,
	remote func(context.Context, string) error) error {
	start := a.d.now()
	a.d.metrics.Counter("jobs_queries").Inc()
	ctx, cancel := context.WithTimeout(ctx, a.d.limitToDrain(queryTimeLimit))
	defer cancel()
	var err error
	for ctx.Err() == nil {
		attemptCtx, cancelAttempt := context.WithTimeout(ctx, queryAttemptTimeout)
		if s := a.d.ownedShard(n); s != nil {
			err = local(attemptCtx, s)
		} else if address := a.d.ownerAddress(n); address != "" {
			if err = remote(attemptCtx, address); err != nil {
				a.d.refreshOwner(n)
			}
		} else {
			err = errors.Errorf("shard %d has no owner", n)
		}
		cancelAttempt()
		if err == nil {
			a.d.metrics.Histogram("jobs_query_time").Record(a.d.now() - start)
			return nil
		}
		if a.d.storeUnreachable() {
			break // a new owner cannot be found now
		}
		ctxtime.Sleep(ctx, queryRetryDelay)
	}
	a.d.metrics.Counter("jobs_queries_failed").Inc()
	a.d.log.Warn().Err(err).Int("shard", n).Dur("took", a.d.now()-start).Msg("query failed")
	return &jobqueue.RefusedError{Reason: "the owner of the job's shard cannot be reached", RetryAfter: outageRetryAfter}
}

// Methods that daemons call on each other.
const (
	methodStore = "command.store"
	methodState = "job.state"
	methodCount = "queue.count"
	// methodWaiting is methodCount of earlier builds. It returns the number alone.
	methodWaiting = "queue.waiting"
	methodMove    = "shard.move"
	methodLend    = "shard.lend"
	// methodCancelledEarly is not known to earlier builds. Their owners know no early cancellations.
	methodCancelledEarly = "job.cancelled_early"
)

// stateQuery asks for the state of a job. Earlier builds send no scope, and ignore that of others.
type stateQuery struct {
	Shard int           `cbor:"1,keyasint"`
	Job   string        `cbor:"2,keyasint"`
	Scope account.Scope `cbor:"3,keyasint,omitempty"`
}

type waitingQuery struct {
	Shard int    `cbor:"1,keyasint"`
	Queue string `cbor:"2,keyasint"`
}

// lendRequest asks the owner of a shard for workers.
type lendRequest struct {
	Shard int        `cbor:"1,keyasint"`
	Need  shard.Need `cbor:"2,keyasint"`
}

// codeNotOwner is the error code of a daemon that does not own the requested shard.
const codeNotOwner = peer.CodeApplication

// requireOwnedShard returns a shard that this daemon owns and has loaded, or the error for peers.
func (d *Daemon) requireOwnedShard(n int) (*shard.Shard, error) {
	if s := d.ownedShard(n); s != nil {
		return s, nil
	}
	return nil, &peer.RemoteError{Code: codeNotOwner, Message: "not the owner of the shard"}
}

func (d *Daemon) handlePeers(s *peer.Server) {
	peer.HandleCall(s, methodStore, func(ctx context.Context, _ string, req storeRequest) (storeResponse, error) {
		if _, err := d.requireOwnedShard(req.Shard); err != nil {
			return storeResponse{}, err
		}
		return d.commands.appendInGroup(ctx, req), nil
	})
	peer.HandleCall(s, methodState, func(ctx context.Context, _ string, q stateQuery) (jobs.State, error) {
		ownedShard, err := d.requireOwnedShard(q.Shard)
		if err != nil {
			return 0, err
		}
		return ownedShard.StateFor(ctx, q.Job, q.Scope)
	})
	peer.HandleCall(s, methodCancelledEarly, func(ctx context.Context, _ string, q acceptanceQuery) (bool, error) {
		ownedShard, err := d.requireOwnedShard(q.Shard)
		if err != nil {
			return false, err
		}
		return ownedShard.CancelledEarly(ctx, q.Job, q.Account)
	})
	count := func(q waitingQuery) (shard.Count, error) {
		ownedShard, err := d.requireOwnedShard(q.Shard)
		if err != nil {
			return shard.Count{}, err
		}
		return ownedShard.Waiting(q.Queue)
	}
	peer.HandleCall(s, methodCount, func(_ context.Context, _ string, q waitingQuery) (shard.Count, error) { return count(q) })
	peer.HandleCall(s, methodWaiting, func(_ context.Context, _ string, q waitingQuery) (int, error) {
		c, err := count(q)
		return c.Waiting, err
	})
	peer.HandleCall(s, methodLend, func(_ context.Context, _ string, req lendRequest) (shard.Loan, error) {
		ownedShard, err := d.requireOwnedShard(req.Shard)
		if err != nil {
			return shard.Loan{}, err
		}
		return ownedShard.Lend(req.Need)
	})
	peer.HandleCall(s, methodMove, func(_ context.Context, _ string, req moveRequest) (struct{}, error) {
		return struct{}{}, d.handOver(req)
	})
}
