package claim

// Verdict is a member's answer to a request for a grant.
type Verdict uint8

// Verdicts.
const (
	// Granted means that the member grants the key to this attempt and to no other.
	Granted Verdict = 1
	// Claimed means that another attempt holds the key; the answer has its entry.
	Claimed Verdict = 2
	// WrongView means that the member is not granting in the stated view: it has read another, is not yet
	// ready for it, or has been sealed.
	WrongView Verdict = 3
	// NoAuthority means that the member's last confirmed heartbeat is too old, or that it is leaving.
	NoAuthority Verdict = 4
	// Old means that the key is older than the retention or the floor, so that earlier claims may be forgotten.
	Old Verdict = 5
	// Future means that the key's time is too far ahead.
	Future Verdict = 6
	// Full means that the member has no memory for another claim.
	Full Verdict = 7
)

// GrantRequest asks one member for a grant.
type GrantRequest struct {
	View    int64   `cbor:"1,keyasint"`
	Key     Key     `cbor:"2,keyasint"`
	Attempt Attempt `cbor:"3,keyasint"`
	// Block asks for a grant only to keep the key from running. Such grants may use the reserved memory and
	// are given for keys whose time is ahead.
	Block bool `cbor:"4,keyasint,omitempty"`
}

// GrantAnswer answers a GrantRequest.
type GrantAnswer struct {
	Verdict Verdict `cbor:"1,keyasint"`
	// View is the view that the member has read.
	View int64 `cbor:"2,keyasint"`
	// Entry is set if Verdict is Claimed.
	Entry *Entry `cbor:"3,keyasint,omitempty"`
	// Sealed is true if the member was sealed in that view, so that a new view is needed.
	Sealed bool `cbor:"4,keyasint,omitempty"`
}

// WithdrawRequest gives up an attempt that has not sent and never will send anything.
type WithdrawRequest struct {
	Key     Key     `cbor:"1,keyasint"`
	Attempt Attempt `cbor:"2,keyasint"`
}

// FinishRequest states how the attempt that won the key has ended.
type FinishRequest struct {
	Entry Entry `cbor:"1,keyasint"`
}

// LookupRequest asks what a member knows about a key.
type LookupRequest struct {
	Key Key `cbor:"1,keyasint"`
}

// LookupAnswer answers a LookupRequest. Entry is nil if the member knows nothing.
type LookupAnswer struct {
	Entry *Entry `cbor:"1,keyasint,omitempty"`
}

// SealRequest asks a member to stop granting in a view, for ever, and to hand over a page of its claims.
type SealRequest struct {
	View int64 `cbor:"1,keyasint"`
	// From is 0 for the first page and Next of the previous answer for the others.
	From int `cbor:"2,keyasint,omitempty"`
}

// SealAnswer answers a SealRequest.
type SealAnswer struct {
	// Sealed is false if the member has read a newer view or never had the claims of this one.
	Sealed bool `cbor:"1,keyasint"`
	// View is the view that the member has read.
	View    int64   `cbor:"2,keyasint"`
	Entries []Entry `cbor:"3,keyasint,omitempty"`
	// Next is where the next page begins, 0 if this is the last one.
	Next int `cbor:"4,keyasint,omitempty"`
	// FloorUnixMs is the time up to which the member refuses keys, because it may have forgotten their claims.
	FloorUnixMs int64 `cbor:"5,keyasint,omitempty"`
}

// InstallRequest gives a member of a proposed view a page of the claims that it must know.
type InstallRequest struct {
	View        int64   `cbor:"1,keyasint"`
	Entries     []Entry `cbor:"2,keyasint,omitempty"`
	FloorUnixMs int64   `cbor:"3,keyasint,omitempty"`
	// Last is true for the last page; the member is then ready for the view.
	Last bool `cbor:"4,keyasint,omitempty"`
}

// InstallAnswer answers an InstallRequest.
type InstallAnswer struct {
	// Installed is false if the member has no memory for the claims.
	Installed bool `cbor:"1,keyasint"`
}
