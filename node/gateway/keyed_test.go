package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"waxwingslip.example/core/claim"
)

// Guards against a request that runs twice because its caller sends it to several daemons of two zones at the same
// time.
func TestDoubledRequestsRunOnce(t *testing.T) {
	is := is.New(t)
	e := newEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, r.Header.Get(HeaderKey))
	})
	c := newCluster(t)
	cat := catalog{zones: []Zone{{"a", "r", false}, {"b", "r", false}}}
	src := newSource(e.address())
	daemons := append(c.addZone("a", 3, cat, src), c.addZone("b", 2, cat, src)...)
	const keys = 20
	replies := make(chan reply, keys*len(daemons))
	for range keys {
		key := newKey()
		for _, d := range daemons {
			go func() {
				r := sendRequest(d, "POST", "/charge", key, "amount")
				if r.body != key {
					r.err = fmt.Errorf("status %d, %s: body %q, want %q", r.status, r.outcome, r.body, key)
				}
				replies <- r
			}()
		}
	}
	for range keys * len(daemons) {
		r := <-replies
		is.NoErr(r.err)
		is.Equal(r.status, http.StatusCreated)
		is.Equal(r.outcome, "answered")
	}
	is.Equal(len(e.byKey), keys)
	is.Equal(e.runs.Load(), int64(keys))
}

// Guards against a second execution after the daemon that claimed the key has failed, and against the outcome not-run
// for a request that it may have sent.
func TestDaemonDiesAfterClaim(t *testing.T) {
	is := is.New(t)
	e := newEndpoint(t, serveOK)
	daemons := newCluster(t).addZone("a", 3, catalog{}, newSource(e.address()))
	key := newKey()
	_, parsed, err := claim.ParseKey(key)
	is.NoErr(err)
	result := daemons[0].coordinator.Claim(context.Background(), parsed)
	is.NoErr(result.Reason)
	daemons[0].coordinator.Wait()
	daemons[0].down.Store(true)
	for _, d := range daemons[1:] {
		r := sendRequest(d, "POST", "/", key, "", HeaderTimeout, "200")
		is.Equal(r.outcome, "unknown")
	}
	is.Equal(sendRequest(daemons[1], "POST", "/", newKey(), "").outcome, "answered") // two of three are a majority
	is.Equal(e.runs.Load(), int64(1))
}

// Guards against an outcome not-run although a later or delayed attempt with the same key runs.
func TestNotRunIsFinal(t *testing.T) {
	is := is.New(t)
	e := newEndpoint(t, serveOK)
	src := newSource()
	daemons := newCluster(t).addZone("a", 3, catalog{}, src)
	key := newKey()
	is.Equal(sendRequest(daemons[0], "POST", "/", key, "").outcome, "not-run")
	src.set(e.address())
	is.Equal(sendRequest(daemons[1], "POST", "/", key, "").outcome, "not-run")
	is.Equal(e.runs.Load(), int64(0))
	is.Equal(sendRequest(daemons[1], "POST", "/", newKey(), "").outcome, "answered")
}

// Guards against the outcome not-run without a majority, and against running requests with old or future keys.
func TestUndecidedKeys(t *testing.T) {
	is := is.New(t)
	e := newEndpoint(t, serveOK)
	daemons := newCluster(t).addZone("a", 3, catalog{}, newSource(e.address()))
	keyAt := func(offsetMs int64) string {
		id := uuid.Must(uuid.NewV7())
		_, k, _ := claim.ParseKey(id.String())
		ms := k.UnixMs() + offsetMs
		for i := range 6 {
			id[5-i] = byte(ms >> (8 * i))
		}
		return id.String()
	}
	is.Equal(sendRequest(daemons[0], "POST", "/", keyAt(-601_000), "").outcome, "unknown")
	is.Equal(sendRequest(daemons[0], "POST", "/", keyAt(30_000), "").outcome, "not-run")
	is.Equal(sendRequest(daemons[0], "POST", "/", keyAt(300_000), "").outcome, "unknown")
	is.Equal(sendRequest(daemons[0], "POST", "/", "elsewhere/"+newKey(), "").outcome, "unknown")
	daemons[1].down.Store(true)
	daemons[2].down.Store(true)
	is.Equal(sendRequest(daemons[0], "POST", "/", newKey(), "", HeaderTimeout, "200").outcome, "unknown")
	is.Equal(e.runs.Load(), int64(0))
}

