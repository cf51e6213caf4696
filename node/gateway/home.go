package gateway

import (
	"slices"
	"sync"
	"time"

	"waxwingslip.example/core/claim"
	"waxwingslip.example/core/routing"
)

// homeSettle is how long after this daemon saw other zones in the document new keys may have been claimed under the
// old ones: 7 s until the document is in force everywhere, claim.Ahead for keys from the future and claim.ClockSkew.
const homeSettle = 7*time.Second + claim.Ahead + claim.ClockSkew

// homes remembers which zones the document had while claims are kept. A key whose home zone moved when a zone was
// added or removed could otherwise be claimed in both. It is safe for concurrent use.
type homes struct {
	mu sync.Mutex
	// zones and earlier are guarded by mu.
	zones   []string
	earlier []formerZones
}

// formerZones are zones that were in force until a wall clock time.
type formerZones struct {
	zones       []string
	untilUnixMs int64
}

// moved notes the document's zones and reports whether a key may have been claimed in another home zone.
func (h *homes) moved(key claim.Key, zones []string, nowUnixMs int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.zones != nil && !slices.Equal(h.zones, zones) {
		h.earlier = append(h.earlier, formerZones{h.zones, nowUnixMs})
	}
	h.zones = slices.Clone(zones)
	forget := nowUnixMs - (claim.Retention + homeSettle).Milliseconds()
	h.earlier = slices.DeleteFunc(h.earlier, func(f formerZones) bool { return f.untilUnixMs < forget })
	home := claim.HomeZone(key, zones)
	for _, f := range h.earlier {
		if key.UnixMs() < f.untilUnixMs+homeSettle.Milliseconds() && claim.HomeZone(key, f.zones) != home {
			return true
		}
	}
	return false
}

// home returns the key's home zone and how far it is, or "" if the stated zone does not exist. moved is true if the
// key may have been claimed in another zone.
func (g *Gateway) home(stated string, key claim.Key) (home string, choice routing.Choice, moved bool) {
	var names []string
	var zones []routing.Zone
	for _, z := range g.opts.Catalog.Zones() {
		names = append(names, z.Name)
		zones = append(zones, routing.Zone{Name: z.Name, Region: z.Region})
	}
	slices.Sort(names)
	if home = stated; home == "" {
		moved = g.homes.moved(key, names, time.Now().UnixMilli())
		if home = claim.HomeZone(key, names); home == "" {
			home = g.opts.Zone
		}
	}
	if home == g.opts.Zone {
		return home, routing.Choice{Zone: home}, moved
	}
	for _, choice := range routing.Order(g.opts.Zone, zones, 0) {
		if choice.Zone == home {
			return home, choice, moved
		}
	}
	return "", routing.Choice{}, moved
}
