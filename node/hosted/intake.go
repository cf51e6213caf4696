package hosted

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

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
	// queryTimeLimit covers the time in which a shard changes its owner for callers that wait long enough.
	queryTimeLimit = 2 * time.Second
	// queryAttempt limits one call to a shard's owner.
	queryAttempt = 600 * time.Millisecond
	queryPause   = 60 * time.Millisecond
	// outageRetryAfter is when callers come back while the store or an owner cannot be reached.
	outageRetryAfter = time.Second
)

// intake serves callers from any daemon: commands go to the store, queries to the owner of the job's shard.
type intake struct{ d *Daemon }

// Config implements jobqueue.Intake.
func (i *intake) Config() *jobqueue.Config { return i.d.control.Config() }

// shardOf returns the shard of a job. It never changes for an environment.
func shardOf(id string, shards int) int { return int(xxhash.Sum64String(id) % uint64(shards)) }

// errStarting refuses requests until the number of shards is known, without which a job's shard is not.
func errStarting() error {
	return &jobqueue.RefusedError{Reason: "the daemon is starting", RetryAfter: outageRetryAfter}
}

// Submit implements jobqueue.Intake.
func (i *intake) Submit(ctx context.Context, spec *jobs.Spec) error {
	shards := i.d.shardCount()
	if shards == 0 {
		return errStarting()
	}
	begun := i.d.now()
	spec.AcceptedMs = time.Now().UnixMilli()
	value, err := cbor.Marshal(spec)
	if err != nil {
		return errors.Wrapf(err, "encode job %s", spec.ID)
	}
	n := shardOf(spec.ID, shards)
	err = i.command(ctx, n, shard.AcceptRecord(spec.ID, value))
	took := i.d.now() - begun
	log := i.d.log.Info().Str("job", spec.ID).Str("queue", spec.Queue).Int("shard", n).Dur("took", took)
	if err != nil {
		log.Err(err).Msg("job not accepted")
		return err
	}
	log.Msg("job accepted")
	i.d.metrics.Counter("jobs_accepted").Inc()
	i.d.metrics.Histogram("jobs_accept_time").Record(took)
	return nil
}

// command stores a caller's command.
func (i *intake) command(ctx context.Context, n int, r keyedlog.Record) error {
	ctx, cancel := context.WithTimeout(ctx, i.d.withinDrain(storeTimeLimit))
	defer cancel()
	route, err := i.d.commands.add(ctx, n, r)
	switch {
	case err == nil:
		if route == byOwner {
			i.d.metrics.Counter("jobs_stored_by_owner").Inc()
		}
		return nil
	case errors.Is(err, ledger.ErrUncertain):
		i.d.metrics.Counter("jobs_uncertain").Inc()
		return errors.Wrap(jobqueue.ErrUncertain, err.Error())
	}
	i.d.metrics.Counter("jobs_refused").Inc()
	return &jobqueue.RefusedError{Reason: "the store cannot be reached: " + err.Error(), RetryAfter: outageRetryAfter}
}

// Cancel implements jobqueue.Intake.
func (i *intake) Cancel(ctx context.Context, id string) error {
	shards := i.d.shardCount()
	if shards == 0 {
		return errStarting()
	}
	state, err := i.State(ctx, id)
	var refused *jobqueue.RefusedError
	switch {
	case errors.As(err, &refused):
		// No owner answers. The command is stored all the same; an owner carries it out when it has read it.
	case err != nil:
		return err
	case state == jobs.StateCancelled || state == jobs.StateCompleted || state == jobs.StateFailed:
		return nil
	}
	n := shardOf(id, shards)
	err = i.command(ctx, n, shard.CancelRecord(id))
	log := i.d.log.Info().Str("job", id).Stringer("state", state)
	if err != nil {
		log.Err(err).Msg("cancelling not stored")
		return err
	}
	log.Msg("cancelling stored")
	i.d.metrics.Counter("jobs_cancelled").Inc()
	return nil
}

