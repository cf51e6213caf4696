package record

import "waxwingslip.example/core/resource"

// Kinds of the zone streams.
const (
	KindJoin           Kind = 32
	KindHeartbeat      Kind = 33
	KindLeave          Kind = 34
	KindExpire         Kind = 35
	KindClaim          Kind = 36
	KindReleaseShard   Kind = 37
	KindRegisterWorker Kind = 38
	KindSetWorker      Kind = 39
	KindRemoveWorker   Kind = 40
	KindPolicy         Kind = 41
	KindAdmit          Kind = 42
	KindAdopt          Kind = 43
	KindBind           Kind = 44
	KindEnd            Kind = 45
	KindEvict          Kind = 46
	KindLost           Kind = 47
	KindCancel         Kind = 48
	KindRelease        Kind = 49
	KindRemoveJob      Kind = 50
	KindClaimView      Kind = 51
	KindZoneSnapshot   Kind = 52
	KindStarted        Kind = 53
	KindStop           Kind = 54
)

// Join makes a daemon a member of its zone. Every process start uses a new member id.
type Join struct {
	Member string `cbor:"1,keyasint"`
	// PeerAddress is the IP address and UDP port of the daemon's peer listener.
	PeerAddress string `cbor:"2,keyasint"`
}

// Heartbeat renews a membership.
type Heartbeat struct {
	Member string `cbor:"1,keyasint"`
}

// Leave ends a membership at a graceful shutdown.
type Leave struct {
	Member string `cbor:"1,keyasint"`
}

// Expire ends the membership of a daemon that stopped sending heartbeats. It is rejected if a heartbeat newer than
// the one at offset LastHeartbeat precedes it in the log.
type Expire struct {
	Member        string `cbor:"1,keyasint"`
	LastHeartbeat int64  `cbor:"2,keyasint"`
}

// Claim takes ownership of a shard that has no owner. Epoch must be the current epoch plus one.
type Claim struct {
	Shard  int    `cbor:"1,keyasint"`
	Epoch  int64  `cbor:"2,keyasint"`
	Member string `cbor:"3,keyasint"`
}

// ReleaseShard gives up ownership of a shard.
type ReleaseShard struct {
	Shard  int    `cbor:"1,keyasint"`
	Epoch  int64  `cbor:"2,keyasint"`
	Member string `cbor:"3,keyasint"`
}

// Owner authorizes a record about a worker, which is accepted only while Member owns the worker's shard under
// Epoch.
type Owner struct {
	_      struct{} `cbor:",toarray"`
	Member string
	Epoch  int64
}

// WorkerInfo holds the registered properties of a worker that placement uses.
type WorkerInfo struct {
	ID string `cbor:"1,keyasint" json:"id"`
	// Address is the IP address and TCP port of the worker's command interface.
	Address  string          `cbor:"2,keyasint" json:"address"`
	Rack     string          `cbor:"3,keyasint" json:"rack"`
	Capacity resource.Vector `cbor:"4,keyasint" json:"capacity"`
}

// RegisterWorker adds a worker or changes its capacity.
type RegisterWorker struct {
	Owner  Owner      `cbor:"1,keyasint"`
	Worker WorkerInfo `cbor:"2,keyasint"`
}

// WorkerState determines whether tasks may be placed on a worker.
type WorkerState uint8

// Worker states.
const (
	WorkerUsable      WorkerState = 0
	WorkerQuarantined WorkerState = 1
	WorkerLeaving     WorkerState = 2
	WorkerUnreachable WorkerState = 3
)

// String returns the state's name.
func (s WorkerState) String() string {
	switch s {
	case WorkerUsable:
		return "usable"
	case WorkerQuarantined:
		return "quarantined"
	case WorkerLeaving:
		return "leaving"
	case WorkerUnreachable:
		return "unreachable"
	}
	return "invalid"
}

// SetWorker changes the state of a worker.
type SetWorker struct {
	Owner  Owner       `cbor:"1,keyasint"`
	Worker string      `cbor:"2,keyasint"`
	State  WorkerState `cbor:"3,keyasint,omitempty"`
	Reason string      `cbor:"4,keyasint,omitempty"`
}

