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

// maxKeyedDuration limits a keyed request without a deadline: its claim is dropped afterwards.
const maxKeyedDuration = claim.Retention

// handleKeyed runs a request with a key at most once: in this zone if it is the key's home zone, otherwise by
// forwarding it to the home zone.
func (g *Gateway) handleKeyed(ctx context.Context, c *call) *answer {
	zone, key, err := claim.ParseKey(c.key)
	if err != nil {
		// No daemon runs a request with an invalid key.
		return errorAnswer(http.StatusBadRequest, OutcomeNotRun, err.Error())
	}
	home, candidate, mayHaveMoved := g.homeZone(zone, key)
	if home == "" {
		return errorAnswer(http.StatusBadRequest, OutcomeUnknown, "the key's zone "+zone+" is not in the document")
	}
	if mayHaveMoved {
		return g.undecidedAnswer(errors.New("the document's zones have changed since the key was made"))
	}
	if home != g.opts.Zone {
		return g.forwardKeyed(ctx, c, candidate)
	}
	if g.opts.Claims == nil {
		return g.undecidedAnswer(errors.New("this daemon holds no claims"))
	}
	// The request continues if its caller disconnects, so that a repeat finds the answer.
	ctx, extend, cancel := c.detachedContext(ctx)
	result := g.opts.Claims.Claim(ctx, key)
	switch result.Kind {
	case claims.Won:
		a := g.runClaimed(ctx, cancel, c, key, result.Attempt)
		if !c.deadlineCoversBody {
			extend()
		}
		return a
	case claims.Blocked:
		cancel()
		g.opts.Claims.Finish(claim.Entry{Key: key, Attempt: result.Attempt, Outcome: claim.OutcomeNotRun})
		return errorAnswer(http.StatusServiceUnavailable, OutcomeNotRun, result.Reason.Error())
	case claims.Finished:
		cancel()
		return g.replay(c, result.Entry)
	}
	cancel()
	return g.undecidedAnswer(result.Reason)
}

// forwardKeyed sends the request to its home zone. Without an answer the outcome is unknown even if nothing was sent,
// because only the home zone has the claims of earlier attempts.
func (g *Gateway) forwardKeyed(ctx context.Context, c *call, candidate routing.Candidate) *answer {
	if g.opts.Forwarder == nil || c.forwarded {
		return g.undecidedAnswer(errors.Errorf("home zone %s of the key is not reached from here", candidate.Zone))
	}
	a, err := g.forward(ctx, c, candidate, PurposeClaim)
	if err != nil {
		return g.undecidedAnswer(err)
	}
	return g.withWaitTime(c, a)
}

// undecidedAnswer returns the answer for a request that this attempt did not send and other attempts may have sent.
func (g *Gateway) undecidedAnswer(reason error) *answer {
	a := errorAnswer(http.StatusServiceUnavailable, OutcomeUnknown, reason.Error())
	a.header.Set("Retry-After", "1")
	return a
}

// runClaimed routes a request whose key this attempt has claimed, and records the outcome.
func (g *Gateway) runClaimed(ctx context.Context, cancel func(), c *call, key claim.Key,
	attempt claim.Attempt) *answer {
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
		r.prefetch()
	}
	return a
}

// detachedContext returns a context that is cancelled at the call's deadline, but not when the caller's connection
// closes. extend moves the deadline for the rest of the answer to the time when the claim is dropped.
func (c *call) detachedContext(ctx context.Context) (_ context.Context, extend, cancel func()) {
	detached, cancelCause := context.WithCancelCause(context.WithoutCancel(ctx))
	latest := c.arrived.Add(maxKeyedDuration)
	limit := c.deadline
	if limit.IsZero() || limit.After(latest) {
		limit = latest
	}
	timer := time.AfterFunc(time.Until(limit), func() { cancelCause(errDeadline) })
	extend = func() {
		if timer.Stop() {
			timer.Reset(time.Until(latest))
		}
	}
	return detached, extend, func() { timer.Stop(); cancelCause(nil) }
}

