package gateway

import (
	"slices"
	"sync"
	"time"

	"waxwingslip.example/core/claim"
	"waxwingslip.example/core/routing"
)

// homeSettleTime is how long, after this daemon first saw the document's changed zones, new keys may still be claimed
// by the old ones: 7 s until the document is in force everywhere, claim.MaxKeyAhead for keys with a future time, and
// claim.ClockSkew.
const homeSettleTime = 7*time.Second + claim.MaxKeyAhead + claim.ClockSkew

// homeZoneHistory records which zones the document had, for as long as claims are kept. Otherwise a key whose home zone
// changed when a zone was added or removed could be claimed in both zones. It is safe for concurrent use.
type homeZoneHistory struct {
	mu sync.Mutex
	// zones and former are guarded by mu.
	zones  []string
	former []formerZones
}

// formerZones is a list of zones that was in force until a wall clock time.
type formerZones struct {
	zones       []string
	untilUnixMs int64
}

// mayHaveMoved records the document's zones and reports whether a key may have been claimed in another home zone.
func (h *homeZoneHistory) mayHaveMoved(key claim.Key, zones []string, nowUnixMs int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.zones != nil && !slices.Equal(h.zones, zones) {
		h.former = append(h.former, formerZones{h.zones, nowUnixMs})
	}
	h.zones = slices.Clone(zones)
	oldestUnixMs := nowUnixMs - (claim.Retention + homeSettleTime).Milliseconds()
	h.former = slices.DeleteFunc(h.former, func(f formerZones) bool { return f.untilUnixMs < oldestUnixMs })
	home := claim.HomeZone(key, zones)
	for _, f := range h.former {
		if key.UnixMs() < f.untilUnixMs+homeSettleTime.Milliseconds() && claim.HomeZone(key, f.zones) != home {
			return true
		}
	}
	return false
}

// homeZone returns the key's home zone and its distance, or "" if statedZone does not exist. statedZone is empty for a
// key without a zone. mayHaveMoved is true if the key may have been claimed in another zone.
func (g *Gateway) homeZone(
	statedZone string, key claim.Key,
) (home string, candidate routing.Candidate, mayHaveMoved bool) {
	var names []string
	var zones []routing.Zone
	for _, z := range g.opts.Catalog.Zones() {
		names = append(names, z.Name)
		zones = append(zones, routing.Zone{Name: z.Name, Region: z.Region})
	}
	slices.Sort(names)
	if home = statedZone; home == "" {
		mayHaveMoved = g.homeHistory.mayHaveMoved(key, names, time.Now().UnixMilli())
		if home = claim.HomeZone(key, names); home == "" {
			home = g.opts.Zone
		}
	}
	if home == g.opts.Zone {
		return home, routing.Candidate{Zone: home}, mayHaveMoved
	}
	for _, candidate := range routing.OrderZones(g.opts.Zone, zones, 0) {
		if candidate.Zone == home {
			return home, candidate, mayHaveMoved
		}
	}
	return "", routing.Candidate{}, mayHaveMoved
}
