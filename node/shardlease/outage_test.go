package shardlease_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"waxwingslip.example/external/keyedlog"
	storefake "waxwingslip.example/external/keyedlog/fake"
	"waxwingslip.example/node/shardlease"
)

// Guards against a next owner that counts an earlier owner's time to renew workers' leases from the end of an outage of the store,
// or from the loss of an owner between: tasks of lost workers then waited for almost 19 s.
func TestOutageDoesNotExtendEarlierRenewals(t *testing.T) {
	for _, outage := range []time.Duration{0, 500 * time.Millisecond, 4500 * time.Millisecond, 20 * time.Second} {
		t.Run(outage.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store, startedAt := storefake.New(), time.Now()
				now := func() time.Duration { return time.Since(startedAt) }
				first := startProcess(t, store, now, "first", 1)
				<-first.leads
				second := startProcess(t, store, now, "second", 2)
				time.Sleep(2 * time.Second)
				silentFrom := now()
				store.SetFault(func(string, string, keyedlog.Partition) storefake.Fault {
					return storefake.Fault{Hang: now() < silentFrom+outage}
				})
				time.Sleep(outage / 2)
				go first.stop()
				ownership := <-second.leads
				is.True(ownership.PreviousRenewalsUntil <= silentFrom+shardlease.WorkerLeaseGrace)
			})
		})
	}
}

// Guards against a next owner that takes leases as expired while the earlier owner still renews them: that one is cut off with
// renewals under way, and the next owner could not read the store for a while before.
func TestEarlierOwnerInOutageMayStillRenew(t *testing.T) {
	for name, fault := range map[string]storefake.Fault{
		"silent": {Hang: true}, "responses lost": {LoseResponse: true}, "late": {Late: 900 * time.Millisecond},
		"very late": {Late: 2500 * time.Millisecond}, "slow": {Delay: 700 * time.Millisecond},
	} {
		for _, outage := range []time.Duration{0, time.Second, 3 * time.Second, 5 * time.Second} {
			t.Run(name+" "+outage.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					store, startedAt := storefake.New(), time.Now()
					now := func() time.Duration { return time.Since(startedAt) }
					first := startProcess(t, store, now, "first", 1)
					cutOff := <-first.leads
					second := startProcess(t, store, now, "second", 2)
					time.Sleep(2 * time.Second)
					changedAt := now()
					store.SetFault(func(caller, method string, _ keyedlog.Partition) storefake.Fault {
						switch at := now() - changedAt; {
						case caller == "second":
							return storefake.Fault{Hang: at < outage}
						case method == "append" && at < 4*time.Second:
							return fault
						}
						return storefake.Fault{Hang: true}
					})
					ownership := <-second.leads
					for cutOff.MayRenew() {
						is.True(now() < ownership.PreviousRenewalsUntil)
						time.Sleep(10 * time.Millisecond)
					}
				})
			})
		}
	}
}
