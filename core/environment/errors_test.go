package environment

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// validDocument uses every field.
const validDocument = `schema: 1
environment: trial # the trial copy
regions:
  - name: lima
    zones:
      - name: lima-a
        workers: 4
        worker: {slots: 8, connections: 64, milliCPU: 32000, memoryMB: 125000}
      - {name: lima-b, workers: 4, worker: {slots: 8, connections: 64, milliCPU: 32000, memoryMB: 125000}}
teams:
  - name: rentals
    quota: {slots: 10, milliCPU: 40000, memoryMB: 100000}
services:
  - name: bookings
    team: rentals
    class: booking
    replicas: {lima-a: 3, lima-b: 2}
    size: {connections: 16, milliCPU: 4000, memoryMB: 8000}
    latencyTargetMs: 80
    timeoutMs: 3000
    idempotentPaths: [/search]
    payload: go
sharing:
  - class: booking
    notWith: [statement]
guards: {enabled: true, evictionsPerMinute: 5}
requests: {perCallerPerSecond: 10, linkBytesPerSecond: 1000}
`

// Guards against accepting an invalid document, and against errors without line, field, value and allowed values.
func TestBadDocuments(t *testing.T) {
	for _, c := range []struct{ name, old, replacement, want string }{
		{"empty", validDocument, "", "document: is empty"},
		{"syntax", "schema: 1", "schema: [1", "line 2: YAML syntax: ',' or ']' must be specified"},
		{"schema", "schema: 1", "schema: 2", "line 1: schema: is 2, this build understands schema 1"},
		{"octal", "schema: 1", "schema: 01", "line 1: schema: is 01, must be a whole number in decimal digits"},
		{"unknown key", "latencyTargetMs", "latencyTarget", `line 19: services[0].latencyTarget: unknown key, the nearest known key is "latencyTargetMs"`},
		{"unlike any key", "timeoutMs", "xyzzy", "line 20: services[0].xyzzy: unknown key, known keys are name, team"},
		{"duplicate key", "timeoutMs: 3000", "latencyTargetMs: 80", "line 20: services[0].latencyTargetMs: key is given twice, first in line 19"},
		{"unit in value", "latencyTargetMs: 80", "latencyTargetMs: 80ms", `line 19: services[0].latencyTargetMs: is "80ms", must be a whole number in decimal digits without a unit; the unit is milliseconds`},
		{"fraction", "milliCPU: 4000,", "milliCPU: 4.5,", "services[0].size.milliCPU: is 4.5, must be a whole number in decimal digits without a unit; the unit is thousandths of a core"},
		{"wrong type", "enabled: true", "enabled: 1", "line 26: guards.enabled: is 1, must be true or false"},
		{"number as name", "environment: trial", "environment: 5", "line 2: environment: is 5, must be text"},
		{"list expected", "[/search]", "/search", `line 21: services[0].idempotentPaths: is "/search", must be a list`},
		{"keys expected", "{enabled: true, evictionsPerMinute: 5}", "on", "line 26: guards: is \"on\", must be a set of keys"},
		{"anchor", "[statement]", "&x [statement]", "line 25: anchors (&) are not allowed"},
		{"alias", "[statement]", "*x", "aliases (*) are not allowed"},
		{"tag", "[statement]", "!!set [statement]", "tags (!) are not allowed"},
		{"two documents", "sharing:", "---\nsharing:", "more than one YAML document"},
		{"deep", "[statement]", strings.Repeat("[", 100), "line 25: is nested too deeply"},
		{"name", "name: bookings", "name: Bookings", `line 14: services[0].name: is "Bookings", allowed are lower-case letters`},
		{"duplicate zone", "{name: lima-b,", "{name: lima-a,", `line 9: regions[0].zones[1].name: zone "lima-a" is declared twice, first in line 6`},
		{"unknown zone", "lima-b: 2}", "cusco-a: 2}", `line 17: services[0].replicas.cusco-a: zone "cusco-a" is not declared, declared are lima-a, lima-b`},
		{"unknown team", "team: rentals", "team: rental", `line 15: services[0].team: team "rental" is not declared, declared are rentals`},
		{"cores as milliCPU", "workers: 4\n        worker: {slots: 8, connections: 64, milliCPU: 32000", "workers: 4\n        worker: {slots: 8, connections: 64, milliCPU: 32",
			"line 8: regions[0].zones[0].worker.milliCPU: is 32, a worker has at least 1000; the unit is thousandths of a core"},
		{"larger than any worker", "milliCPU: 4000,", "milliCPU: 40000,", "line 18: services[0].size.milliCPU: is 40000, the largest worker of zone lima-a has 32000"},
		{"replicas do not fit", "lima-b: 2}", "lima-b: 17}", "line 17: services[0].replicas.lima-b: is 17, but the 4 workers of zone lima-b hold at most 16 replicas, limited by connections"},
		{"replicas exclude each other", "[statement]", "[booking]\n  - {class: x, notWith: [y]}\n", ""},
		{"negative", "lima-b: 2}", "lima-b: -2}", "is -2, allowed are 0 to 20000 replicas"},
		{"quota", "slots: 10,", "slots: 65,", "line 12: teams[0].quota.slots: is 65, beyond the total capacity of all zones, 64"},
		{"path", "[/search]", `["search"]`, `services[0].idempotentPaths[0]: is "search", must be a path that starts with /`},
		{"missing size", ", memoryMB: 8000", "", "services[0].size.memoryMB: is missing, a task reserves at least 1"},
		{"missing target", "    latencyTargetMs: 80\n", "", "services[0].latencyTargetMs: is 0, allowed are 1 to 600000 milliseconds"},
		{"too many workers", "workers: 4,", "workers: 10001,", "is 10001, allowed are 0 to 10000 workers"},
		{"link", "linkBytesPerSecond: 1000", "linkBytesPerSecond: 30000000", "requests.linkBytesPerSecond: is 30000000, allowed are 1 to 3750000 bytes per second"},
		{"huge number", "slots: 10,", "slots: 9223372036854775807,", "teams[0].quota.slots: is 9223372036854775807, allowed are 0 to 1000000000"},
		{"no class to exclude", "[statement]", "[]", "sharing[0].notWith: has 0 entries, allowed are 1 to 100"},
		{"too large", "payload: go", "payload: " + strings.Repeat("x", MaxDocumentBytes), "bytes, allowed are 204800"},
		{"payload", "payload: go", "payload: " + strings.Repeat("x", MaxPayloadBytes+1), "services[0].payload: has 16385 bytes, allowed are 16384"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(validDocument, c.old, c.replacement, 1)
			is.True(text != validDocument)
			_, err := Parse([]byte(text))
			if c.want == "" {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			if !strings.Contains(err.Error(), c.want) {
				t.Fatalf("got:\n%v\nwant: %s", err, c.want)
			}
		})
	}
}

