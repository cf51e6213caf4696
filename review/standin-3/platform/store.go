package main

import (
	"bytes"
	"encoding/binary"
	"io"
	"net/http"
	"sync/atomic"

	storefake "waxwingslip.example/external/keyedlog/fake"
	"waxwingslip.example/platform/platformtest"
)

// Limits of the platform's store, as the settings of the sites give them.
const (
	recordBytes = 262_144
	callBytes   = 2_097_152
)

// storeServer is the project's fake of the store behind the limits of record and call sizes, which the fake lacks.
type storeServer struct {
	fake    *storefake.Store
	handler http.Handler
	rec     *recorder
	refused atomic.Int64 // appends refused for their size
}

func newStoreServer(rec *recorder) *storeServer {
	fake := storefake.New()
	return &storeServer{fake: fake, handler: platformtest.NewStore(fake.As("daemons")), rec: rec}
}

func (s *storeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/log-append" {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if key, size := oversized(body); size > 0 {
			if s.refused.Add(1) <= 3 {
				s.rec.printf("store refuses an append to %s: the record of %q has %d bytes, at most %d are allowed",
					r.URL.Query().Get("topic"), key, size, recordBytes)
			}
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
	}
	s.handler.ServeHTTP(w, r)
}

// oversized returns the key and size of the first record above the limit, or the size of a call above its limit.
func oversized(body []byte) (string, int) {
	total := 0
	for len(body) >= 5 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			return "", 0 // the fake refuses it
		}
		if n > recordBytes {
			return string(body[5:min(5+int(body[4]), 4+n)]), n
		}
		total += n
		body = body[4+n:]
	}
	if total > callBytes {
		return "", total
	}
	return "", 0
}
