package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"waxwingslip.example/core/claim"
	"waxwingslip.example/core/routing"
	"waxwingslip.example/node/gateway/claims"
)

// maxKeyedTime bounds a keyed request without a deadline: its claim is forgotten afterwards.
const maxKeyedTime = claim.Retention

// handleKeyed runs a request with a key at most once: here if this is the key's home zone, otherwise there.
func (g *Gateway) handleKeyed(ctx context.Context, c *call) *answer {
	zone, key, err := claim.ParseKey(c.key)
	if err != nil {
		// No daemon ever runs a request with such a key.
		return failure(http.StatusBadRequest, OutcomeNotRun, err.Error())
	}
	home, choice, moved := g.home(zone, key)
	if home == "" {
		return failure(http.StatusBadRequest, OutcomeUnknown, "the key's zone "+zone+" is not in the document")
	}
	if moved {
		return g.undecided(errors.New("the document's zones have changed since the key was made"))
	}
	if home != g.opts.Zone {
		return g.forwardKeyed(ctx, c, choice)
	}
	if g.opts.Claims == nil {
		return g.undecided(errors.New("this daemon holds no claims"))
	}
	// The request goes on if its caller goes away, so that a repeat finds the answer.
	ctx, extend, cancel := c.detach(ctx)
	result := g.opts.Claims.Claim(ctx, key)
	switch result.Kind {
	case claims.Won:
		a := g.runClaimed(ctx, cancel, c, key, result.Attempt)
		if !c.wholeAnswer {
			extend()
		}
		return a
	case claims.Blocked:
		cancel()
		g.opts.Claims.Finish(claim.Entry{Key: key, Attempt: result.Attempt, Outcome: claim.OutcomeNotRun})
		return failure(http.StatusServiceUnavailable, OutcomeNotRun, result.Reason.Error())
	case claims.Finished:
		cancel()
		return g.replay(c, result.Entry)
	}
	cancel()
	return g.undecided(result.Reason)
}

// forwardKeyed sends the request to its home zone. Without an answer the outcome is unknown even if nothing was sent
// now, because only the home zone knows about earlier attempts.
func (g *Gateway) forwardKeyed(ctx context.Context, c *call, choice routing.Choice) *answer {
	if g.opts.Forwarder == nil || c.forwarded {
		return g.undecided(errors.Errorf("home zone %s of the key is not reached from here", choice.Zone))
	}
	a, err := g.forward(ctx, c, choice, PurposeClaim)
	if err != nil {
		return g.undecided(err)
	}
	return g.accounted(c, a)
}

// undecided answers a request that this attempt did not send, while other attempts are not known.
func (g *Gateway) undecided(reason error) *answer {
	a := failure(http.StatusServiceUnavailable, OutcomeUnknown, reason.Error())
	a.header.Set("Retry-After", "1")
	return a
}

// runClaimed routes a request whose key this attempt has won, and records how it ended.
func (g *Gateway) runClaimed(ctx context.Context, cancel func(), c *call, key claim.Key, attempt claim.Attempt) *answer {
	a := g.route(ctx, c)
	entry := claim.Entry{Key: key, Attempt: attempt, Status: a.status}
	switch a.outcome {
	case OutcomeNotRun:
		cancel()
		entry.Outcome, entry.Status = claim.OutcomeNotRun, 0
		g.opts.Claims.Finish(entry)
		return a
	case OutcomeUnknown:
		cancel()
		entry.Outcome, entry.Status = claim.OutcomeUnknown, 0
		g.opts.Claims.Finish(entry)
		return a
	}
	r := &recorder{body: a.body, answer: a, request: c.fingerprint(), finish: func(stored []byte, complete bool) {
		cancel()
		entry.Outcome, entry.Answer = claim.OutcomeAnswered, stored
		if !complete {
			entry.Outcome, entry.Status = claim.OutcomeUnknown, 0
		}
		g.opts.Claims.Finish(entry)
	}}
	a.body = r
	if a.contentLength >= 0 && a.contentLength <= claim.MaxAnswerBytes {
		r.readAhead()
	}
	return a
}

