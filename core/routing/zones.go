package routing

// Distance is how far a zone is.
type Distance uint8

// Distances.
const (
	DistanceLocal  Distance = 0
	DistanceRegion Distance = 1
	// DistanceLink zones are reached over the link between regions, under a byte budget.
	DistanceLink Distance = 2
)

// Zone is a zone that may serve a request.
type Zone struct {
	Name, Region string
}

// Choice is a zone with its distance.
type Choice struct {
	Zone     string
	Distance Distance
}

// Order returns the zones in the order in which they are tried: the local one, those of the same region, and
// those over the link. start rotates the zones of equal distance, so that they share the load.
func Order(local string, zones []Zone, start int) []Choice {
	region := ""
	for _, z := range zones {
		if z.Name == local {
			region = z.Region
		}
	}
	var rings [3][]Choice
	for _, z := range zones {
		d := DistanceLink
		switch {
		case z.Name == local:
			d = DistanceLocal
		case region != "" && z.Region == region:
			d = DistanceRegion
		}
		rings[d] = append(rings[d], Choice{z.Name, d})
	}
	order := make([]Choice, 0, len(zones))
	for _, ring := range rings {
		for i := range ring {
			order = append(order, ring[(i+start)%len(ring)])
		}
	}
	return order
}
