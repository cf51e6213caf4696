package shard

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"waxwingslip.example/core/account"
	"waxwingslip.example/core/quota"
	"waxwingslip.example/core/resource"
	"waxwingslip.example/external/jobqueue"
	"waxwingslip.example/external/keyedlog"
	"waxwingslip.example/node/telemetry"
)

// Guards against state, and time in each plan, for every account that a shard has ever read of.
func TestAccountsThatNoLongerExistAreForgotten(t *testing.T) {
	is := is.New(t)
	set, err := account.New([]account.Row{{Name: "other", Limit: resource.Vector{MilliCPU: 1000}}})
	is.NoErr(err)
	config := &jobqueue.Config{Accounts: set}
	s := &Shard{log: zerolog.Nop(), quotaSignal: make(chan struct{}, 1), planSignal: make(chan struct{}, 1),
		deps:   &Dependencies{Config: func() *jobqueue.Config { return config }, Counters: NewCounters(telemetry.New(time.Now))},
		quotas: quotas{accounts: map[string]*accountQuota{}, waiting: map[string]int{}}}
	x := newQuotaExchange(s)
	value, err := cbor.Marshal(quota.Entry{Share: resource.Vector{MilliCPU: 1000}})
	is.NoErr(err)
	for i := range 1000 {
		for number := range 2 {
			key := quotaKey(fmt.Sprint("account", i), number)
			x.apply([]keyedlog.Record{{Key: key, Value: value, Offset: int64(2 * i)}}, false)
			x.apply([]keyedlog.Record{{Key: key, Offset: int64(2*i + 1)}}, false)
		}
		s.beginQuotaPlan(nil)
		s.endQuotaPlan(0)
	}
	is.True(len(s.quotas.accounts) <= 1)
}
