package interference

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// MaxDigestBytes limits one encoded digest, so that learned state is a small part of the control traffic.
const MaxDigestBytes = 16 << 10

// maxRemoteMembers limits the daemons whose digests are kept.
const maxRemoteMembers = 8

// profileDigest is the encoded form of a profile. A digest holds absolute values, so that it may be lost or repeated.
type profileDigest struct {
	_           struct{} `cbor:",toarray"`
	Team, Class string
	CPU         []uint32
	Memory      []uint32
	Connections []uint32
	Run         []uint32
}

// pairDigest is the encoded form of an effect.
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

// remoteState holds the profiles and effects that another daemon learned.
type remoteState struct {
	profiles  map[Key]*profile
	pairs     map[pairKey]*effect
	updatedAt time.Time
}

// exportCursor holds the last entries of the previous digest; the next one starts after them.
type exportCursor struct {
	profile Key
	pair    pairKey
}

var decMode = mustDecMode()

// mustDecMode returns a decoder whose limits bound the memory that a faulty peer can make a daemon allocate.
func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 4096, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Digest encodes the next part of the state learned from the reports of this daemon, at most maxEntries profiles and as
// many pairs. Repeated calls go through all entries.
func (m *Model) Digest(now time.Time, maxEntries int) ([]byte, error) {
	d := digest{AtUnixMs: now.UnixMilli()}
	for _, k := range nextKeys(slices.SortedFunc(maps.Keys(m.profiles), compareKeys), m.export.profile, compareKeys,
		maxEntries) {
		p := m.profiles[k]
		d.Profiles = append(d.Profiles, profileDigest{
			Team: k.Team, Class: k.Class, CPU: p.milliCPU.encodeSparse(), Memory: p.memoryMB.encodeSparse(),
			Connections: p.connections.encodeSparse(), Run: p.runSeconds.encodeSparse(),
		})
		m.export.profile = k
	}
	for _, k := range nextKeys(slices.SortedFunc(maps.Keys(m.pairs), comparePairs), m.export.pair, comparePairs,
		maxEntries) {
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

// nextKeys returns up to n of the sorted keys that follow the cursor, continuing with the first key after the last.
func nextKeys[K any](keys []K, cursor K, compare func(a, b K) int, n int) []K {
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

// MergeDigest stores the entries of a digest of another member. They replace earlier ones of the same member.
func (m *Model) MergeDigest(member string, encoded []byte) error {
	if len(encoded) > MaxDigestBytes {
		return errors.Errorf("interference digest of %s has %d bytes, limit %d", member, len(encoded), MaxDigestBytes)
	}
	var d digest
	if err := decMode.Unmarshal(encoded, &d); err != nil {
		return errors.Wrapf(err, "decode interference digest of %s", member)
	}
	at := time.UnixMilli(d.AtUnixMs)
	r := m.remoteFor(member, at)
	for _, p := range d.Profiles {
		k := Key{p.Team, p.Class}
		if len(r.profiles) >= m.opts.MaxProfiles && r.profiles[k] == nil {
			continue
		}
		r.profiles[k] = &profile{
			milliCPU: decodeSparse(p.CPU, at), memoryMB: decodeSparse(p.Memory, at),
			connections: decodeSparse(p.Connections, at), runSeconds: decodeSparse(p.Run, at), updatedAt: at,
		}
	}
	for _, p := range d.Pairs {
		k := pairKey{p.Victim, p.Neighbour}
		valid := p.Variance > 0 && p.Variance <= priorVariance && p.Mean >= 0 && p.Mean < 10
		if !valid || len(r.pairs) >= m.opts.MaxPairs && r.pairs[k] == nil {
			continue
		}
		r.pairs[k] = &effect{mean: float64(p.Mean), variance: float64(p.Variance), updatedAt: at}
	}
	return nil
}

// remoteFor returns the state of a member, new if there is none. At the limit, a new member replaces the one whose last
// digest is the oldest.
func (m *Model) remoteFor(member string, at time.Time) *remoteState {
	r := m.remote[member]
	if r == nil {
		if len(m.remote) >= maxRemoteMembers {
			m.dropStalestMember()
		}
		r = &remoteState{profiles: map[Key]*profile{}, pairs: map[pairKey]*effect{}}
		m.remote[member] = r
	}
	r.updatedAt = maxTime(r.updatedAt, at)
	return r
}

func (m *Model) dropStalestMember() {
	oldest := ""
	for _, member := range slices.Sorted(maps.Keys(m.remote)) {
		if oldest == "" || m.remote[member].updatedAt.Before(m.remote[oldest].updatedAt) {
			oldest = member
		}
	}
	delete(m.remote, oldest)
}

// RemoveMember removes the state of a member, for instance because it left and its workers report to other members.
func (m *Model) RemoveMember(member string) { delete(m.remote, member) }