// detach returns a context that does not end with the caller's connection, but at the call's deadline. extend lets
// the rest of the answer take until the claim is forgotten.
func (c *call) detach(ctx context.Context) (_ context.Context, extend, cancel func()) {
	detached, cancelCause := context.WithCancelCause(context.WithoutCancel(ctx))
	most := c.arrived.Add(maxKeyedTime)
	limit := c.deadline
	if limit.IsZero() || limit.After(most) {
		limit = most
	}
	timer := time.AfterFunc(time.Until(limit), func() { cancelCause(errDeadline) })
	extend = func() {
		if timer.Stop() {
			timer.Reset(time.Until(most))
		}
	}
	return detached, extend, func() { timer.Stop(); cancelCause(nil) }
}

// storedAnswer is the form in which a claim keeps an answer.
type storedAnswer struct {
	_ struct{} `cbor:",toarray"`
	// Request is the fingerprint of the request that was answered.
	Request uint64
	Header  http.Header
	Body    []byte
}

// fingerprint tells requests apart that share a key by mistake. The body is left out, because it may be streamed.
func (c *call) fingerprint() uint64 {
	return xxhash.Sum64String(c.service.Name + "\x00" + c.method + "\x00" + c.path)
}

// replay gives the end of an earlier attempt again.
func (g *Gateway) replay(c *call, e claim.Entry) *answer {
	switch e.Outcome {
	case claim.OutcomeNotRun:
		return failure(http.StatusServiceUnavailable, OutcomeNotRun, "an earlier attempt with this key ended without "+
			"being sent; use a new key")
	case claim.OutcomeUnknown:
		return failure(http.StatusBadGateway, OutcomeUnknown, "an earlier attempt with this key was sent and got no "+
			"whole answer")
	}
	var stored storedAnswer
	if len(e.Answer) == 0 || cbor.Unmarshal(e.Answer, &stored) != nil {
		a := failure(http.StatusConflict, OutcomeAnswered, "an earlier attempt with this key was answered; the answer "+
			"is not kept")
		a.header.Set(HeaderStoredStatus, strconv.Itoa(e.Status))
		return a
	}
	if stored.Request != c.fingerprint() {
		return failure(http.StatusUnprocessableEntity, OutcomeUnknown, "the key was used for another request")
	}
	g.metrics.add(metricReplayed, 1)
	return &answer{status: e.Status, header: stored.Header, body: io.NopCloser(bytes.NewReader(stored.Body)),
		contentLength: int64(len(stored.Body)), outcome: OutcomeAnswered}
}

// recorder keeps a small answer while it is streamed, and reports its end once.
type recorder struct {
	body   io.ReadCloser
	answer *answer
	// request is the fingerprint of the call.
	request uint64
	kept    []byte
	large   bool
	once    sync.Once
	finish  func(stored []byte, complete bool)
	// ahead is what readAhead has read; done is true if that is the whole answer.
	ahead *bytes.Reader
	err   error
}

// readAhead reads a small answer at once, so that it is kept even if the caller goes away.
func (r *recorder) readAhead() {
	_, err := io.Copy(io.Discard, io.LimitReader(readerFunc(r.readBody), claim.MaxAnswerBytes+1))
	if err == nil {
		err = io.EOF
	}
	r.ahead, r.err = bytes.NewReader(r.kept), err
}

type readerFunc func(p []byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// Read implements io.Reader.
func (r *recorder) Read(p []byte) (int, error) {
	if r.ahead == nil {
		return r.readBody(p)
	}
	if r.ahead.Len() > 0 {
		return r.ahead.Read(p)
	}
	return 0, r.err
}

func (r *recorder) readBody(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if !r.large {
		if r.kept = append(r.kept, p[:n]...); len(r.kept) > claim.MaxAnswerBytes {
			r.large, r.kept = true, nil
		}
	}
	if err != nil {
		r.end(err == io.EOF)
	}
	return n, err
}

// Close implements io.Closer. An answer whose end was not read counts as broken.
func (r *recorder) Close() error {
	err := r.body.Close()
	r.end(false)
	return err
}

func (r *recorder) end(complete bool) {
	r.once.Do(func() {
		var stored []byte
		if complete && !r.large {
			stored, _ = cbor.Marshal(storedAnswer{Request: r.request, Header: r.answer.header, Body: r.kept})
			if len(stored) > claim.MaxAnswerBytes {
				stored = nil
			}
		}
		r.finish(stored, complete)
	})
}
