// Package peers exchanges hellos between daemons, with their contacts, the load of their zones and the version of their
// configuration, and relays the control stream to daemons that cannot read the log.
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

// Contact is the zone and the address of a daemon.
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

// UnreservedCPUShare returns the share of the CPU capacity that is not reserved, 0 to 1.
func (l ZoneLoad) UnreservedCPUShare() float64 {
	if l.Capacity.MilliCPU <= 0 {
		return 0
	}
	return max(0, 1-float64(l.Reserved.MilliCPU)/float64(l.Capacity.MilliCPU))
}

// Hello is the state that daemons send to each other.
type Hello struct {
	Contact Contact `cbor:"1,keyasint"`
	Daemon  string  `cbor:"2,keyasint"`
	// ConfigVersion is the version that the daemon itself holds.
	ConfigVersion int64 `cbor:"3,keyasint"`
	// ControlNext is the offset of the next control record that the daemon will apply.
	ControlNext int64 `cbor:"4,keyasint"`
	// Draining is true if the daemon is draining and does not accept forwarded requests.
	Draining bool     `cbor:"5,keyasint,omitempty"`
	Load     ZoneLoad `cbor:"6,keyasint"`
	// Contacts lists up to maxHelloContacts daemons that are alive.
	Contacts []Contact `cbor:"7,keyasint,omitempty"`
	// Pressure is the stall share, in thousandths, of the workers that the sender owns. It is sent only within a
	// zone.
	Pressure map[string]int64 `cbor:"8,keyasint,omitempty"`
	// Member is the sender's member id. Learned is a part of its interference model, sent only within a zone.
	Member  string `cbor:"9,keyasint,omitempty"`
	Learned []byte `cbor:"10,keyasint,omitempty"`
}

// maxHelloContacts limits the contacts in a Hello, maxTailBytes the entries in one tailResponse.
const (
	maxHelloContacts = 8
	maxTailBytes     = 256 << 10
)

type tailRequest struct {
	From int64 `cbor:"1,keyasint"`
}

type tailEntry struct {
	_       struct{} `cbor:",toarray"`
	Offset  int64
	Payload []byte
}

type tailResponse struct {
	// Available is false if the peer no longer keeps the entries, so that the state has to be exported.
	Available bool        `cbor:"1,keyasint,omitempty"`
	Entries   []tailEntry `cbor:"2,keyasint,omitempty"`
	End       int64       `cbor:"3,keyasint"`
	// AgeMs is how long ago the peer was at the stream's end, negative for never.
	AgeMs int64 `cbor:"4,keyasint"`
}

func (r tailResponse) toRelayedEntries() stream.RelayedEntries {
	relayed := stream.RelayedEntries{End: r.End, Age: time.Duration(r.AgeMs) * time.Millisecond}
	for _, e := range r.Entries {
		relayed.Entries = append(relayed.Entries, logstore.Entry{Offset: e.Offset, Payload: e.Payload})
	}
	return relayed
}

func newTailResponse(relayed stream.RelayedEntries, available bool) tailResponse {
	// Rounding up never understates the age.
	resp := tailResponse{Available: available, End: relayed.End, AgeMs: relayed.Age.Milliseconds() + 1}
	if relayed.Age < 0 {
		resp.AgeMs = -1
	}
	for _, e := range relayed.Entries {
		resp.Entries = append(resp.Entries, tailEntry{Offset: e.Offset, Payload: e.Payload})
	}
	return resp
}

type exportHeader struct {
	Covers int64 `cbor:"1,keyasint"`
}