// storedAnswer is the encoding of an answer in a claim.
type storedAnswer struct {
	_ struct{} `cbor:",toarray"`
	// Request is the fingerprint of the request that was answered.
	Request uint64
	Header  http.Header
	Body    []byte
}

// fingerprint returns a hash that distinguishes requests that share a key by mistake. It leaves out the body, which
// may be streamed.
func (c *call) fingerprint() uint64 {
	return xxhash.Sum64String(c.service.Name + "\x00" + c.method + "\x00" + c.path)
}

// replay returns the answer for the outcome of an earlier attempt.
func (g *Gateway) replay(c *call, e claim.Entry) *answer {
	switch e.Outcome {
	case claim.OutcomeNotRun:
		return errorAnswer(http.StatusServiceUnavailable, OutcomeNotRun,
			"an earlier attempt with this key ended without "+
				"being sent; use a new key")
	case claim.OutcomeUnknown:
		return errorAnswer(http.StatusBadGateway, OutcomeUnknown,
			"an earlier attempt with this key was sent and got no "+
				"whole answer")
	}
	var stored storedAnswer
	if len(e.Answer) == 0 || cbor.Unmarshal(e.Answer, &stored) != nil {
		a := errorAnswer(http.StatusConflict, OutcomeAnswered,
			"an earlier attempt with this key was answered; the answer "+
				"is not kept")
		a.header.Set(HeaderStoredStatus, strconv.Itoa(e.Status))
		return a
	}
	if stored.Request != c.fingerprint() {
		return errorAnswer(http.StatusUnprocessableEntity, OutcomeUnknown, "the key was used for another request")
	}
	g.metrics.add(metricReplayed, 1)
	return &answer{status: e.Status, header: stored.Header, body: io.NopCloser(bytes.NewReader(stored.Body)),
		contentLength: int64(len(stored.Body)), outcome: OutcomeAnswered}
}

// recorder is an answer's body that records a small answer while it is read, and calls finish once at its end.
type recorder struct {
	body   io.ReadCloser
	answer *answer
	// request is the fingerprint of the call.
	request  uint64
	recorded []byte
	tooLarge bool
	once     sync.Once
	finish   func(stored []byte, complete bool)
	// prefetched is what prefetch has read, and err is how that ended: io.EOF after the complete answer.
	prefetched *bytes.Reader
	err        error
}

// prefetch reads a small answer at once, so that it is recorded even if the caller disconnects.
func (r *recorder) prefetch() {
	_, err := io.Copy(io.Discard, io.LimitReader(readerFunc(r.readBody), claim.MaxAnswerBytes+1))
	if err == nil {
		err = io.EOF
	}
	r.prefetched, r.err = bytes.NewReader(r.recorded), err
}

type readerFunc func(p []byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// Read implements io.Reader.
func (r *recorder) Read(p []byte) (int, error) {
	if r.prefetched == nil {
		return r.readBody(p)
	}
	if r.prefetched.Len() > 0 {
		return r.prefetched.Read(p)
	}
	return 0, r.err
}

func (r *recorder) readBody(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if !r.tooLarge {
		if r.recorded = append(r.recorded, p[:n]...); len(r.recorded) > claim.MaxAnswerBytes {
			r.tooLarge, r.recorded = true, nil
		}
	}
	if err != nil {
		r.finishOnce(err == io.EOF)
	}
	return n, err
}

// Close implements io.Closer. An answer that was not read to its end counts as incomplete.
func (r *recorder) Close() error {
	err := r.body.Close()
	r.finishOnce(false)
	return err
}

func (r *recorder) finishOnce(complete bool) {
	r.once.Do(func() {
		var stored []byte
		if complete && !r.tooLarge {
			stored, _ = cbor.Marshal(storedAnswer{Request: r.request, Header: r.answer.header, Body: r.recorded})
			if len(stored) > claim.MaxAnswerBytes {
				stored = nil
			}
		}
		r.finish(stored, complete)
	})
}
