package environment

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"waxwingslip.example/core/resource"
)

// ChangeKind groups changes by their effect.
type ChangeKind string

// Kinds of changes.
const (
	ChangeEnvironment ChangeKind = "environment"
	ChangeRegion      ChangeKind = "region"
	ChangeZone        ChangeKind = "zone"
	// ChangeZoneService means that a zone is taken out of service or put back.
	ChangeZoneService ChangeKind = "zone-in-service"
	ChangeTeam        ChangeKind = "team"
	ChangeService     ChangeKind = "service"
	ChangeSharing     ChangeKind = "sharing"
	ChangeGuards      ChangeKind = "guards"
	ChangeRequests    ChangeKind = "requests"
)

// Change is one difference between two documents.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Subject is the name of the changed item, for instance of a zone or a service; empty for settings of the
	// whole environment.
	Subject string `json:"subject,omitempty"`
	// Text describes the change in one line.
	Text string `json:"text"`
}

// String formats the change for a terminal.
func (c Change) String() string {
	if c.Subject == "" {
		return fmt.Sprintf("%s: %s", c.Kind, c.Text)
	}
	return fmt.Sprintf("%s %s: %s", c.Kind, c.Subject, c.Text)
}

// Diff returns the differences between two valid documents. A nil old document stands for an empty environment. The
// order of lists in the documents is not compared; the result follows the order of the newer one.
func Diff(old, newer *Document) []Change {
	if old == nil {
		old = &Document{Environment: newer.Environment}
		applyDefaults(old)
	}
	d := &differ{}
	if old.Environment != newer.Environment {
		d.add(ChangeEnvironment, "", "name %s -> %s", old.Environment, newer.Environment)
	}
	d.diffZones(old, newer)
	diffList(d, ChangeTeam, old.Teams, newer.Teams, func(t Team) string { return t.Name }, d.diffTeam,
		func(t Team) string { return "quota " + vectorText(t.Quota) })
	diffList(d, ChangeService, old.Services, newer.Services, func(s Service) string { return s.Name }, d.diffService,
		func(s Service) string { return "replicas " + replicasText(s.Replicas) })
	d.diffSharing(old, newer)
	d.diffGuards(old.Guards, newer.Guards)
	d.diffRequests(old.Requests, newer.Requests)
	return d.changes
}

type differ struct{ changes []Change }

func (d *differ) add(kind ChangeKind, subject, format string, args ...any) {
	d.changes = append(d.changes, Change{Kind: kind, Subject: subject, Text: fmt.Sprintf(format, args...)})
}

func diffList[T any](d *differ, kind ChangeKind, old, newer []T, name func(T) string, changed func(a, b T),
	summary func(T) string) {
	for _, n := range newer {
		i := slices.IndexFunc(old, func(o T) bool { return name(o) == name(n) })
		if i < 0 {
			d.add(kind, name(n), "added, %s", summary(n))
			continue
		}
		changed(old[i], n)
	}
	for _, o := range old {
		if !slices.ContainsFunc(newer, func(n T) bool { return name(n) == name(o) }) {
			d.add(kind, name(o), "removed")
		}
	}
}

// zoneInRegion is a zone with its region.
type zoneInRegion struct {
	Zone
	region string
}

func zonesInRegions(doc *Document) []zoneInRegion {
	var list []zoneInRegion
	for _, r := range doc.Regions {
		for _, z := range r.Zones {
			list = append(list, zoneInRegion{Zone: z, region: r.Name})
		}
	}
	return list
}

func (d *differ) diffZones(old, newer *Document) {
	diffList(d, ChangeRegion, old.Regions, newer.Regions, func(r Region) string { return r.Name },
		func(_, _ Region) {}, func(r Region) string { return fmt.Sprintf("%d zones", len(r.Zones)) })
	diffList(d, ChangeZone, zonesInRegions(old), zonesInRegions(newer), func(z zoneInRegion) string { return z.Name },
		d.diffZone,
		func(z zoneInRegion) string {
			return fmt.Sprintf("region %s, %d workers, %s", z.region, z.Workers, serviceStateText(z.OutOfService))
		})
}

func serviceStateText(outOfService bool) string {
	if outOfService {
		return "out of service"
	}
	return "in service"
}

func (d *differ) diffZone(a, b zoneInRegion) {
	if a.OutOfService != b.OutOfService {
		text := "put back in service"
		if b.OutOfService {
			text = "taken out of service"
		}
		d.add(ChangeZoneService, b.Name, "%s", text)
	}
	if a.region != b.region {
		d.add(ChangeZone, b.Name, "region %s -> %s", a.region, b.region)
	}
	if a.Workers != b.Workers {
		d.add(ChangeZone, b.Name, "workers %d -> %d", a.Workers, b.Workers)
	}
	d.diffVector(ChangeZone, b.Name, "largest worker", a.Worker, b.Worker)
}

