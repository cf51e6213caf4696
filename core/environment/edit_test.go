package environment

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/resource"
)

// Guards against an edit that loses a comment or changes anything but the zone's state.
func TestSetZone(t *testing.T) {
	for _, zone := range []string{"lima-a", "lima-b"} {
		for _, newline := range []string{"\n", "\r\n"} {
			is := is.New(t)
			text := []byte(strings.ReplaceAll(validDocument, "\n", newline))
			out, err := SetZone(text, zone, true)
			is.NoErr(err)
			added := bytes.Replace(out, []byte("        outOfService: true"+newline), nil, 1)
			added = bytes.Replace(added, []byte(", outOfService: true"), nil, 1)
			is.Equal(string(added), string(text))
			a, err := Parse(text)
			is.NoErr(err)
			b, err := Parse(out)
			is.NoErr(err)
			is.Equal(Diff(a, b), []Change{{ChangeZoneService, zone, "taken out of service"}})
			again, err := SetZone(out, zone, true)
			is.NoErr(err)
			is.Equal(again, out)
			back, err := SetZone(out, zone, false)
			is.NoErr(err)
			c, err := Parse(back)
			is.NoErr(err)
			is.True(Equal(a, c))
		}
	}
	_, err := SetZone([]byte(validDocument), "lima-c", true)
	is.New(t).True(strings.Contains(err.Error(), `"lima-c", declared are lima-a, lima-b`))
}

// Guards against a sequence of edits after which a zone is not in the state of its last edit.
func TestSetZoneSequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := []byte(validDocument)
		want := map[string]bool{}
		for range rapid.IntRange(1, 6).Draw(t, "edits") {
			zone := rapid.SampledFrom([]string{"lima-a", "lima-b"}).Draw(t, "zone")
			want[zone] = rapid.Bool().Draw(t, "out")
			var err error
			if text, err = SetZone(text, zone, want[zone]); err != nil {
				t.Fatal(err)
			}
		}
		doc, err := Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		for zone, out := range want {
			if _, z, _ := doc.FindZone(zone); z.OutOfService != out {
				t.Fatalf("zone %s: out of service %v, want %v", zone, z.OutOfService, out)
			}
		}
	})
}

// Guards against a promotion that changes more than the environment's name.
func TestPromote(t *testing.T) {
	is := is.New(t)
	out, err := Promote([]byte(validDocument), "production")
	is.NoErr(err)
	is.Equal(string(out), strings.Replace(validDocument, "environment: trial", "environment: production", 1))
	_, err = Promote([]byte(validDocument), "no: name")
	is.True(err != nil)
}

// Guards against a trial document in the production stream, and against the removal of a zone that still has tasks.
func TestCheckSuccessor(t *testing.T) {
	is := is.New(t)
	a, err := Parse([]byte(validDocument))
	is.NoErr(err)
	is.Equal(len(CheckSuccessor(a, a)), 0)
	b := *a
	b.Environment = "production"
	b.Regions = []Region{{Name: "lima", Zones: a.Regions[0].Zones[:1]}}
	problems := CheckSuccessor(a, &b)
	is.Equal(len(problems), 2)
	out, _, _ := withZone(a, "lima-b", true)
	b.Environment = a.Environment
	is.Equal(len(CheckSuccessor(out, &b)), 0)
}

// Guards against a change that is not shown to operators before they publish it.
func TestDiff(t *testing.T) {
	is := is.New(t)
	a, err := Parse([]byte(validDocument))
	is.NoErr(err)
	b, err := Parse([]byte(strings.NewReplacer("workers: 4,", "workers: 5,", "lima-a: 3, ", "", "slots: 10", "slots: 12",
		"[statement]", "[booking]", "enabled: true", "enabled: false", "payload: go", "payload: gone",
		"timeoutMs: 3000", "timeoutMs: 4000", "linkBytesPerSecond: 1000", "linkBytesPerSecond: 2000").Replace(validDocument)))
	is.NoErr(err)
	var got []string
	for _, c := range Diff(a, b) {
		got = append(got, c.String())
	}
	is.Equal(got, []string{
		"zone lima-b: workers 4 -> 5",
		"team rentals: quota, slots 10 -> 12",
		"service bookings: replicas in zone lima-a 3 -> 0",
		"service bookings: request timeout 3000 ms -> 4000 ms",
		"service bookings: payload changed, replicas are replaced",
		"sharing: two tasks of class booking may no longer share a VM",
		"sharing: classes booking and statement may share a VM",
		"guards: turned off",
		"requests: link budget 1000 -> 2000 bytes/s",
	})
	is.Equal(Diff(nil, a)[0].String(), "region lima: added, 2 zones")
}

const validJob = `id: nightly
team: rentals
class: statement
tasks: 10
size: {milliCPU: 4000, memoryMB: 10000}
zones: [lima-a]
`

// Guards against accepting a job that can never start because it exceeds its quota or every worker.
func TestJobs(t *testing.T) {
	is := is.New(t)
	doc, err := Parse([]byte(validDocument))
	is.NoErr(err)
	spec, err := ParseJob([]byte(validJob), "")
	is.NoErr(err)
	is.Equal(spec, record.JobSpec{ID: "nightly", Team: "rentals", Class: "statement", Priority: record.PriorityBatch,
		Tasks: 10, Size: resource.Vector{Slots: 1, MilliCPU: 4000, MemoryMB: 10000}, MaxAttempts: 3, Zones: []string{"lima-a"}})
	is.Equal(CheckJob(doc, spec), nil)
	for _, c := range []struct{ old, replacement, want string }{
		{"tasks: 10", "tasks: 11", "tasks: 11 tasks need slots 11, the quota of team rentals is 10"},
		{"[lima-a]", "[cusco]", `zones[0]: "cusco" is not declared in environment trial`},
		{"team: rentals", "team: rental", `team: "rental" is not declared in environment trial`},
		{"tasks: 10", "tasks: 1000000", "line 4: tasks: is 1000000, allowed are 1 to 20000 tasks"},
		{"id: nightly", "id: service/x", `line 1: id: is "service/x", allowed are lower-case letters`},
		{"milliCPU: 4000", "milliCPU: 4", ""},
		{"tasks: 10", "tasks: 1\nurgent: yes", `line 5: urgent: is "yes", must be true or false`},
	} {
		spec, err := ParseJob([]byte(strings.Replace(validJob, c.old, c.replacement, 1)), "")
		got := ""
		if err != nil {
			got = err.Error()
		} else {
			got = strings.Join(CheckJob(doc, spec), "\n")
		}
		if !strings.Contains(got, c.want) || (c.want == "") != (got == "") {
			t.Errorf("%s: got %q, want %q", c.replacement, got, c.want)
		}
	}
	spec.Size.MilliCPU, spec.Tasks = 33000, 1
	is.Equal(CheckJob(doc, spec), []string{"size.milliCPU: is 33000, the largest worker of zone lima-a has 32000 " +
		"and no other allowed zone fits"})
}