// State implements jobqueue.Intake.
func (i *intake) State(ctx context.Context, id string) (jobs.State, error) {
	shards := i.d.shardCount()
	if shards == 0 {
		return 0, errStarting()
	}
	n := shardOf(id, shards)
	var state jobs.State
	err := i.query(ctx, n,
		func(ctx context.Context, s *shard.Shard) (err error) { state, err = s.State(ctx, id); return },
		func(ctx context.Context, address string) error {
			return i.d.peers.Call(ctx, address, methodState, stateQuery{n, id}, &state)
		})
	if err == nil && state == jobs.StateUnknown {
		err = jobqueue.ErrUnknownJob
	}
	return state, err
}

// Waiting implements jobqueue.Intake.
func (i *intake) Waiting(ctx context.Context, queue string) (int, error) {
	total, shards := 0, i.d.shardCount()
	if shards == 0 {
		return 0, errStarting()
	}
	for n := range shards {
		count := 0
		err := i.query(ctx, n,
			func(_ context.Context, s *shard.Shard) (err error) { count, err = s.Waiting(queue); return },
			func(ctx context.Context, address string) error {
				return i.d.peers.Call(ctx, address, methodWaiting, waitingQuery{n, queue}, &count)
			})
		if err != nil {
			return 0, err
		}
		total += count
	}
	return total, nil
}

// query asks the owner of a shard, this daemon or another one, until it answers or the time is up.
func (i *intake) query(ctx context.Context, n int, local func(context.Context, *shard.Shard) error, remote func(context.Context, string) error) error {
	begun := i.d.now()
	i.d.metrics.Counter("jobs_queries").Inc()
	ctx, cancel := context.WithTimeout(ctx, i.d.withinDrain(queryTimeLimit))
	defer cancel()
	var err error
	for ctx.Err() == nil {
		attempt, end := context.WithTimeout(ctx, queryAttempt)
		if s := i.d.owned(n); s != nil {
			err = local(attempt, s)
		} else if address := i.d.ownerAddress(n); address != "" {
			err = remote(attempt, address)
		} else {
			err = errors.Errorf("shard %d has no owner", n)
		}
		end()
		if err == nil {
			i.d.metrics.Histogram("jobs_query_time").Record(i.d.now() - begun)
			return nil
		}
		if i.d.storeUnreachable() {
			break // no new owner can be learned of now
		}
		ctxtime.Sleep(ctx, queryPause)
	}
	i.d.metrics.Counter("jobs_queries_failed").Inc()
	i.d.log.Warn().Err(err).Int("shard", n).Dur("took", i.d.now()-begun).Msg("query failed")
	return &jobqueue.RefusedError{Reason: "the owner of the job's shard cannot be reached", RetryAfter: outageRetryAfter}
}

// Methods between daemons.
const (
	methodStore   = "command.store"
	methodState   = "job.state"
	methodWaiting = "queue.waiting"
)

type stateQuery struct {
	Shard int    `cbor:"1,keyasint"`
	Job   string `cbor:"2,keyasint"`
}

type waitingQuery struct {
	Shard int    `cbor:"1,keyasint"`
	Queue string `cbor:"2,keyasint"`
}

// codeNotOwner is answered by a daemon that does not own the shard asked about.
const codeNotOwner = peer.CodeApplication

// mustOwn returns a shard that this daemon owns, or the error for peers.
func (d *Daemon) mustOwn(n int) (*shard.Shard, error) {
	if s := d.owned(n); s != nil {
		return s, nil
	}
	return nil, &peer.RemoteError{Code: codeNotOwner, Message: "not the owner of the shard"}
}

func (d *Daemon) handlePeers(s *peer.Server) {
	peer.HandleCall(s, methodStore, func(ctx context.Context, _ string, q commandQuery) (commandAnswer, error) {
		if _, err := d.mustOwn(q.Shard); err != nil {
			return commandAnswer{}, err
		}
		return d.commands.addInGroup(ctx, q), nil
	})
	peer.HandleCall(s, methodState, func(ctx context.Context, _ string, q stateQuery) (jobs.State, error) {
		owned, err := d.mustOwn(q.Shard)
		if err != nil {
			return 0, err
		}
		return owned.State(ctx, q.Job)
	})
	peer.HandleCall(s, methodWaiting, func(_ context.Context, _ string, q waitingQuery) (int, error) {
		owned, err := d.mustOwn(q.Shard)
		if err != nil {
			return 0, err
		}
		return owned.Waiting(q.Queue)
	})
}
