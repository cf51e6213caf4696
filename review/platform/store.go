package main

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"

	"waxwingslip.example/external/keyedlog"
	storefake "waxwingslip.example/external/keyedlog/fake"
	"waxwingslip.example/platform/platformtest"
)

// Partitions of the platform's own topics.
var (
	opPartition       = keyedlog.Partition{Topic: "keyed.op"}
	registryPartition = keyedlog.Partition{Topic: "keyed.servers"}
	ownerPartition    = keyedlog.Partition{Topic: "keyed.owner"}
)

// storePath is one daemon's way to the platform's store. While it is closed, calls and answers on it are lost: nothing is
// executed, and the channel stays open without an answer, also after the path is open again.
type storePath struct {
	address string
	closed  atomic.Bool
	server  *http.Server
}

func newStorePath(rec *recorder, store *storefake.Store, daemon string) (*storePath, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &storePath{address: l.Addr().String()}
	handler := platformtest.NewStore(store.As(daemon))
	p.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.closed.Load() {
			rec.add("store", "%s: %s %s is not answered", daemon, r.Method, r.URL.Path+"?"+r.URL.RawQuery)
			<-r.Context().Done()
			return
		}
		answer := httptest.NewRecorder()
		handler.ServeHTTP(answer, r)
		if p.closed.Load() {
			rec.add("store", "%s: answer to %s %s is lost", daemon, r.Method, r.URL.Path)
			<-r.Context().Done()
			return
		}
		if strings.Contains(r.URL.RawQuery, ownerPartition.Topic) && r.Method == http.MethodPost {
			rec.add("store", "%s: append to %s answered %d", daemon, ownerPartition.Topic, answer.Code)
		}
		for k, v := range answer.Header() {
			w.Header()[k] = v
		}
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes()) // the daemon may have disconnected
	})}
	go func() { _ = p.server.Serve(l) }()
	return p, nil
}

// put writes a record as the operator or a worker would; a nil value deletes the key.
func put(store *storefake.Store, p keyedlog.Partition, key string, value []byte) {
	_, _ = store.As("platform").Append(context.Background(), keyedlog.Append{Partition: p,
		Records: []keyedlog.Record{{Key: key, Value: value}}})
}
