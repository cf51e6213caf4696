package environment

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"waxwingslip.example/core/resource"
)

func sortedCopy(names []string) []string { return slices.Sorted(slices.Values(names)) }

func (v *validator) checkServices() {
	v.checkCount("services", len(v.doc.Services), 0, MaxServices)
	names := map[string]string{}
	for i, s := range v.doc.Services {
		path := fmt.Sprintf("services[%d]", i)
		v.checkName(path+".name", s.Name)
		v.checkUnique(names, path+".name", "service", s.Name)
		v.checkName(path+".class", s.Class)
		if !v.teams[s.Team] {
			v.file.Add(path+".team", "team %q is not declared, declared are %s", s.Team,
				joinSorted(slices.Collect(maps.Keys(v.teams))))
		}
		v.checkRange(path+".latencyTargetMs", s.LatencyTargetMs, 1, MaxLatencyTargetMs, "milliseconds")
		v.checkRange(path+".timeoutMs", s.TimeoutMs, 1, MaxTimeoutMs, "milliseconds")
		if len(s.Payload) > MaxPayloadBytes {
			v.file.Add(path+".payload", "has %d bytes, allowed are %d", len(s.Payload), MaxPayloadBytes)
		}
		v.checkPaths(path+".idempotentPaths", s.IdempotentPaths)
		v.checkTaskSize(path+".size", s.Size)
		v.checkReplicas(path, s)
	}
}

func (v *validator) checkPaths(path string, list []string) {
	v.checkCount(path, len(list), 0, MaxIdempotentPaths)
	for i, p := range list {
		if !strings.HasPrefix(p, "/") || len(p) > MaxPathBytes || strings.ContainsAny(p, "?#% \t\r\n") ||
			strings.Contains(p, "..") || strings.Contains(p, "//") {
			v.file.Add(fmt.Sprintf("%s[%d]", path, i),
				"is %q, must be a path that starts with /, without //, .., ?, #, %% or spaces, at most %d bytes",
				p, MaxPathBytes)
		}
	}
}

func (v *validator) checkTaskSize(path string, size resource.Vector) {
	v.checkVector(path, size)
	for _, c := range components(size) {
		if (c.name == "slots" || c.name == "milliCPU" || c.name == "memoryMB") && c.amount == 0 {
			v.file.Add(path+"."+c.name, "is missing, a task reserves at least 1")
		}
	}
}

func (v *validator) checkReplicas(path string, s Service) {
	if len(s.Replicas) == 0 {
		v.file.Add(path+".replicas", "is missing, must give a number of replicas for at least one zone")
	}
	for _, zone := range slices.Sorted(maps.Keys(s.Replicas)) {
		n := s.Replicas[zone]
		field := path + ".replicas." + zone
		z, ok := v.zones[zone]
		if !ok {
			v.file.Add(field, "zone %q is not declared, declared are %s", zone, zoneList(v.zones))
			continue
		}
		v.checkRange(field, int64(n), 0, MaxReplicas, "replicas")
		if n < 1 {
			continue
		}
		if limit := s.Size.Limiting(z.Worker); limit != "" {
			v.file.Add(path+".size."+limit, "is %d, the largest worker of zone %s has %d",
				amountOf(s.Size, limit), zone, amountOf(z.Worker, limit))
			continue
		}
		v.checkReplicasFit(field, s, z, int64(n))
	}
}

// checkReplicasFit checks that the replicas of one service fit the zone's workers if nothing else runs there.
func (v *validator) checkReplicasFit(field string, s Service, z Zone, n int64) {
	perWorker := int64(MaxAmount)
	limit := ""
	worker := components(z.Worker)
	for i, c := range components(s.Size) {
		if c.amount > 0 && worker[i].amount/c.amount < perWorker {
			perWorker, limit = worker[i].amount/c.amount, c.name
		}
	}
	if v.excludesItself(s.Class) {
		perWorker, limit = 1, "the sharing rule of class "+s.Class
	}
	if capacity := perWorker * int64(z.Workers); n > capacity {
		v.file.Add(field, "is %d, but the %d workers of zone %s hold at most %d replicas, limited by %s",
			n, z.Workers, z.Name, capacity, limit)
	}
}

// excludesItself reports whether a sharing rule forbids two tasks of a class on one VM.
func (v *validator) excludesItself(class string) bool {
	for _, r := range v.doc.Sharing {
		if r.Class == class && slices.Contains(r.NotWith, class) {
			return true
		}
	}
	return false
}

// checkZoneLoad checks that the replicas of all services together fit each zone.
func (v *validator) checkZoneLoad() {
	for i, r := range v.doc.Regions {
		for j, z := range r.Zones {
			var sum resource.Vector
			for _, s := range v.doc.Services {
				if n := s.Replicas[z.Name]; n > 0 && n <= MaxReplicas && inRange(s.Size) {
					sum = sum.Add(s.Size.Times(int64(n)))
				}
			}
			if z.Workers < 0 || z.Workers > MaxWorkersPerZone || !inRange(z.Worker) {
				continue
			}
			total := z.Worker.Times(int64(z.Workers))
			if limit := sum.Limiting(total); limit != "" {
				v.file.Add(fmt.Sprintf("regions[%d].zones[%d].workers", i, j),
					"the replicas of all services in zone %s need %s %d, its %d workers have %d",
					z.Name, limit, amountOf(sum, limit), z.Workers, amountOf(total, limit))
			}
		}
	}
}

func amountOf(r resource.Vector, name string) int64 {
	for _, c := range components(r) {
		if c.name == name {
			return c.amount
		}
	}
	return 0
}
