package routing

// Distance is the network distance of a zone.
type Distance uint8

// Distances from the local zone.
const (
	DistanceLocal  Distance = 0
	DistanceRegion Distance = 1
	// DistanceLink is that of zones reached over the link between regions, whose bytes are limited by a budget.
	DistanceLink Distance = 2
)

// Zone is a zone that may serve a request.
type Zone struct {
	Name, Region string
}

// Candidate is a zone with its distance.
type Candidate struct {
	Zone     string
	Distance Distance
}

// OrderZones returns the zones in the order in which they are tried: the local one, those of the same region, and
// those over the link. The zones of equal distance are rotated by rotation, so that they share the load.
func OrderZones(local string, zones []Zone, rotation int) []Candidate {
	region := ""
	for _, z := range zones {
		if z.Name == local {
			region = z.Region
		}
	}
	var byDistance [3][]Candidate
	for _, z := range zones {
		d := DistanceLink
		switch {
		case z.Name == local:
			d = DistanceLocal
		case region != "" && z.Region == region:
			d = DistanceRegion
		}
		byDistance[d] = append(byDistance[d], Candidate{z.Name, d})
	}
	order := make([]Candidate, 0, len(zones))
	for _, group := range byDistance {
		for i := range group {
			order = append(order, group[(i+rotation)%len(group)])
		}
	}
	return order
}
