package hosted

import (
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"waxwingslip.example/core/account"
	"waxwingslip.example/core/jobs"
	"waxwingslip.example/external/jobqueue"
	"waxwingslip.example/external/keyedlog"
	storefake "waxwingslip.example/external/keyedlog/fake"
	"waxwingslip.example/node/peer"
	"waxwingslip.example/node/shard"
)

// Guards against a job of another account that is cancelled while no owner responds, and against cancellations that are
// lost then although they are allowed.
func TestCancelWithoutOwner(t *testing.T) {
	const id = "5c0e7a21d94b36f8"
	for _, c := range []struct {
		name     string
		scope    account.Scope
		accepted bool
		fault    storefake.Fault
		stored   bool
		unknown  bool
	}{
		{"own job", account.Scope{Limited: true, Account: "a"}, true, storefake.Fault{}, true, false},
		{"job of another account", account.Scope{Limited: true, Account: "b"}, true, storefake.Fault{}, false, true},
		{"no account", account.Scope{Limited: true}, true, storefake.Fault{}, false, true},
		{"job not in the store", account.Scope{Limited: true, Account: "a"}, false, storefake.Fault{}, false, false},
		{"store cannot be read", account.Scope{Limited: true, Account: "a"}, true, storefake.Fault{Refuse: true}, false, false},
		{"no accounts in use", account.Scope{}, true, storefake.Fault{Refuse: true}, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			store := storefake.New()
			d := newTestDaemon(store.As("d"))
			d.shardTotal.Store(1)
			operator := store.As("operator")
			neighbour := keyedlog.Record{Key: shard.AcceptRecord("5c0e7a21d94b36f7", nil).Key, Value: []byte{1}}
			records := []keyedlog.Record{neighbour}
			if c.accepted {
				value, err := cbor.Marshal(&jobs.Spec{ID: id, Account: "a"})
				is.NoErr(err)
				records = append(records, shard.AcceptRecord(id, value))
			}
			_, err := operator.Append(t.Context(), keyedlog.Append{Partition: jobsPartition(0), Records: records})
			is.NoErr(err)
			store.SetFault(func(caller, method string, _ keyedlog.Partition) storefake.Fault {
				if caller == "d" && method == "newest" {
					return c.fault
				}
				return storefake.Fault{}
			})
			err = (&jobAPI{d}).Cancel(t.Context(), id, c.scope)
			var refused *jobqueue.RefusedError
			is.Equal(err == nil, c.stored)
			is.Equal(errors.Is(err, jobqueue.ErrUnknownJob), c.unknown)
			is.Equal(errors.As(err, &refused), !c.stored && !c.unknown)
			page, err := operator.Newest(t.Context(), jobsPartition(0), shard.CancelRecord("").Key)
			is.NoErr(err)
			is.Equal(len(page.Records) == 1, c.stored)
		})
	}
}

// Guards against queries that daemons of the build without accounts cannot read, and against theirs, which name no scope, being
// answered as if the caller had no account.
func TestStateQueryBesideEarlierBuild(t *testing.T) {
	is := is.New(t)
	type earlierQuery struct {
		Shard int    `cbor:"1,keyasint"`
		Job   string `cbor:"2,keyasint"`
	}
	read := make(chan stateQuery, 1)
	d, owner := daemonBeside(t, func(s *peer.Server) {
		peer.HandleCall(s, methodState, func(_ context.Context, _ string, q earlierQuery) (jobs.State, error) {
			is.Equal(q, earlierQuery{3, "job"})
			return jobs.StateRunning, nil
		})
		peer.HandleCall(s, "this build", func(_ context.Context, _ string, q stateQuery) (jobs.State, error) {
			read <- q
			return jobs.StateRunning, nil
		})
	})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	limited := stateQuery{3, "job", account.Scope{Limited: true, Account: "a"}}
	var state jobs.State
	is.NoErr(d.peers.Call(ctx, owner, methodState, limited, &state))
	is.Equal(state, jobs.StateRunning)
	is.NoErr(d.peers.Call(ctx, owner, "this build", earlierQuery{3, "job"}, &state))
	is.Equal(<-read, stateQuery{Shard: 3, Job: "job"})
	is.NoErr(d.peers.Call(ctx, owner, "this build", limited, &state))
	is.Equal(<-read, limited)
}
