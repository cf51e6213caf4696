package interference

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// MaxDigestBytes limits one encoded digest, so that learned state takes a small part of the control traffic.
const MaxDigestBytes = 16 << 10

// maxMembers limits the daemons whose digests are kept.
const maxMembers = 8

// profileDigest and pairDigest are absolute values, so that a digest may be lost or repeated.
type profileDigest struct {
	_           struct{} `cbor:",toarray"`
	Team, Class string
	CPU         []uint32
	Memory      []uint32
	Connections []uint32
	Run         []uint32
}

type pairDigest struct {
	_                 struct{} `cbor:",toarray"`
	Victim, Neighbour string
	Mean, Variance    float32
}

type digest struct {
	_        struct{} `cbor:",toarray"`
	AtUnixMs int64
	Profiles []profileDigest
	Pairs    []pairDigest
}

// remote is what another daemon learned.
type remote struct {
	profiles map[Key]*profile
	pairs    map[pairKey]*effect
	at       time.Time
}

// exportCursor remembers which entries the next digest starts with.
type exportCursor struct {
	profile Key
	pair    pairKey
}

var decMode = mustDecMode()

// The limits bound the memory that a faulty peer can make a daemon allocate.
func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 4096, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Digest encodes the next part of what this daemon learned from its own reports, at most about maxEntries
// profiles and as many pairs. Repeated calls go through all entries.
func (m *Model) Digest(now time.Time, maxEntries int) ([]byte, error) {
	d := digest{AtUnixMs: now.UnixMilli()}
	for _, k := range after(slices.SortedFunc(maps.Keys(m.profiles), compareKeys), m.export.profile, compareKeys, maxEntries) {
		p := m.profiles[k]
		d.Profiles = append(d.Profiles, profileDigest{
			Team: k.Team, Class: k.Class, CPU: p.milliCPU.sparse(), Memory: p.memoryMB.sparse(),
			Connections: p.connections.sparse(), Run: p.runSeconds.sparse(),
		})
		m.export.profile = k
	}
	for _, k := range after(slices.SortedFunc(maps.Keys(m.pairs), comparePairs), m.export.pair, comparePairs, maxEntries) {
		e := m.pairs[k]
		d.Pairs = append(d.Pairs, pairDigest{Victim: k.victim, Neighbour: k.neighbour, Mean: float32(e.mean), Variance: float32(e.variance)})
		m.export.pair = k
	}
	out, err := cbor.Marshal(d)
	if err != nil {
		return nil, errors.Wrap(err, "encode interference digest")
	}
	if len(out) > MaxDigestBytes {
		if maxEntries > 1 {
			return m.Digest(now, maxEntries/2)
		}
		return nil, errors.Errorf("interference digest has %d bytes, limit %d", len(out), MaxDigestBytes)
	}
	return out, nil
}

// after returns up to n sorted keys that follow the cursor, from the first key again after the last.
func after[K any](keys []K, cursor K, compare func(a, b K) int, n int) []K {
	start := 0
	for start < len(keys) && compare(keys[start], cursor) <= 0 {
		start++
	}
	rotated := append(slices.Clone(keys[start:]), keys[:start]...)
	return rotated[:min(n, len(rotated))]
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Class, b.Class))
}

func comparePairs(a, b pairKey) int {
	return cmp.Or(cmp.Compare(a.victim, b.victim), cmp.Compare(a.neighbour, b.neighbour))
}

// Absorb takes in a digest of another member. Its entries replace earlier ones of the same member.
func (m *Model) Absorb(member string, encoded []byte) error {
	if len(encoded) > MaxDigestBytes {
		return errors.Errorf("interference digest of %s has %d bytes, limit %d", member, len(encoded), MaxDigestBytes)
	}
	var d digest
	if err := decMode.Unmarshal(encoded, &d); err != nil {
		return errors.Wrapf(err, "decode interference digest of %s", member)
	}
	at := time.UnixMilli(d.AtUnixMs)
	r := m.remoteOf(member, at)
	for _, p := range d.Profiles {
		k := Key{p.Team, p.Class}
		if len(r.profiles) >= m.opts.MaxProfiles && r.profiles[k] == nil {
			continue
		}
		r.profiles[k] = &profile{
			milliCPU: fromSparse(p.CPU, at), memoryMB: fromSparse(p.Memory, at),
			connections: fromSparse(p.Connections, at), runSeconds: fromSparse(p.Run, at), at: at,
		}
	}
	for _, p := range d.Pairs {
		k := pairKey{p.Victim, p.Neighbour}
		valid := p.Variance > 0 && p.Variance <= priorVariance && p.Mean >= 0 && p.Mean < 10
		if !valid || len(r.pairs) >= m.opts.MaxPairs && r.pairs[k] == nil {
			continue
		}
		r.pairs[k] = &effect{mean: float64(p.Mean), variance: float64(p.Variance), at: at}
	}
	return nil
}

// remoteOf returns the entry of a member. The member that was silent longest makes room for a new one.
func (m *Model) remoteOf(member string, at time.Time) *remote {
	r := m.remote[member]
	if r == nil {
		if len(m.remote) >= maxMembers {
			m.dropSilentMember()
		}
		r = &remote{profiles: map[Key]*profile{}, pairs: map[pairKey]*effect{}}
		m.remote[member] = r
	}
	r.at = maxTime(r.at, at)
	return r
}

func (m *Model) dropSilentMember() {
	oldest := ""
	for _, member := range slices.Sorted(maps.Keys(m.remote)) {
		if oldest == "" || m.remote[member].at.Before(m.remote[oldest].at) {
			oldest = member
		}
	}
	delete(m.remote, oldest)
}

// Forget drops what a member learned, for instance because it left. Its workers report to others now.
func (m *Model) Forget(member string) { delete(m.remote, member) }
