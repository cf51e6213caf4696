package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the store, as the settings give them.
const (
	recordBytes = 262144
	callBytes   = 2097152
	pageItems   = 500
	pageBytes   = 1 << 20
	readBytes   = 1 << 20
	appendTime  = 4 * time.Millisecond
)

type record struct {
	key    string
	value  []byte // nil drops the key
	offset int64
	raw    []byte // content, without its length
}

type producer struct {
	epoch, seq int64
	answers    map[int64]int64 // offset by sequence number
}

type partition struct {
	appending sync.Mutex // one append at a time
	records   []record
	newest    map[string]record
	producers map[string]*producer
}

// store is a log with keyed topics, held in memory.
type store struct {
	mu      sync.Mutex
	parts   map[string]*partition
	changed chan struct{}
	// lateAppend, if set, decides how long after its arrival an append is carried out without an answer; 0 for at once.
	lateAppend func(topic string, keys []string) time.Duration
	// tooLarge counts appends that were refused for the size of a record.
	tooLarge int
	address  string
}

func newStore() *store {
	return &store{parts: map[string]*partition{}, changed: make(chan struct{})}
}

// part returns a partition; the caller holds mu.
func (s *store) part(topic, number string) *partition {
	name := topic + "/" + number
	p := s.parts[name]
	if p == nil {
		p = &partition{newest: map[string]record{}, producers: map[string]*producer{}}
		s.parts[name] = p
	}
	return p
}

// put appends one record of the operator or a worker; a nil value drops the key.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.part(topic, "0"), [][]byte{append(append([]byte{byte(len(key))}, key...), value...)})
}

// add appends records; the caller holds mu.
func (s *store) add(p *partition, contents [][]byte) int64 {
	first := int64(len(p.records))
	for _, c := range contents {
		r := record{offset: int64(len(p.records)), raw: c}
		if len(c) > 0 && int(c[0]) < len(c) {
			r.key = string(c[1 : 1+int(c[0])])
			if rest := c[1+int(c[0]):]; len(rest) > 0 {
				r.value = rest
			}
		}
		p.records = append(p.records, r)
		if r.value == nil {
			delete(p.newest, r.key)
		} else {
			p.newest[r.key] = r
		}
	}
	if len(contents) > 0 {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return first
}

func (s *store) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /log-append", s.append)
	m.HandleFunc("GET /log-read", s.read)
	m.HandleFunc("GET /log-newest", s.listNewest)
	return m
}

func answer(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	topic, number := q.Get("topic"), q.Get("part")
	if topic == "keyed.op" || topic == "keyed.servers" {
		answer(w, http.StatusForbidden, struct{}{})
		return
	}
	if len(data) > callBytes+4096 {
		answer(w, http.StatusBadRequest, map[string]string{"reason": "call_bytes"})
		return
	}
	var contents [][]byte
	var keys []string
	for len(data) >= 4 {
		n := int(binary.BigEndian.Uint32(data))
		if n > len(data)-4 {
			answer(w, http.StatusBadRequest, struct{}{})
			return
		}
		if n > recordBytes {
			s.mu.Lock()
			s.tooLarge++
			s.mu.Unlock()
			answer(w, http.StatusBadRequest, map[string]string{"reason": "record_bytes"})
			return
		}
		c := data[4 : 4+n]
		contents = append(contents, c)
		if n > 0 && int(c[0]) < n {
			keys = append(keys, string(c[1:1+int(c[0])]))
		}
		data = data[4+n:]
	}
	s.mu.Lock()
	p, late := s.part(topic, number), s.lateAppend
	s.mu.Unlock()
	if late != nil {
		if d := late(topic, keys); d > 0 {
			time.AfterFunc(d, func() { s.apply(p, q, contents) })
			<-r.Context().Done() // a channel on which a response is lost returns nothing further
			return
		}
	}
	status, body := s.apply(p, q, contents)
	answer(w, status, body)
}

func intOf(v string) (int64, bool) {
	n, err := strconv.ParseInt(v, 10, 64)
	return n, err == nil
}

// apply carries an append out and returns the answer.
func (s *store) apply(p *partition, q map[string][]string, contents [][]byte) (int, any) {
	p.appending.Lock()
	defer p.appending.Unlock()
	time.Sleep(appendTime)
	get := func(name string) string {
		if v := q[name]; len(v) > 0 {
			return v[0]
		}
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	end := int64(len(p.records))
	name := get("producer")
	if name != "" {
		epoch, _ := intOf(get("epoch"))
		seq, _ := intOf(get("seq_no"))
		pr := p.producers[name]
		switch {
		case pr != nil && epoch < pr.epoch:
			return http.StatusConflict, map[string]any{"reason": "fenced"}
		case pr == nil || epoch > pr.epoch:
			pr = &producer{epoch: epoch, seq: -1, answers: map[int64]int64{}}
			p.producers[name] = pr
		}
		if len(contents) > 0 {
			if offset, ok := pr.answers[seq]; ok {
				return http.StatusOK, map[string]int64{"offset": offset, "end": end}
			}
			if pr.seq >= 0 && seq != pr.seq+1 {
				return http.StatusConflict, map[string]any{"reason": "seq", "seq_no": pr.seq + 1}
			}
		}
		if at, ok := intOf(get("at")); ok && at != end {
			return http.StatusPreconditionFailed, map[string]int64{"end": end}
		}
		if len(contents) > 0 {
			pr.seq = seq
			pr.answers[seq] = end
			delete(pr.answers, seq-5)
		}
	} else if at, ok := intOf(get("at")); ok && at != end {
		return http.StatusPreconditionFailed, map[string]int64{"end": end}
	}
	offset := s.add(p, contents)
	return http.StatusOK, map[string]int64{"offset": offset, "end": offset + int64(len(contents))}
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := intOf(q.Get("from"))
	wait, _ := intOf(q.Get("wait_ms"))
	t := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer t.Stop()
	for {
		s.mu.Lock()
		p := s.part(q.Get("topic"), q.Get("part"))
		changed, end := s.changed, int64(len(p.records))
		buf := binary.BigEndian.AppendUint64(nil, uint64(end))
		buf = binary.BigEndian.AppendUint64(buf, 0)
		found := false
		for at := from; at >= 0 && at < end && (!found || len(buf)+len(p.records[at].raw) < readBytes); at++ {
			buf = binary.BigEndian.AppendUint32(buf, uint32(len(p.records[at].raw)))
			buf = append(buf, p.records[at].raw...)
			found = true
		}
		s.mu.Unlock()
		expired := wait <= 0
		if !found && !expired {
			select {
			case <-changed:
				continue
			case <-t.C:
			case <-r.Context().Done():
				return
			}
		}
		_, _ = w.Write(buf)
		return
	}
}

func (s *store) listNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, more, size := q.Get("after"), false, 0
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	items := []item{}
	s.mu.Lock()
	p := s.part(q.Get("topic"), q.Get("part"))
	var keys []string
	for k := range p.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	for _, k := range keys {
		n := p.newest[k]
		if len(items) == pageItems || size+len(n.value) > pageBytes && len(items) > 0 {
			more = true
			break
		}
		size += len(n.value)
		items = append(items, item{k, base64.StdEncoding.EncodeToString(n.value), n.offset})
	}
	end := int64(len(p.records))
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end": end})
}