// RemoveWorker removes a worker that has no reservations.
type RemoveWorker struct {
	Owner  Owner  `cbor:"1,keyasint"`
	Worker string `cbor:"2,keyasint"`
}

// Exclusion forbids tasks of two classes on one worker. Equal classes forbid a second task of the class.
type Exclusion struct {
	_ struct{} `cbor:",toarray"`
	A string
	B string
}

// Policy is the part of the configuration that determines whether a Bind is accepted.
type Policy struct {
	// Version is the configuration version; the record is rejected unless it is newer.
	Version    int64       `cbor:"1,keyasint"`
	InService  bool        `cbor:"2,keyasint,omitempty"`
	Exclusions []Exclusion `cbor:"3,keyasint,omitempty"`
}

// Admit makes the tasks of a job pending in the zone. A higher revision of a service replaces the spec.
type Admit struct {
	Job JobSpec `cbor:"1,keyasint"`
}

// Adopt makes a task that another zone released pending in this zone.
type Adopt struct {
	Job   JobSpec `cbor:"1,keyasint"`
	Index int     `cbor:"2,keyasint"`
	// Epoch is the epoch under which the source zone released the task; the task continues with Epoch+1.
	Epoch      int64  `cbor:"3,keyasint"`
	Checkpoint string `cbor:"4,keyasint,omitempty"`
}

// Bind reserves capacity for a pending task on a worker.
type Bind struct {
	Task   TaskID `cbor:"1,keyasint"`
	Epoch  int64  `cbor:"2,keyasint"`
	Worker string `cbor:"3,keyasint"`
}

// Run identifies one run of a task on a worker.
type Run struct {
	Task   TaskID `cbor:"1,keyasint"`
	Epoch  int64  `cbor:"2,keyasint"`
	Worker string `cbor:"3,keyasint"`
}

// Started reports the endpoint address of a service replica. Batch tasks have no such record.
type Started struct {
	Owner Owner `cbor:"4,keyasint"`
	Run   Run   `cbor:"5,keyasint"`
	// Address is the IP address and TCP port at which the endpoint serves HTTP.
	Address string `cbor:"6,keyasint"`
}

// End records that a run ended and frees its reservation.
type End struct {
	Owner   Owner   `cbor:"4,keyasint"`
	Run     Run     `cbor:"5,keyasint"`
	Outcome Outcome `cbor:"6,keyasint"`
	Reason  string  `cbor:"7,keyasint,omitempty"`
}

// Stop requests that the owner checkpoint and stop a bound run, so that its task is placed again. It is written
// to the log, rather than sent to the owner, so that it survives a change of owner.
type Stop struct {
	Run    Run    `cbor:"5,keyasint"`
	Reason string `cbor:"7,keyasint,omitempty"`
	// For is the pending task that needs the capacity, with its epoch; its job is empty if there is none. The
	// capacity is held for that task, since the planners of other tasks do not know about it.
	For      TaskID `cbor:"8,keyasint"`
	ForEpoch int64  `cbor:"9,keyasint,omitempty"`
}

// Evict records that a run was stopped before it ended; the task is pending again.
type Evict struct {
	Owner      Owner  `cbor:"4,keyasint"`
	Run        Run    `cbor:"5,keyasint"`
	Checkpoint string `cbor:"6,keyasint,omitempty"`
	Reason     string `cbor:"7,keyasint,omitempty"`
}

// LostBasis is the evidence that a run no longer executes.
type LostBasis uint8

// Bases of a Lost record.
const (
	// LostNotRunning means that the worker reported under the current owner epoch that it does not run the task.
	LostNotRunning LostBasis = 1
	// LostLeaseExpired means that every lease the owner granted has expired on the worker's clock.
	LostLeaseExpired LostBasis = 2
	// LostAuthorityExpired means that the previous owner's renewal authority and then one lease have expired.
	LostAuthorityExpired LostBasis = 3
	// LostAttested means that an operator attested the loss of the VM.
	LostAttested LostBasis = 4
)

// Lost records that a run provably no longer executes; the task is pending again.
type Lost struct {
	Owner Owner     `cbor:"4,keyasint"`
	Run   Run       `cbor:"5,keyasint"`
	Basis LostBasis `cbor:"6,keyasint"`
}

