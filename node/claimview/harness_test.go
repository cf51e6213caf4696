package claimview

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"waxwingslip.example/core/claim"
	"waxwingslip.example/core/record"
	"waxwingslip.example/core/zone"
	"waxwingslip.example/node/gateway/claims"
	"waxwingslip.example/node/stream"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testZone simulates the log of a zone and its daemons in one process. Calls between daemons are function calls.
type testZone struct {
	t     *testing.T
	start time.Time
	wait  sync.WaitGroup

	mu    sync.Mutex
	state *zone.State
	// logDown makes the log unavailable. unreachable contains daemons by name, which is also their address.
	logDown     bool
	unreachable map[string]bool
	daemons     map[string]*daemon
	events      []any
	memberships int
	// onProposal is called with each proposed view before it is appended; the record is lost if it returns false.
	onProposal func(*record.ClaimView) bool
}

// daemon is one process; its name is its address.
type daemon struct {
	*Manager
	zone         *testZone
	name, member string
	cancel       context.CancelFunc
}

func newTestZone(t *testing.T) *testZone {
	z := &testZone{t: t, start: time.Now(), state: zone.New("z"), unreachable: map[string]bool{},
		daemons: map[string]*daemon{}}
	z.state.OnChange(func(c zone.Change) { z.events = append(z.events, c) })
	return z
}

// run starts a daemon that joins the zone.
func (z *testZone) run(name string) *daemon {
	d := &daemon{zone: z, name: name}
	d.Manager = New(Config{Zone: d, Caller: z, ZoneCurrent: func() bool { return !z.isLogDown() },
		Now: func() time.Duration { return time.Since(z.start) }, Log: zerolog.Nop()})
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	z.mu.Lock()
	z.daemons[name], z.unreachable[name] = d, false
	z.mu.Unlock()
	d.join()
	z.wait.Go(func() { d.Run(ctx) })
	return d
}

// join starts a new membership.
func (d *daemon) join() {
	d.zone.mu.Lock()
	d.zone.memberships++
	d.member = fmt.Sprintf("%s/%d", d.name, d.zone.memberships)
	d.zone.mu.Unlock()
	d.zone.apply(&record.Join{Member: d.member, PeerAddress: d.name})
	d.SetMember(d.member)
	d.ConfirmHeartbeat(d.member, time.Since(d.zone.start))
}

// kill stops a daemon without a Leave record and expires its member.
func (z *testZone) kill(d *daemon) {
	z.disconnect(d)
	z.expire(d.member)
}

func (z *testZone) disconnect(d *daemon) {
	d.cancel()
	z.mu.Lock()
	z.unreachable[d.name] = true
	z.mu.Unlock()
}

func (z *testZone) expire(member string) {
	z.mu.Lock()
	last := z.state.Members[member].Heartbeat
	z.mu.Unlock()
	z.apply(&record.Expire{Member: member, LastHeartbeat: last})
}

func (z *testZone) close() {
	for _, d := range z.daemons {
		d.cancel()
	}
	z.wait.Wait()
}

func (z *testZone) isLogDown() bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.logDown
}

func (z *testZone) setLogDown(down bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.logDown = down
}

func (z *testZone) setOnProposal(onProposal func(*record.ClaimView) bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.onProposal = onProposal
}

func (z *testZone) allowProposal(v *record.ClaimView) bool {
	z.mu.Lock()
	onProposal := z.onProposal
	z.mu.Unlock()
	return onProposal == nil || onProposal(v)
}

// apply appends a record and notifies the reachable daemons.
func (z *testZone) apply(body record.Body) zone.Verdict {
	z.mu.Lock()
	z.events = nil
	v := z.state.Apply(z.state.Offset+1, record.New(uuid.New(), body))
	batch := stream.Batch{Applied: []stream.Applied{{Verdict: stream.Verdict{Events: z.events}}}}
	var notified []*daemon
	for name, d := range z.daemons {
		if !z.unreachable[name] {
			notified = append(notified, d)
		}
	}
	z.mu.Unlock()
	for _, d := range notified {
		d.ApplyZoneBatch(batch)
	}
	return v
}

func (z *testZone) view() record.ClaimView {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.state.View
}

// View implements Replica.
func (d *daemon) View(f func(*zone.State)) {
	d.zone.mu.Lock()
	defer d.zone.mu.Unlock()
	f(d.zone.state)
}

// Submit implements Replica.
func (d *daemon) Submit(ctx context.Context, body record.Body) (stream.Result, error) {
	if v, ok := body.(*record.ClaimView); ok && !d.zone.allowProposal(v) {
		return stream.Result{}, errors.New("record was lost")
	}
	if d.zone.isLogDown() {
		<-ctx.Done()
		return stream.Result{}, ctx.Err()
	}
	v := d.zone.apply(body)
	return stream.Result{Accepted: v.Accepted, Reason: v.Reason}, nil
}

// Call implements Caller.
func (z *testZone) Call(_ context.Context, address, method string, req, resp any) error {
	z.mu.Lock()
	d, unreachable := z.daemons[address], z.unreachable[address]
	z.mu.Unlock()
	if d == nil || unreachable {
		return errors.Errorf("%s at %s: unreachable", method, address)
	}
	switch q := req.(type) {
	case memberRequest[claim.GrantRequest]:
		return callVoter(d, q, resp, (*claims.Voter).Grant)
	case memberRequest[claim.LookupRequest]:
		return callVoter(d, q, resp, (*claims.Voter).Lookup)
	case memberRequest[claim.SealRequest]:
		return callVoter(d, q, resp, (*claims.Voter).Seal)
	case memberRequest[claim.InstallRequest]:
		return callVoter(d, q, resp, (*claims.Voter).Install)
	case memberRequest[claim.WithdrawRequest]:
		return callVoter(d, q, resp, func(v *claims.Voter, r claim.WithdrawRequest) (empty emptyResponse) {
			v.Withdraw(r)
			return empty
		})
	case memberRequest[claim.FinishRequest]:
		return callVoter(d, q, resp, func(v *claims.Voter, r claim.FinishRequest) (empty emptyResponse) {
			v.Finish(r)
			return empty
		})
	}
	return errors.Errorf("unknown request %T", req)
}

func callVoter[Req, Resp any](d *daemon, m memberRequest[Req], resp any, f func(*claims.Voter, Req) Resp) error {
	v := d.voters.ForMember(m.Member)
	if v == nil {
		return errors.Errorf("member %s is not here", m.Member)
	}
	*resp.(*Resp) = f(v, m.Request)
	return nil
}

// newKey returns a key with the time of the bubble's clock. uuid.NewV7 cannot be used: it never goes back in time, but
// each bubble starts at the same time.
func newKey() claim.Key {
	id, ms := uuid.New(), time.Now().UnixMilli()
	for i := range 6 {
		id[5-i] = byte(ms >> (8 * i))
	}
	id[6] = 0x70 | id[6]&0x0f
	return claim.Key(id)
}

func (d *daemon) claim(key claim.Key) claims.Result {
	result := d.Coordinator().Claim(context.Background(), key)
	d.Coordinator().Wait()
	return result
}
