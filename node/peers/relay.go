package peers

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"waxwingslip.example/core/lease"
)

// pullAfter is the age of the control state at which it is pulled from peers. It leaves time for the relay before
// the state is too old for starting tasks.
const pullAfter = lease.ControlFreshness - 1200*time.Millisecond

// maxPullPeers limits the peers from which one round pulls.
const maxPullPeers = 4

func newBody(b []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(b)) }

// pullControl pulls the control stream from peers if this daemon cannot read it from the log.
func (p *Peers) pullControl(ctx context.Context) {
	asOf := p.cfg.Control.CurrentAsOf()
	if !asOf.IsZero() && time.Since(asOf) < pullAfter {
		return
	}
	now := time.Now()
	pulls := 0
	for _, q := range p.table.list(func(q Peer) bool { return q.Alive(now) }) {
		if pulls == maxPullPeers {
			return
		}
		pulls++
		go p.pullFrom(ctx, q.Contact.Address)
	}
}

// pullFrom pulls the newest control entries, or the complete state, from one peer.
func (p *Peers) pullFrom(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	var response tailResponse
	if err := p.cfg.Caller.Call(ctx, address, methodTail,
		tailRequest{From: max(1, p.cfg.Control.Next())}, &response); err != nil {
		return
	}
	if !response.Available || p.cfg.Control.Next() == 0 {
		if response.End > p.cfg.Control.Next() {
			_ = p.importState(ctx, address)
		}
		return
	}
	// A gap error means that the peer sent only a part; the next round continues from there.
	_ = p.cfg.Control.ApplyRelayed(response.toRelayedEntries(), sent)
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
