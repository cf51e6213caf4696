package logstore

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"waxwingslip.example/external/internal/httpapi"
)

// NewHandler serves a store over HTTP with CBOR bodies:
//
//	POST /v1/streams/{name}/entries                     {1: payloads}     -> {1: first offset}
//	GET  /v1/streams/{name}/entries?from=&max=&waitMs=                    -> {1: first, 2: end, 3: start, 4: payloads}
//
// A rejected call gets status 422 and an expired offset 410, each with a JSON body that contains the error code.
func NewHandler(store Store) http.Handler {
	h := handler{store: store}
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc("/v1/streams/{name}/entries", h.append).Methods(http.MethodPost)
	r.HandleFunc("/v1/streams/{name}/entries", h.read).Methods(http.MethodGet)
	return r
}

type handler struct{ store Store }

func (h handler) append(w http.ResponseWriter, r *http.Request) {
	name, err := url.PathUnescape(mux.Vars(r)["name"])
	if err != nil {
		httpapi.WriteError(w, errors.Wrap(ErrRejected, err.Error()), errorTable, nil)
		return
	}
	body, err := httpapi.ReadBody(w, r, maxBatchRequestBytes)
	if err != nil {
		return
	}
	var batch wireBatch
	if err := cbor.Unmarshal(body, &batch); err != nil {
		httpapi.WriteError(w, errors.Wrap(ErrRejected, err.Error()), errorTable, nil)
		return
	}
	first, err := h.store.Append(r.Context(), name, batch.Payloads)
	if err != nil {
		httpapi.WriteError(w, err, errorTable, nil)
		return
	}
	h.write(w, wireAppendResult{First: first})
}

func (h handler) read(w http.ResponseWriter, r *http.Request) {
	name, err := url.PathUnescape(mux.Vars(r)["name"])
	query := r.URL.Query()
	from, fromErr := strconv.ParseInt(query.Get("from"), 10, 64)
	maxEntries, maxErr := strconv.Atoi(query.Get("max"))
	waitMs, waitErr := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	for _, e := range []error{err, fromErr, maxErr, waitErr} {
		if e != nil {
			httpapi.WriteError(w, errors.Wrap(ErrRejected, e.Error()), errorTable, nil)
			return
		}
	}
	wait := min(time.Duration(max(waitMs, 0))*time.Millisecond, maxWait)
	page, err := h.store.Read(r.Context(), name, from, min(maxEntries, maxPageEntries), wait)
	if err == nil {
		h.write(w, newWirePage(page))
		return
	}
	extra, _ := cbor.Marshal(newWirePage(page))
	httpapi.WriteError(w, err, errorTable, extra)
}

func (h handler) write(w http.ResponseWriter, v any) {
	body, err := cbor.Marshal(v)
	if err != nil {
		httpapi.WriteError(w, err, errorTable, nil)
		return
	}
	httpapi.Write(w, contentType, body)
}
