package logstore

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"waxwingslip.example/external/internal/httpapi"
)

const (
	contentType = "application/cbor"
	// maxWait limits a long poll, so that a broken connection is detected.
	maxWait = time.Minute
	// The encoding of a batch or page adds at most 16 bytes to each entry.
	maxBatchRequestBytes   = MaxBatchBytes + MaxBatchEntries*16 + 1024
	maxPageResponseBytes   = MaxPageBytes + MaxPayloadBytes + maxPageEntries*16 + 1024
	maxPageEntries         = 1 << 16
	maxAppendResponseBytes = 1024
)

var errorTable = httpapi.ErrorTable{
	{Err: ErrRejected, Code: "rejected", Status: http.StatusUnprocessableEntity},
	{Err: ErrExpired, Code: "expired", Status: http.StatusGone},
}

type wireBatch struct {
	Payloads [][]byte `cbor:"1,keyasint"`
}

type wireAppendResult struct {
	First int64 `cbor:"1,keyasint"`
}

// wirePage is the encoding of a Page. The entries are consecutive, so only the offset of the first one is sent.
type wirePage struct {
	First    int64    `cbor:"1,keyasint"`
	End      int64    `cbor:"2,keyasint"`
	Start    int64    `cbor:"3,keyasint,omitempty"`
	Payloads [][]byte `cbor:"4,keyasint,omitempty"`
}

func newWirePage(p Page) wirePage {
	w := wirePage{First: p.First, End: p.End}
	for _, e := range p.Entries {
		w.Payloads = append(w.Payloads, e.Payload)
	}
	if len(p.Entries) > 0 {
		w.Start = p.Entries[0].Offset
	}
	return w
}

// validPage returns the page after checking that the entries start at the requested offset and end before End.
func (w wirePage) validPage(from int64) (Page, error) {
	p := Page{First: w.First, End: w.End}
	n := int64(len(w.Payloads))
	if w.First < 1 || w.End < w.First || (n > 0 && (w.Start != from || w.Start+n > w.End)) {
		return Page{}, errors.Errorf("invalid page: first %d, end %d, %d entries from %d, requested from %d",
			w.First, w.End, n, w.Start, from)
	}
	for i, payload := range w.Payloads {
		p.Entries = append(p.Entries, Entry{Offset: w.Start + int64(i), Payload: payload})
	}
	return p, nil
}
