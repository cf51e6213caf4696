// Package peers keeps a daemon in touch with the others: who they are, how loaded their zones are, which
// configuration they hold, and the control stream on behalf of those that cannot read the log.
package peers

import (
	"time"

	"waxwingslip.example/core/resource"
	"waxwingslip.example/external/logstore"
	"waxwingslip.example/node/stream"
)

// Methods of the calls between daemons that this package handles.
const (
	methodHello  = "hello"
	methodTail   = "control-tail"
	methodExport = "control-export"
)

// Contact is where a daemon can be reached.
type Contact struct {
	_       struct{} `cbor:",toarray"`
	Zone    string
	Address string
}

// ZoneLoad summarises a zone.
type ZoneLoad struct {
	ConfigVersion int64           `cbor:"1,keyasint"`
	Members       int             `cbor:"2,keyasint"`
	Workers       int             `cbor:"3,keyasint"`
	Usable        int             `cbor:"4,keyasint"`
	ServiceTasks  int             `cbor:"5,keyasint"`
	BatchTasks    int             `cbor:"6,keyasint"`
	PendingTasks  int             `cbor:"7,keyasint"`
	Capacity      resource.Vector `cbor:"8,keyasint"`
	Reserved      resource.Vector `cbor:"9,keyasint"`
}

// Room returns the share of the processors that is not reserved, 0 to 1.
func (l ZoneLoad) Room() float64 {
	if l.Capacity.MilliCPU <= 0 {
		return 0
	}
	return max(0, 1-float64(l.Reserved.MilliCPU)/float64(l.Capacity.MilliCPU))
}

// Hello is what daemons tell each other.
type Hello struct {
	Contact Contact `cbor:"1,keyasint"`
	Daemon  string  `cbor:"2,keyasint"`
	// ConfigVersion is the version that the daemon itself holds.
	ConfigVersion int64 `cbor:"3,keyasint"`
	// ControlNext is the offset of the next control record that the daemon will apply.
	ControlNext int64 `cbor:"4,keyasint"`
	// Draining daemons take no forwarded requests.
	Draining bool     `cbor:"5,keyasint,omitempty"`
	Load     ZoneLoad `cbor:"6,keyasint"`
	// Known lists some daemons that the sender heard recently.
	Known []Contact `cbor:"7,keyasint,omitempty"`
	// Pressure gives, for workers that the sender owns, the stall share in thousandths. It is sent within a
	// zone only.
	Pressure map[string]int64 `cbor:"8,keyasint,omitempty"`
	// Member is the sender's member id, and Learned a part of what it learned about interference.
	Member  string `cbor:"9,keyasint,omitempty"`
	Learned []byte `cbor:"10,keyasint,omitempty"`
}

// maxKnown limits the contacts in a Hello and maxTailBytes the entries of one relayed tail.
const (
	maxKnown     = 8
	maxTailBytes = 256 << 10
)

type tailRequest struct {
	From int64 `cbor:"1,keyasint"`
}

type tailEntry struct {
	_       struct{} `cbor:",toarray"`
	Offset  int64
	Payload []byte
}

type tailAnswer struct {
	// Kept is false if the entries are no longer kept, so that the state has to be exported.
	Kept    bool        `cbor:"1,keyasint,omitempty"`
	Entries []tailEntry `cbor:"2,keyasint,omitempty"`
	End     int64       `cbor:"3,keyasint"`
	// AgeMs is how long ago the peer was at the stream's end, negative for never.
	AgeMs int64 `cbor:"4,keyasint"`
}

func (a tailAnswer) relay() stream.Relay {
	r := stream.Relay{End: a.End, Age: time.Duration(a.AgeMs) * time.Millisecond}
	for _, e := range a.Entries {
		r.Entries = append(r.Entries, logstore.Entry{Offset: e.Offset, Payload: e.Payload})
	}
	return r
}

func answerOf(r stream.Relay, kept bool) tailAnswer {
	// Rounding up keeps the age conservative.
	a := tailAnswer{Kept: kept, End: r.End, AgeMs: r.Age.Milliseconds() + 1}
	if r.Age < 0 {
		a.AgeMs = -1
	}
	for _, e := range r.Entries {
		a.Entries = append(a.Entries, tailEntry{Offset: e.Offset, Payload: e.Payload})
	}
	return a
}

type exportHeader struct {
	Covers int64 `cbor:"1,keyasint"`
}
