package claim

// State is the state of a claim.
type State uint8

// States of a claim at one member.
const (
	// StateGranted means that the attempt may run; whether it ran is unknown.
	StateGranted State = 1
	// StateWithdrawn means that the attempt did not run and never will. Other attempts may claim the key.
	StateWithdrawn State = 2
	// StateFinished means that the attempt won the key and ended with Outcome.
	StateFinished State = 3
)

// Outcome is how the attempt that won a key ended.
type Outcome uint8

// Outcomes of a finished claim.
const (
	// OutcomeAnswered means that an endpoint answered.
	OutcomeAnswered Outcome = 1
	// OutcomeNotRun means that the winning attempt sent nothing; no attempt runs under the key.
	OutcomeNotRun Outcome = 2
	// OutcomeUnknown means that the request was sent and no complete answer was received.
	OutcomeUnknown Outcome = 3
)

// MaxAnswerBytes limits the stored answer of a finished claim.
const MaxAnswerBytes = 16 << 10

// Entry is a member's record of the claim on one key.
type Entry struct {
	Key Key `cbor:"1,keyasint"`
	// Attempt is the attempt that holds the key. It is zero if several attempts hold grants at different members,
	// so that none of them can withdraw the entry.
	Attempt Attempt `cbor:"2,keyasint"`
	State   State   `cbor:"3,keyasint"`
	Outcome Outcome `cbor:"4,keyasint,omitempty"`
	// Status is the HTTP status of the answer, if there was one.
	Status int `cbor:"5,keyasint,omitempty"`
	// Answer is the encoded answer; empty if it was too large to keep.
	Answer []byte `cbor:"6,keyasint,omitempty"`
}

// entryOverheadBytes is the estimated memory of an entry without its answer: map slot, expiry list and the entry.
const entryOverheadBytes = 160

func (e *Entry) bytes() int64 { return entryOverheadBytes + int64(len(e.Answer)) }

// merge combines two members' entries for a key. The result blocks every attempt that either of them blocks.
func merge(a, b Entry) Entry {
	if b.State == StateFinished && a.State != StateFinished {
		a, b = b, a
	}
	switch {
	case a.State == StateFinished:
		if b.State == StateFinished && len(a.Answer) == 0 {
			a.Answer = b.Answer
		}
		return a
	case a.State == StateWithdrawn && b.State == StateGranted:
		return b
	case a.State == StateGranted && b.State == StateGranted && a.Attempt != b.Attempt:
		a.Attempt = Attempt{}
	}
	return a
}
