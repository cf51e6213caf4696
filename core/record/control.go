package record

// Kinds of the control stream.
const (
	KindConfigure       Kind = 1
	KindSubmit          Kind = 2
	KindCancelJob       Kind = 3
	KindFinish          Kind = 4
	KindTransfer        Kind = 5
	KindAttestLost      Kind = 6
	KindControlSnapshot Kind = 7
)

// Configure publishes a version of the environment document. The version is the record's offset.
type Configure struct {
	// Base is the version that the author edited; the record is rejected unless it is current.
	Base int64 `cbor:"1,keyasint"`
	// Document is the YAML text.
	Document []byte `cbor:"2,keyasint"`
	// Author names the operator.
	Author string `cbor:"3,keyasint,omitempty"`
}

// Submit submits a batch job. The first valid record for a job id takes effect.
type Submit struct {
	Job JobSpec `cbor:"1,keyasint"`
	// Zone is the zone that admits the job first.
	Zone string `cbor:"2,keyasint"`
}

// CancelJob cancels a job at the request of its team or an operator.
type CancelJob struct {
	Job string `cbor:"1,keyasint"`
}

// Finish reports the ended tasks of a job in one zone. The team's quota is freed when all tasks of the job have ended.
type Finish struct {
	Job       string `cbor:"1,keyasint"`
	Succeeded int    `cbor:"2,keyasint,omitempty"`
	Failed    int    `cbor:"3,keyasint,omitempty"`
	Cancelled int    `cbor:"4,keyasint,omitempty"`
	// Zone is where the counted tasks ended; a job with transferred tasks finishes in parts.
	Zone string `cbor:"5,keyasint"`
	// Reason is why the job was parked or failed, empty if it was not.
	Reason string `cbor:"6,keyasint,omitempty"`
}

// Transfer moves a released task to another zone.
type Transfer struct {
	Task TaskID `cbor:"1,keyasint"`
	// Epoch is the epoch under which the source zone released the task.
	Epoch      int64  `cbor:"2,keyasint"`
	From       string `cbor:"3,keyasint"`
	To         string `cbor:"4,keyasint"`
	Checkpoint string `cbor:"5,keyasint,omitempty"`
}

// AttestLost records an operator's statement that a VM is gone and runs nothing.
type AttestLost struct {
	Zone   string `cbor:"1,keyasint"`
	Worker string `cbor:"2,keyasint"`
	Author string `cbor:"3,keyasint,omitempty"`
}

// ControlSnapshot is one part of the control state, written before the log's retention removes its records.
type ControlSnapshot struct{ Snapshot }

// Kind implements Body.
func (*Configure) Kind() Kind { return KindConfigure }

// Kind implements Body.
func (*Submit) Kind() Kind { return KindSubmit }

// Kind implements Body.
func (*CancelJob) Kind() Kind { return KindCancelJob }

// Kind implements Body.
func (*Finish) Kind() Kind { return KindFinish }

// Kind implements Body.
func (*Transfer) Kind() Kind { return KindTransfer }

// Kind implements Body.
func (*AttestLost) Kind() Kind { return KindAttestLost }

// Kind implements Body.
func (*ControlSnapshot) Kind() Kind { return KindControlSnapshot }

func init() {
	register(&Configure{}, &Submit{}, &CancelJob{}, &Finish{}, &Transfer{}, &AttestLost{}, &ControlSnapshot{})
}
