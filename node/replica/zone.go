// Package replica combines a stream's follower and appender with the typed state that they maintain.
package replica

import (
	"context"

	"github.com/pkg/errors"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/zone"
	"waxwingslip.example/external/logstore"
	"waxwingslip.example/node/stream"
)

// ZoneStream returns the name of a zone's stream.
func ZoneStream(environment, zone string) string { return environment + ".zone." + zone }

// ControlStream returns the name of an environment's control stream.
func ControlStream(environment string) string { return environment + ".control" }

// Zone is a daemon's replica of the state of its zone.
type Zone struct {
	Follower *stream.Follower
	Appender *stream.Appender
	machine  *zoneMachine
}

// NewZone returns a replica of a zone's state. Run the Follower and the Appender to keep it up to date.
func NewZone(store logstore.Store, name string, followerOpts stream.FollowerOptions,
	appenderOpts stream.AppenderOptions) *Zone {
	followerOpts.SnapshotKind = record.KindZoneSnapshot
	m := newZoneMachine(name)
	f := stream.NewFollower(store, m, followerOpts)
	return &Zone{Follower: f, Appender: stream.NewAppender(store, f, appenderOpts), machine: m}
}

// View calls f with the state, which f must neither change nor retain.
func (z *Zone) View(f func(s *zone.State)) {
	z.Follower.View(func() { f(z.machine.state) })
}

// Post appends a record without waiting for the result. A record that cannot be queued is dropped: its author checks
// the state again and posts a new one.
func (z *Zone) Post(body record.Body) { _ = z.Appender.Post(body) }

// Submit appends a record and waits for its verdict.
func (z *Zone) Submit(ctx context.Context, body record.Body) (stream.Result, error) {
	return z.Appender.Submit(ctx, body)
}

// zoneMachine adapts zone.State to stream.Machine. The Follower's lock guards it.
type zoneMachine struct {
	name   string
	state  *zone.State
	events []any
}

func newZoneMachine(name string) *zoneMachine {
	m := &zoneMachine{name: name}
	m.setState(zone.New(name))
	return m
}

func (m *zoneMachine) setState(s *zone.State) {
	s.OnChange(func(c zone.Change) { m.events = append(m.events, c) })
	m.state = s
}

// Apply implements stream.Machine.
func (m *zoneMachine) Apply(offset int64, rec record.Record) stream.Verdict {
	m.events = nil
	v := m.state.Apply(offset, rec)
	return stream.Verdict{Accepted: v.Accepted, Duplicate: v.Duplicate, Reason: v.Reason, Events: m.events}
}

// Snapshot implements stream.Machine.
func (m *zoneMachine) Snapshot() ([]byte, error) { return m.state.Encode() }

// Restore implements stream.Machine.
func (m *zoneMachine) Restore(data []byte) error {
	s, err := zone.Decode(m.name, data)
	if err != nil {
		return errors.Wrap(err, "restore zone state")
	}
	m.setState(s)
	return nil
}