// Cancel cancels a job in the zone: pending tasks end immediately, running ones when their owner has stopped them.
type Cancel struct {
	Job string `cbor:"1,keyasint"`
}

// Release removes a pending task from the zone for its transfer to another one.
type Release struct {
	Task  TaskID `cbor:"1,keyasint"`
	Epoch int64  `cbor:"2,keyasint"`
	To    string `cbor:"3,keyasint"`
}

// RemoveJob removes a job whose tasks have all ended in the zone, after the control stream has recorded its end.
type RemoveJob struct {
	Job string `cbor:"1,keyasint"`
}

// ClaimView sets the members that grant request claims.
type ClaimView struct {
	// Number must be the current number plus one.
	Number  int64    `cbor:"1,keyasint"`
	Members []string `cbor:"2,keyasint"`
	// Fresh marks a view that could not copy the claims of the previous one.
	Fresh bool `cbor:"3,keyasint,omitempty"`
	// FloorUnixMs is, for a fresh view, the time before which keys are refused, since their claims may be unknown.
	FloorUnixMs int64 `cbor:"4,keyasint,omitempty"`
}

// Snapshot is one part of an encoded state.
type Snapshot struct {
	// Covers is the offset of the last entry whose effect is included.
	Covers int64  `cbor:"1,keyasint"`
	Part   int    `cbor:"2,keyasint"`
	Parts  int    `cbor:"3,keyasint"`
	Data   []byte `cbor:"4,keyasint"`
}

// ZoneSnapshot is one part of a zone's state.
type ZoneSnapshot struct{ Snapshot }

// Kind implements Body.
func (*Join) Kind() Kind { return KindJoin }

// Kind implements Body.
func (*Heartbeat) Kind() Kind { return KindHeartbeat }

// Kind implements Body.
func (*Leave) Kind() Kind { return KindLeave }

// Kind implements Body.
func (*Expire) Kind() Kind { return KindExpire }

// Kind implements Body.
func (*Claim) Kind() Kind { return KindClaim }

// Kind implements Body.
func (*ReleaseShard) Kind() Kind { return KindReleaseShard }

// Kind implements Body.
func (*RegisterWorker) Kind() Kind { return KindRegisterWorker }

// Kind implements Body.
func (*SetWorker) Kind() Kind { return KindSetWorker }

// Kind implements Body.
func (*RemoveWorker) Kind() Kind { return KindRemoveWorker }

// Kind implements Body.
func (*Policy) Kind() Kind { return KindPolicy }

// Kind implements Body.
func (*Admit) Kind() Kind { return KindAdmit }

// Kind implements Body.
func (*Adopt) Kind() Kind { return KindAdopt }

// Kind implements Body.
func (*Bind) Kind() Kind { return KindBind }

// Kind implements Body.
func (*Started) Kind() Kind { return KindStarted }

// Kind implements Body.
func (*Stop) Kind() Kind { return KindStop }

// Kind implements Body.
func (*End) Kind() Kind { return KindEnd }

// Kind implements Body.
func (*Evict) Kind() Kind { return KindEvict }

// Kind implements Body.
func (*Lost) Kind() Kind { return KindLost }

// Kind implements Body.
func (*Cancel) Kind() Kind { return KindCancel }

// Kind implements Body.
func (*Release) Kind() Kind { return KindRelease }

// Kind implements Body.
func (*RemoveJob) Kind() Kind { return KindRemoveJob }

// Kind implements Body.
func (*ClaimView) Kind() Kind { return KindClaimView }

// Kind implements Body.
func (*ZoneSnapshot) Kind() Kind { return KindZoneSnapshot }

func init() {
	register(&Join{}, &Heartbeat{}, &Leave{}, &Expire{}, &Claim{}, &ReleaseShard{}, &RegisterWorker{},
		&SetWorker{}, &RemoveWorker{}, &Policy{}, &Admit{}, &Adopt{}, &Bind{}, &End{}, &Evict{}, &Lost{},
		&Cancel{}, &Release{}, &RemoveJob{}, &ClaimView{}, &ZoneSnapshot{}, &Started{},
		&Stop{})
}
