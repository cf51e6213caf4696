package httpapi

import (
	"compress/gzip"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
)

// ReadBody reads the body of a request. An error has been answered.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	body, err := readLimited(r.Body, limit)
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	}
	return body, err
}

// WriteJSON answers a request with v.
func WriteJSON(w http.ResponseWriter, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	Write(w, "application/json", body)
}

// Write answers a request with a whole body.
func Write(w http.ResponseWriter, contentType string, body []byte) {
	w.Header().Set("Content-Type", contentType)
	_, _ = w.Write(body)
}

// compressFrom is the size in bytes from which an answer is compressed; a shorter one saves less than a packet.
const compressFrom = 256

var gzipWriters = sync.Pool{New: func() any {
	z, _ := gzip.NewWriterLevel(nil, gzip.BestSpeed) // fails for an invalid level only
	return z
}}

// WriteCompressed answers a request with a whole body, compressed if the client accepts that and the body is not short.
func WriteCompressed(w http.ResponseWriter, r *http.Request, contentType string, body []byte) {
	if len(body) < compressFrom || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
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