func (d *differ) diffVector(kind ChangeKind, subject, label string, a, b resource.Vector) {
	newer := components(b)
	for i, c := range components(a) {
		if c.amount != newer[i].amount {
			d.add(kind, subject, "%s, %s %d -> %d", label, c.name, c.amount, newer[i].amount)
		}
	}
}

func (d *differ) diffTeam(a, b Team) { d.diffVector(ChangeTeam, b.Name, "quota", a.Quota, b.Quota) }

func (d *differ) diffService(a, b Service) {
	text := func(label, x, y string) {
		if x != y {
			d.add(ChangeService, b.Name, "%s %s -> %s", label, x, y)
		}
	}
	text("team", a.Team, b.Team)
	text("class", a.Class, b.Class)
	zones := maps.Clone(a.Replicas)
	if zones == nil {
		zones = map[string]int{}
	}
	maps.Copy(zones, b.Replicas)
	for _, z := range slices.Sorted(maps.Keys(zones)) {
		if a.Replicas[z] != b.Replicas[z] {
			d.add(ChangeService, b.Name, "replicas in zone %s %d -> %d", z, a.Replicas[z], b.Replicas[z])
		}
	}
	d.diffVector(ChangeService, b.Name, "size of a replica", a.Size, b.Size)
	text("latency target (p99)", fmt.Sprintf("%d ms", a.LatencyTargetMs), fmt.Sprintf("%d ms", b.LatencyTargetMs))
	text("request timeout", fmt.Sprintf("%d ms", a.TimeoutMs), fmt.Sprintf("%d ms", b.TimeoutMs))
	text("idempotent paths", pathsText(a.IdempotentPaths), pathsText(b.IdempotentPaths))
	if a.Payload != b.Payload {
		d.add(ChangeService, b.Name, "payload changed, replicas are replaced")
	}
}

func pathsText(paths []string) string {
	if len(paths) == 0 {
		return "none"
	}
	return strings.Join(sortedCopy(paths), " ")
}

func (d *differ) diffSharing(old, newer *Document) {
	before, after := exclusions(old), exclusions(newer)
	for _, p := range slices.Sorted(maps.Keys(after)) {
		if !before[p] {
			d.add(ChangeSharing, "", "%s may no longer share a VM", p)
		}
	}
	for _, p := range slices.Sorted(maps.Keys(before)) {
		if !after[p] {
			d.add(ChangeSharing, "", "%s may share a VM", p)
		}
	}
}

// exclusions returns descriptions of the pairs of classes that must not share a VM, independent of the order within a
// pair.
func exclusions(doc *Document) map[string]bool {
	set := map[string]bool{}
	for _, r := range doc.Sharing {
		for _, other := range r.NotWith {
			pair := sortedCopy([]string{r.Class, other})
			if r.Class == other {
				set["two tasks of class "+r.Class] = true
				continue
			}
			set["classes "+pair[0]+" and "+pair[1]] = true
		}
	}
	return set
}

func (d *differ) diffGuards(a, b Guards) {
	if a.Enabled != b.Enabled {
		text := "turned off"
		if b.Enabled {
			text = "turned on"
		}
		d.add(ChangeGuards, "", "%s", text)
	}
	if a.EvictionsPerMinute != b.EvictionsPerMinute {
		d.add(ChangeGuards, "", "evictions per minute and zone %d -> %d", a.EvictionsPerMinute, b.EvictionsPerMinute)
	}
}

func (d *differ) diffRequests(a, b RequestLimits) {
	if a.PerCallerPerSecond != b.PerCallerPerSecond {
		d.add(ChangeRequests, "", "requests per second of one caller %d -> %d", a.PerCallerPerSecond, b.PerCallerPerSecond)
	}
	if a.LinkBytesPerSecond != b.LinkBytesPerSecond {
		d.add(ChangeRequests, "", "link budget %d -> %d bytes/s", a.LinkBytesPerSecond, b.LinkBytesPerSecond)
	}
}

func vectorText(r resource.Vector) string {
	var parts []string
	for _, c := range components(r) {
		if c.amount != 0 {
			parts = append(parts, fmt.Sprintf("%s %d", c.name, c.amount))
		}
	}
	if len(parts) == 0 {
		return "nothing"
	}
	return strings.Join(parts, ", ")
}

func replicasText(replicas map[string]int) string {
	var parts []string
	for _, z := range slices.Sorted(maps.Keys(replicas)) {
		parts = append(parts, fmt.Sprintf("%s %d", z, replicas[z]))
	}
	return strings.Join(parts, ", ")
}

// Equal reports whether two documents are equal, including the order of lists.
func Equal(a, b *Document) bool { return reflect.DeepEqual(a, b) }
