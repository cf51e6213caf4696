// Package claims runs the at-most-once claim protocol of core/claim between the daemons of a zone.
package claims

import (
	"context"
	"sync"
	"time"

	"waxwingslip.example/core/claim"
)

// Peers sends requests to the voters of other daemons of the zone. After an error the request may still have taken
// effect.
type Peers interface {
	Grant(ctx context.Context, member string, r claim.GrantRequest) (claim.GrantResponse, error)
	Withdraw(ctx context.Context, member string, r claim.WithdrawRequest) error
	Finish(ctx context.Context, member string, r claim.FinishRequest) error
	Lookup(ctx context.Context, member string, r claim.LookupRequest) (claim.LookupResponse, error)
	Seal(ctx context.Context, member string, r claim.SealRequest) (claim.SealResponse, error)
	Install(ctx context.Context, member string, r claim.InstallRequest) (claim.InstallResponse, error)
}

// Clock reads the monotonic clock and the wall clock of the process.
type Clock func() claim.ClockReading

// SystemClock returns a Clock whose monotonic time counts from now.
func SystemClock() Clock {
	start := time.Now()
	return func() claim.ClockReading {
		return claim.ClockReading{Monotonic: time.Since(start), UnixMs: time.Now().UnixMilli()}
	}
}

// Voter holds the claim table of one member and serves the requests of its peers. It is safe for concurrent use.
type Voter struct {
	member string
	clock  Clock
	mu     sync.Mutex
	table  *claim.Table // guarded by mu
}

// NewVoter returns the voter of a member. Each start of the process needs a new member id.
func NewVoter(member string, limits claim.Limits, clock Clock) *Voter {
	return &Voter{member: member, clock: clock, table: claim.NewTable(member, limits)}
}

// Member returns the voter's member id.
func (v *Voter) Member() string { return v.member }

// ApplyView applies a view that was read from the zone's log.
func (v *Voter) ApplyView(view claim.View) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.table.ApplyView(view)
}

// View returns the newest view that was read.
func (v *Voter) View() claim.View {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.View()
}

// Sealed reports whether this member grants nothing until it reads the next view.
func (v *Voter) Sealed() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.Sealed()
}

// ConfirmHeartbeat records that a heartbeat of this member was read back from the log. sent is the clock's monotonic
// time before it was appended.
func (v *Voter) ConfirmHeartbeat(sent time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.table.ConfirmHeartbeat(sent)
}

// Stop permanently ends granting. It must be called before the member's Leave record is appended.
func (v *Voter) Stop() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.table.Stop()
}

// Size returns the number of claims and their estimated memory in bytes.
func (v *Voter) Size() (count int, bytes int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.Len(), v.table.Bytes()
}

// Grant processes the request of an attempt for a grant.
func (v *Voter) Grant(r claim.GrantRequest) claim.GrantResponse {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.Grant(v.clock(), r)
}

// Withdraw removes the grant of an attempt.
func (v *Voter) Withdraw(r claim.WithdrawRequest) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.table.Withdraw(v.clock(), r)
}

// Finish records the outcome of the attempt that won a key.
func (v *Voter) Finish(r claim.FinishRequest) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.table.Finish(v.clock(), r)
}

// Lookup returns the entry of a key, if there is one.
func (v *Voter) Lookup(r claim.LookupRequest) claim.LookupResponse {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.Lookup(r)
}

// Seal stops granting in a view and returns a page of its claims.
func (v *Voter) Seal(r claim.SealRequest) claim.SealResponse {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.Seal(v.clock(), r)
}

// Install adds claims for a proposed view.
func (v *Voter) Install(r claim.InstallRequest) claim.InstallResponse {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.Install(v.clock(), r)
}
