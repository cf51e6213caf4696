package httpapi

import (
	"compress/gzip"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
)

// ReadBody reads the body of a request. If it fails, it has already written an error response.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	body, err := readLimited(r.Body, limit)
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	}
	return body, err
}

// WriteJSON responds with v in JSON.
func WriteJSON(w http.ResponseWriter, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	Write(w, "application/json", body)
}

// Write responds with a body of the given type.
func Write(w http.ResponseWriter, contentType string, body []byte) {
	w.Header().Set("Content-Type", contentType)
	_, _ = w.Write(body)
}

// minCompressedBytes is the size from which a body is compressed; a shorter one saves less than a packet.
const minCompressedBytes = 256

var gzipWriters = sync.Pool{New: func() any {
	z, _ := gzip.NewWriterLevel(nil, gzip.BestSpeed) // fails for an invalid level only
	return z
}}

// WriteCompressed is like Write and compresses the body if the client accepts that and the body is long enough.
func WriteCompressed(w http.ResponseWriter, r *http.Request, contentType string, body []byte) {
	if len(body) < minCompressedBytes || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		Write(w, contentType, body)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	w.Header().Set("Content-Type", contentType)
	z := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(z)
	z.Reset(w)
	_, _ = z.Write(body)
	_ = z.Close()
}
