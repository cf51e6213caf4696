package replica

import (
	"context"

	"waxwingslip.example/core/control"
	"waxwingslip.example/core/record"
	"waxwingslip.example/external/logstore"
	"waxwingslip.example/node/stream"
)

// Control is a daemon's replica of the state of the control stream.
type Control struct {
	Follower *stream.Follower
	Appender *stream.Appender
	machine  *controlMachine
}

// NewControl returns a replica of the control state. Run the Follower and the Appender to keep it up to date.
func NewControl(store logstore.Store, parse control.ParseFunc, followerOpts stream.FollowerOptions,
	appenderOpts stream.AppenderOptions) *Control {
	followerOpts.SnapshotKind = record.KindControlSnapshot
	m := &controlMachine{parse: parse, state: control.New(parse)}
	f := stream.NewFollower(store, m, followerOpts)
	return &Control{Follower: f, Appender: stream.NewAppender(store, f, appenderOpts), machine: m}
}

// View calls f with the state, which f must neither change nor retain.
func (c *Control) View(f func(s *control.State)) {
	c.Follower.View(func() { f(c.machine.state) })
}

// Post appends a record without waiting for the result, like Zone.Post.
func (c *Control) Post(body record.Body) { _ = c.Appender.Post(body) }

// Submit appends a record and waits for its verdict.
func (c *Control) Submit(ctx context.Context, body record.Body) (stream.Result, error) {
	return c.Appender.Submit(ctx, body)
}

// controlMachine adapts control.State to stream.Machine. The Follower's lock guards it.
type controlMachine struct {
	parse control.ParseFunc
	state *control.State
}

// Apply implements stream.Machine.
func (m *controlMachine) Apply(offset int64, rec record.Record) stream.Verdict {
	v := m.state.Apply(offset, rec)
	events := make([]any, len(v.Events))
	for i, e := range v.Events {
		events[i] = e
	}
	return stream.Verdict{Accepted: v.Accepted, Duplicate: v.Duplicate, Reason: v.Reason, Events: events}
}

// Snapshot implements stream.Machine.
func (m *controlMachine) Snapshot() ([]byte, error) { return m.state.Encode() }

// Restore implements stream.Machine.
func (m *controlMachine) Restore(data []byte) error {
	s, err := control.Decode(m.parse, data)
	if err != nil {
		return err
	}
	m.state = s
	return nil
}