// Guards against an error that reports only the first problem.
func TestAllProblemsAtOnce(t *testing.T) {
	is := is.New(t)
	text := strings.NewReplacer("team: rentals", "team: r", "lima-b: 2", "x: 2", "slots: 10", "slots: 99").
		Replace(validDocument)
	_, err := Parse([]byte(text))
	is.True(err != nil)
	is.Equal(strings.Count(err.Error(), "\n")+1, 3)
}

// Guards against accepting the replicas of two services that fit a zone alone but not together.
func TestServicesTogether(t *testing.T) {
	is := is.New(t)
	text := strings.NewReplacer("lima-a: 3", "lima-a: 16", "sharing:", `  - name: pickups
    team: rentals
    class: booking
    replicas: {lima-a: 1}
    size: {connections: 1, milliCPU: 1, memoryMB: 1}
    latencyTargetMs: 80
sharing:`).Replace(validDocument)
	_, err := Parse([]byte(text))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "line 7: regions[0].zones[0].workers: the replicas of all services in zone "+
		"lima-a need connections 257, its 4 workers have 256"))
}

// Guards against a parser that panics or loops, and against accepted documents that differ from themselves or that an
// edit makes invalid.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validDocument))
	f.Add([]byte("schema: 1\nregions: [{zones: [{}]}]\n"))
	f.Add([]byte("- - - - - -\n? a\n: b\n"))
	f.Add([]byte("a: &x [*x]\n<<: *x\n"))
	f.Add([]byte("environment: |\n  x\n\ttab: {"))
	f.Add([]byte("\xef\xbb\xbfschema: 0x1\r\nregions:\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := Parse(data)
		if err != nil {
			return
		}
		if changes := Diff(doc, doc); len(changes) != 0 {
			t.Fatalf("document differs from itself: %v", changes)
		}
		for _, z := range doc.ZoneNames() {
			edited, err := SetZone(data, z, true)
			if err != nil {
				continue
			}
			if _, err := Parse(edited); err != nil {
				t.Fatalf("edit made the document invalid: %v", err)
			}
		}
	})
}
