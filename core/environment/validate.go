package environment

import (
	"fmt"
	"strings"

	"waxwingslip.example/core/resource"
	"waxwingslip.example/core/strictyaml"
)

// validator checks a decoded document. Its rules are fixed for Schema.
type validator struct {
	file *strictyaml.File
	doc  *Document
	// zones and teams hold the valid names.
	zones map[string]Zone
	teams map[string]bool
	// capacity is the sum over all zones, in service or not.
	capacity resource.Vector
}

func newValidator(f *strictyaml.File, doc *Document) *validator {
	return &validator{file: f, doc: doc, zones: map[string]Zone{}, teams: map[string]bool{}}
}

func (v *validator) checkAll() {
	if v.doc.Schema != Schema {
		v.file.Add("schema", "is %d, this build understands schema %d", v.doc.Schema, Schema)
	}
	v.checkName("environment", v.doc.Environment)
	v.checkRegions()
	v.checkTeams()
	v.checkServices()
	v.checkZoneLoad()
	v.checkSharing()
	v.checkLimits()
}

func (v *validator) checkName(field, name string) {
	switch {
	case name == "":
		v.file.Add(field, "is missing, must be a name (%s)", nameRule)
	case !namePattern.MatchString(name):
		v.file.Add(field, "is %q, allowed are %s", name, nameRule)
	}
}

// checkUnique adds a problem for the second use of a name. first maps a name to the field of its first use.
func (v *validator) checkUnique(first map[string]string, field, kind, name string) {
	if name == "" {
		return
	}
	if other, dup := first[name]; dup {
		v.file.Add(field, "%s %q is declared twice, first in line %d", kind, name, v.file.Line(other))
		return
	}
	first[name] = field
}

func (v *validator) checkCount(field string, n, low, high int) {
	if n < low || n > high {
		v.file.Add(field, "has %d entries, allowed are %d to %d", n, low, high)
	}
}

func (v *validator) checkRange(field string, n, low, high int64, unit string) {
	if n < low || n > high {
		v.file.Add(field, "is %d, allowed are %d to %d %s", n, low, high, unit)
	}
}

func (v *validator) checkRegions() {
	v.checkCount("regions", len(v.doc.Regions), 1, MaxRegions)
	v.checkCount("regions", len(v.doc.ZoneNames()), 1, MaxZones)
	regions, zones := map[string]string{}, map[string]string{}
	for i, r := range v.doc.Regions {
		path := fmt.Sprintf("regions[%d]", i)
		v.checkName(path+".name", r.Name)
		v.checkUnique(regions, path+".name", "region", r.Name)
		v.checkCount(path+".zones", len(r.Zones), 1, MaxZones)
		for j, z := range r.Zones {
			zpath := fmt.Sprintf("%s.zones[%d]", path, j)
			v.checkUnique(zones, zpath+".name", "zone", z.Name)
			v.checkZone(zpath, z)
		}
	}
}

func (v *validator) checkZone(path string, z Zone) {
	v.checkName(path+".name", z.Name)
	v.checkRange(path+".workers", int64(z.Workers), 0, MaxWorkersPerZone, "workers")
	v.checkVector(path+".worker", z.Worker)
	if z.Worker.Slots < 1 {
		v.file.Add(path+".worker.slots", "is %d, a worker has at least 1 slot", z.Worker.Slots)
	}
	if z.Worker.MilliCPU < MinWorkerMilliCPU {
		v.file.Add(path+".worker.milliCPU", "is %d, a worker has at least %d; the unit is thousandths of a core",
			z.Worker.MilliCPU, MinWorkerMilliCPU)
	}
	if z.Worker.MemoryMB < MinWorkerMemoryMB {
		v.file.Add(path+".worker.memoryMB", "is %d, a worker has at least %d; the unit is megabytes (1,000,000 bytes)",
			z.Worker.MemoryMB, MinWorkerMemoryMB)
	}
	if _, dup := v.zones[z.Name]; dup {
		return
	}
	v.zones[z.Name] = z
	if z.Workers >= 0 && z.Workers <= MaxWorkersPerZone && inRange(z.Worker) {
		v.capacity = v.capacity.Add(z.Worker.Times(int64(z.Workers)))
	}
}

// component is one resource of a vector.
type component struct {
	name   string
	amount int64
}

func components(r resource.Vector) []component {
	return []component{{"slots", r.Slots}, {"connections", r.Connections}, {"milliCPU", r.MilliCPU},
		{"memoryMB", r.MemoryMB}, {"accelerators", r.Accelerators}}
}

func inRange(r resource.Vector) bool {
	for _, c := range components(r) {
		if c.amount < 0 || c.amount > MaxAmount {
			return false
		}
	}
	return true
}

func (v *validator) checkVector(path string, r resource.Vector) {
	for _, c := range components(r) {
		if c.amount < 0 || c.amount > MaxAmount {
			v.file.Add(path+"."+c.name, "is %d, allowed are 0 to %d", c.amount, MaxAmount)
		}
	}
}

func (v *validator) checkTeams() {
	v.checkCount("teams", len(v.doc.Teams), 0, MaxTeams)
	names := map[string]string{}
	for i, t := range v.doc.Teams {
		path := fmt.Sprintf("teams[%d]", i)
		v.checkName(path+".name", t.Name)
		v.checkUnique(names, path+".name", "team", t.Name)
		v.teams[t.Name] = true
		v.checkVector(path+".quota", t.Quota)
		total := components(v.capacity)
		for k, c := range components(t.Quota) {
			if c.amount > total[k].amount && c.amount <= MaxAmount {
				v.file.Add(path+".quota."+c.name, "is %d, beyond the total capacity of all zones, %d",
					c.amount, total[k].amount)
			}
		}
	}
}

func (v *validator) checkSharing() {
	v.checkCount("sharing", len(v.doc.Sharing), 0, MaxSharingRules)
	classes := map[string]string{}
	for i, r := range v.doc.Sharing {
		path := fmt.Sprintf("sharing[%d]", i)
		v.checkName(path+".class", r.Class)
		v.checkUnique(classes, path+".class", "class", r.Class)
		v.checkCount(path+".notWith", len(r.NotWith), 1, MaxNotWith)
		seen := map[string]string{}
		for j, other := range r.NotWith {
			field := fmt.Sprintf("%s.notWith[%d]", path, j)
			v.checkName(field, other)
			v.checkUnique(seen, field, "class", other)
		}
	}
}

func (v *validator) checkLimits() {
	v.checkRange("guards.evictionsPerMinute", int64(v.doc.Guards.EvictionsPerMinute), 1, MaxEvictionsPerMinute,
		"evictions per minute and zone")
	r := v.doc.Requests
	v.checkRange("requests.perCallerPerSecond", int64(r.PerCallerPerSecond), 1, MaxPerCallerPerSecond,
		"requests per second")
	v.checkRange("requests.linkBytesPerSecond", r.LinkBytesPerSecond, 1, LinkCapacityBytesPerSecond,
		"bytes per second")
}

func zoneList(set map[string]Zone) string {
	names := make([]string, 0, len(set))
	for n := range set {
		names = append(names, n)
	}
	return joinSorted(names)
}

func joinSorted(names []string) string {
	const shown = 12
	sorted := sortedCopy(names)
	if len(sorted) > shown {
		return strings.Join(sorted[:shown], ", ") + fmt.Sprintf(" and %d more", len(sorted)-shown)
	}
	return strings.Join(sorted, ", ")
}
