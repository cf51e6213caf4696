package claim

// Verdict is a member's response to a request for a grant.
type Verdict uint8

// Verdicts on a grant request.
const (
	// Granted means that the member grants the key to this attempt and to no other.
	Granted Verdict = 1
	// Claimed means that another attempt holds the key; the response has its entry.
	Claimed Verdict = 2
	// WrongView means that the member does not grant in the requested view: it has read another view, has not
	// installed the claims of this one, or was sealed.
	WrongView Verdict = 3
	// NoAuthority means that the member's last confirmed heartbeat is too old, or that it is leaving.
	NoAuthority Verdict = 4
	// KeyTooOld means that the key is older than the retention or the floor, so earlier claims of it may have expired.
	KeyTooOld Verdict = 5
	// KeyTooFarAhead means that the key's time is too far ahead.
	KeyTooFarAhead Verdict = 6
	// TableFull means that the member has no memory for another claim.
	TableFull Verdict = 7
)

// GrantRequest requests a grant from one member.
type GrantRequest struct {
	View    int64   `cbor:"1,keyasint"`
	Key     Key     `cbor:"2,keyasint"`
	Attempt Attempt `cbor:"3,keyasint"`
	// Block requests a grant only to prevent the key from running. Such grants may use the reserved capacity and
	// are given for keys up to MaxBlockAhead in the future.
	Block bool `cbor:"4,keyasint,omitempty"`
}

// GrantResponse answers a GrantRequest.
type GrantResponse struct {
	Verdict Verdict `cbor:"1,keyasint"`
	// View is the view that the member has read.
	View int64 `cbor:"2,keyasint"`
	// Entry is set if Verdict is Claimed.
	Entry *Entry `cbor:"3,keyasint,omitempty"`
	// Sealed is true if the member was sealed in that view, so that a new view is needed.
	Sealed bool `cbor:"4,keyasint,omitempty"`
}

// WithdrawRequest withdraws an attempt that has sent nothing and never will.
type WithdrawRequest struct {
	Key     Key     `cbor:"1,keyasint"`
	Attempt Attempt `cbor:"2,keyasint"`
}

// FinishRequest reports how the attempt that won the key ended.
type FinishRequest struct {
	Entry Entry `cbor:"1,keyasint"`
}

// LookupRequest requests a member's entry for a key.
type LookupRequest struct {
	Key Key `cbor:"1,keyasint"`
}

// LookupResponse answers a LookupRequest. Entry is nil if the member has no granted or finished claim on the key.
type LookupResponse struct {
	Entry *Entry `cbor:"1,keyasint,omitempty"`
}

// SealRequest requests that a member permanently stop granting in a view and return a page of its claims.
type SealRequest struct {
	View int64 `cbor:"1,keyasint"`
	// From is 0 for the first page and Next of the previous response for the others.
	From int `cbor:"2,keyasint,omitempty"`
}

// SealResponse answers a SealRequest.
type SealResponse struct {
	// Sealed is false if the member has read a newer view or never had the claims of this one.
	Sealed bool `cbor:"1,keyasint"`
	// View is the view that the member has read.
	View    int64   `cbor:"2,keyasint"`
	Entries []Entry `cbor:"3,keyasint,omitempty"`
	// Next is where the next page begins, 0 if this is the last one.
	Next int `cbor:"4,keyasint,omitempty"`
	// FloorUnixMs is the time up to which the member refuses keys, because their claims may have expired.
	FloorUnixMs int64 `cbor:"5,keyasint,omitempty"`
}

// InstallRequest gives a member of a proposed view a page of the claims that it must hold.
type InstallRequest struct {
	View        int64   `cbor:"1,keyasint"`
	Entries     []Entry `cbor:"2,keyasint,omitempty"`
	FloorUnixMs int64   `cbor:"3,keyasint,omitempty"`
	// Last is true for the last page; the member is then ready for the view.
	Last bool `cbor:"4,keyasint,omitempty"`
}

// InstallResponse answers an InstallRequest.
type InstallResponse struct {
	// Installed is false if the member has no memory for the claims.
	Installed bool `cbor:"1,keyasint"`
}