// Guards against a repeat that gets a different answer than the first attempt, or part of a large one as a complete
// one, and against a different request that gets the answer because it has the same key.
func TestRepeatGetsTheSameAnswer(t *testing.T) {
	is := is.New(t)
	e := newEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Receipt", "r1")
		w.WriteHeader(http.StatusCreated)
		size := map[string]int{"/small": 100, "/large": claim.MaxAnswerBytes + 1}[r.URL.Path]
		_, _ = io.WriteString(w, strings.Repeat("x", size))
	})
	daemons := newCluster(t).addZone("a", 2, catalog{}, newSource(e.address()))
	for path, wantStatus := range map[string]int{"/small": http.StatusCreated, "/large": http.StatusConflict} {
		key := newKey()
		first := sendRequest(daemons[0], "POST", path, key, "")
		is.NoErr(first.err)
		is.Equal(first.status, http.StatusCreated)
		again := sendRequest(daemons[1], "POST", path, key, "")
		is.NoErr(again.err)
		is.Equal(again.outcome, "answered")
		is.Equal(again.status, wantStatus)
		if wantStatus == http.StatusCreated {
			is.Equal(again.body, first.body)
			is.Equal(again.header.Get("X-Receipt"), "r1")
			other := sendRequest(daemons[1], "POST", "/other", key, "")
			is.Equal(other.status, http.StatusUnprocessableEntity)
			is.True(other.body != first.body)
		} else {
			is.Equal(again.header.Get(HeaderStoredStatus), "201")
		}
	}
	is.Equal(e.runs.Load(), int64(2))
}

// Guards against a streamed body that is lost because the first daemon of the other zone is unreachable.
func TestStreamedBodyReachesTheNextDaemon(t *testing.T) {
	is := is.New(t)
	e := newEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, n, err)
	})
	c := newCluster(t)
	cat := catalog{zones: []Zone{{"a", "r", false}, {"b", "r", false}}}
	c.addZone("a", 2, cat, newSource(e.address()))[0].down.Store(true)
	far := c.addZone("b", 1, cat, newSource())[0]
	r := sendRequest(far, "POST", "/", "", strings.Repeat("x", maxReplayBytes+1))
	is.Equal(r.outcome, "answered")
	is.Equal(r.body, fmt.Sprint(maxReplayBytes+1, " <nil>"))
}

// Guards against requests that exceed the byte budget of the link or go to a zone that is out of service.
func TestOtherZones(t *testing.T) {
	is := is.New(t)
	e := newEndpoint(t, serveOK)
	c := newCluster(t)
	zones := func(outOfService bool) []Zone { return []Zone{{"a", "Luzon", false}, {"b", "Visayas", outOfService}} }
	c.addZone("b", 1, catalog{zones: zones(false)}, newSource(e.address()))
	inBudget := c.addZone("a", 1, catalog{zones: zones(false), linkRate: 1000}, newSource())[0]
	is.Equal(sendRequest(inBudget, "POST", "/", "", strings.Repeat("x", 700)).outcome, "answered")
	is.Equal(sendRequest(inBudget, "POST", "/", "", strings.Repeat("x", 700)).outcome, "not-run")
	outOfService := c.addZone("a", 1, catalog{zones: zones(true), linkRate: 1e6}, newSource())[0]
	is.Equal(sendRequest(outOfService, "POST", "/", "", "").outcome, "not-run")
	is.Equal(e.runs.Load(), int64(1))
}

// Guards against a key that is claimed in two home zones because a zone was added to the document meanwhile.
func TestKeyWhoseHomeMoved(t *testing.T) {
	is := is.New(t)
	var h homeZoneHistory
	before, after := []string{"a", "b"}, []string{"a", "b", "c"}
	const now = 1_700_000_000_000
	moving, staying := 0, 0
	for i := range 200 {
		id := uuid.Must(uuid.NewV7())
		madeAt := func(ms int64) (k claim.Key) {
			k = claim.Key(id)
			for b := range 6 {
				k[5-b] = byte(ms >> (8 * b))
			}
			return k
		}
		h = homeZoneHistory{}
		is.True(!h.mayHaveMoved(madeAt(now), before, now))
		key := madeAt(now + int64(i))
		if claim.HomeZone(key, before) == claim.HomeZone(key, after) {
			staying++
			is.True(!h.mayHaveMoved(key, after, now+1000))
			continue
		}
		moving++
		is.True(h.mayHaveMoved(key, after, now+1000))
		is.True(h.mayHaveMoved(key, after, now+500_000)) // a repeat while claims are kept
		is.True(!h.mayHaveMoved(madeAt(now+1000+homeSettleTime.Milliseconds()), after, now+20_000))
	}
	is.True(moving > 20 && staying > 100)
}
