package hosted

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"waxwingslip.example/core/account"
	"waxwingslip.example/core/jobs"
	"waxwingslip.example/external/jobqueue"
	"waxwingslip.example/node/shard"
)

// checkStoredJob judges by the job's record in the store whether a caller may cancel it while no owner responds. It returns
// the owner's refusal if the record cannot be read: a cancellation of another account's job could not be undone.
func (a *jobAPI) checkStoredJob(ctx context.Context, id string, scope account.Scope, refused *jobqueue.RefusedError) error {
	if !scope.Limited {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, a.d.limitToDrain(queryAttemptTimeout))
	defer cancel()
	key := shard.AcceptRecord(id, nil).Key
	// The prefix of the key is the nearest key before it that is known to be smaller.
	page, err := a.d.store.Newest(ctx, jobsPartition(shardOf(id, a.d.shardCount())), key[:len(key)-1])
	if err != nil {
		return refused
	}
	for _, r := range page.Records {
		if r.Key != key || r.Value == nil {
			continue
		}
		spec := &jobs.Spec{}
		if err := cbor.Unmarshal(r.Value, spec); err != nil {
			return refused
		}
		if !scope.Contains(spec.Account, spec.Queue) {
			return jobqueue.ErrUnknownJob
		}
		return nil
	}
	return refused
}
