package peers

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"waxwingslip.example/core/lease"
)

// relayAfter is the age of the control state at which it is asked from peers. It leaves time for the relay
// before starts pause.
const relayAfter = lease.ControlFreshness - 1200*time.Millisecond

// maxAsked limits how many peers are asked in one round.
const maxAsked = 4

func bodyOf(b []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(b)) }

// catchUp asks peers for the control stream if this daemon cannot read it from the log.
func (p *Peers) catchUp(ctx context.Context) {
	asOf := p.cfg.Control.CurrentAsOf()
	if !asOf.IsZero() && time.Since(asOf) < relayAfter {
		return
	}
	now := time.Now()
	asked := 0
	for _, q := range p.book.list(func(q Peer) bool { return q.Heard(now) }) {
		if asked == maxAsked {
			return
		}
		asked++
		go p.pull(ctx, q.Contact.Address)
	}
}

// pull takes the newest control entries, or the whole state, from one peer.
func (p *Peers) pull(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	var answer tailAnswer
	if err := p.cfg.Caller.Call(ctx, address, methodTail, tailRequest{From: max(1, p.cfg.Control.Next())}, &answer); err != nil {
		return
	}
	if !answer.Kept || p.cfg.Control.Next() == 0 {
		if answer.End > p.cfg.Control.Next() {
			_ = p.importState(ctx, address)
		}
		return
	}
	// A gap means that the peer sent only a part; the next round goes on from there.
	_ = p.cfg.Control.Inject(answer.relay(), sent)
}

func (p *Peers) importState(ctx context.Context, address string) error {
	var h exportHeader
	body, err := p.cfg.Caller.Stream(ctx, address, methodExport, nil, &h, nil)
	if err != nil {
		return errors.Wrapf(err, "export control state of peer %s", address)
	}
	defer body.Close()
	packed, err := io.ReadAll(io.LimitReader(body, maxExportBytes+1))
	if err != nil {
		return errors.Wrapf(err, "read control state of peer %s", address)
	}
	if len(packed) > maxExportBytes {
		return errors.Errorf("control state of peer %s exceeds %d bytes", address, maxExportBytes)
	}
	return p.cfg.Control.Import(h.Covers, packed)
}
