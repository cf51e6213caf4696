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

// world is the log of one zone and its daemons in one process. Calls between daemons are function calls.
type world struct {
	t     *testing.T
	start time.Time
	wait  sync.WaitGroup

	mu    sync.Mutex
	state *zone.State
	// down makes the log unreachable, cut makes daemons unreachable; both are by daemon or address.
	down    bool
	cut     map[string]bool
	daemons map[string]*daemon
	events  []any
	joined  int
	// onView sees proposed views before they are appended; the record is lost if it returns false.
	onView func(*record.ClaimView) bool
}

// daemon is one process; its name is its address.
type daemon struct {
	*Keeper
	w            *world
	name, member string
	stop         context.CancelFunc
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, start: time.Now(), state: zone.New("z"), cut: map[string]bool{}, daemons: map[string]*daemon{}}
	w.state.OnChange(func(c zone.Change) { w.events = append(w.events, c) })
	return w
}

// run starts a process and lets it join.
func (w *world) run(name string) *daemon {
	d := &daemon{w: w, name: name}
	d.Keeper = New(Config{Zone: d, Caller: w, Current: func() bool { return !w.isDown() },
		Now: func() time.Duration { return time.Since(w.start) }, Log: zerolog.Nop()})
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	w.mu.Lock()
	w.daemons[name], w.cut[name] = d, false
	w.mu.Unlock()
	d.join()
	w.wait.Go(func() { d.Run(ctx) })
	return d
}

// join starts a new membership.
func (d *daemon) join() {
	d.w.mu.Lock()
	d.w.joined++
	d.member = fmt.Sprintf("%s/%d", d.name, d.w.joined)
	d.w.mu.Unlock()
	d.w.apply(&record.Join{Member: d.member, PeerAddress: d.name})
	d.SetMember(d.member)
	d.Confirm(d.member, time.Since(d.w.start))
}

// kill ends a process without a word; the log expires it.
func (w *world) kill(d *daemon) {
	w.sever(d)
	w.expire(d.member)
}

func (w *world) sever(d *daemon) {
	d.stop()
	w.mu.Lock()
	w.cut[d.name] = true
	w.mu.Unlock()
}

func (w *world) expire(member string) {
	w.mu.Lock()
	last := w.state.Members[member].Heartbeat
	w.mu.Unlock()
	w.apply(&record.Expire{Member: member, LastHeartbeat: last})
}

func (w *world) close() {
	for _, d := range w.daemons {
		d.stop()
	}
	w.wait.Wait()
}

func (w *world) isDown() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.down
}

func (w *world) setDown(down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = down
}

// intercept sets onView.
func (w *world) intercept(onView func(*record.ClaimView) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onView = onView
}

func (w *world) proposed(v *record.ClaimView) bool {
	w.mu.Lock()
	onView := w.onView
	w.mu.Unlock()
	return onView == nil || onView(v)
}

// apply appends a record and tells the daemons that are not cut off.
func (w *world) apply(body record.Body) zone.Verdict {
	w.mu.Lock()
	w.events = nil
	v := w.state.Apply(w.state.Offset+1, record.New(uuid.New(), body))
	batch := stream.Batch{Applied: []stream.Applied{{Verdict: stream.Verdict{Events: w.events}}}}
	var told []*daemon
	for name, d := range w.daemons {
		if !w.cut[name] {
			told = append(told, d)
		}
	}
	w.mu.Unlock()
	for _, d := range told {
		d.ApplyZone(batch)
	}
	return v
}

func (w *world) view() record.ClaimView {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state.View
}

// View implements Replica.
func (d *daemon) View(f func(*zone.State)) {
	d.w.mu.Lock()
	defer d.w.mu.Unlock()
	f(d.w.state)
}

// Submit implements Replica.
func (d *daemon) Submit(ctx context.Context, body record.Body) (stream.Result, error) {
	if v, ok := body.(*record.ClaimView); ok && !d.w.proposed(v) {
		return stream.Result{}, errors.New("record was lost")
	}
	if d.w.isDown() {
		<-ctx.Done()
		return stream.Result{}, ctx.Err()
	}
	v := d.w.apply(body)
	return stream.Result{Accepted: v.Accepted, Reason: v.Reason}, nil
}

// Call implements Caller.
func (w *world) Call(_ context.Context, address, method string, req, resp any) error {
	w.mu.Lock()
	d, cut := w.daemons[address], w.cut[address]
	w.mu.Unlock()
	if d == nil || cut {
		return errors.Errorf("%s at %s: cut off", method, address)
	}
	switch q := req.(type) {
	case message[claim.GrantRequest]:
		return answer(d, q, resp, (*claims.Voter).Grant)
	case message[claim.LookupRequest]:
		return answer(d, q, resp, (*claims.Voter).Lookup)
	case message[claim.SealRequest]:
		return answer(d, q, resp, (*claims.Voter).Seal)
	case message[claim.InstallRequest]:
		return answer(d, q, resp, (*claims.Voter).Install)
	case message[claim.WithdrawRequest]:
		return answer(d, q, resp, func(v *claims.Voter, r claim.WithdrawRequest) (a done) { v.Withdraw(r); return a })
	case message[claim.FinishRequest]:
		return answer(d, q, resp, func(v *claims.Voter, r claim.FinishRequest) (a done) { v.Finish(r); return a })
	}
	return errors.Errorf("unknown request %T", req)
}

func answer[Q, A any](d *daemon, m message[Q], resp any, f func(*claims.Voter, Q) A) error {
	v := d.voters.ForMember(m.Member)
	if v == nil {
		return errors.Errorf("member %s is not here", m.Member)
	}
	*resp.(*A) = f(v, m.Request)
	return nil
}

// newKey makes a key from the bubble's clock: uuid.NewV7 never goes back, but each bubble starts at the same time.
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
