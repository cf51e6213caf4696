package environment

import (
	"fmt"
	"regexp"
	"slices"

	"waxwingslip.example/core/record"
	"waxwingslip.example/core/resource"
	"waxwingslip.example/core/strictyaml"
)

// MaxJobFileBytes limits the YAML text of a job file.
const MaxJobFileBytes = 64 << 10

// Limits of batch jobs.
const (
	// MaxTasksPerJob is the limit in the state of the control stream and of the zone streams.
	MaxTasksPerJob = 20_000
	MaxAttempts    = 100
	// MaxRunSeconds is 30 days.
	MaxRunSeconds = 30 * 24 * 60 * 60
	// DefaultMaxAttempts is the number of failed runs of a task after which its job fails.
	DefaultMaxAttempts = 3
)

const jobIDRule = "lower-case letters, digits, dots, underscores and hyphens, at most 128 characters, " +
	"starting with a letter or digit"

var jobIDPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,127}$`)

// jobFile is the YAML form of a batch job.
type jobFile struct {
	ID          string          `yaml:"id"`
	Team        string          `yaml:"team"`
	Class       string          `yaml:"class"`
	Urgent      bool            `yaml:"urgent"`
	Tasks       int             `yaml:"tasks"`
	Size        resource.Vector `yaml:"size"`
	RunSeconds  int64           `yaml:"runSeconds"`
	MaxAttempts int             `yaml:"maxAttempts"`
	Zones       []string        `yaml:"zones"`
	Payload     string          `yaml:"payload"`
}

// ParseJob decodes and validates a job file. A non-empty id replaces the one in the file, so that a file can
// be submitted again as another job. Its error is a *strictyaml.Error with all problems.
func ParseJob(data []byte, id string) (record.JobSpec, error) {
	var j jobFile
	f := strictyaml.Decode(data, MaxJobFileBytes, &j)
	if id != "" {
		j.ID = id
	}
	setDefault(&j.Size.Slots, DefaultSlots)
	setDefault(&j.MaxAttempts, DefaultMaxAttempts)
	if id != "" && !jobIDPattern.MatchString(id) {
		// The id is not in the file, so that the problem has no line.
		f.Add("given id", "is %q, allowed are %s", id, jobIDRule)
	}
	if f.OK() {
		checkJobFile(f, j)
	}
	if err := f.Err(""); err != nil {
		return record.JobSpec{}, err
	}
	spec := record.JobSpec{ID: j.ID, Team: j.Team, Class: j.Class, Priority: record.PriorityBatch,
		Tasks: j.Tasks, Size: j.Size, RunSeconds: j.RunSeconds, Payload: j.Payload,
		MaxAttempts: j.MaxAttempts, Zones: j.Zones}
	if j.Urgent {
		spec.Priority = record.PriorityUrgent
	}
	return spec, nil
}

func checkJobFile(f *strictyaml.File, j jobFile) {
	v := newValidator(f, &Document{})
	if !jobIDPattern.MatchString(j.ID) {
		f.Add("id", "is %q, allowed are %s", j.ID, jobIDRule)
	}
	v.checkName("team", j.Team)
	v.checkName("class", j.Class)
	v.checkRange("tasks", int64(j.Tasks), 1, MaxTasksPerJob, "tasks")
	v.checkRange("runSeconds", j.RunSeconds, 0, MaxRunSeconds, "seconds")
	v.checkRange("maxAttempts", int64(j.MaxAttempts), 1, MaxAttempts, "attempts")
	v.checkTaskSize("size", j.Size)
	v.checkCount("zones", len(j.Zones), 0, MaxZones)
	seen := map[string]string{}
	for i, z := range j.Zones {
		field := fmt.Sprintf("zones[%d]", i)
		v.checkName(field, z)
		v.checkUnique(seen, field, "zone", z)
	}
	if len(j.Payload) > MaxPayloadBytes {
		f.Add("payload", "has %d bytes, allowed are %d", len(j.Payload), MaxPayloadBytes)
	}
}

// CheckJob returns the reasons why a batch job is invalid or can never run in the environment, or nil.
func CheckJob(d *Document, j record.JobSpec) []string {
	f := &strictyaml.File{}
	checkJobFile(f, jobFile{ID: j.ID, Team: j.Team, Class: j.Class, Tasks: j.Tasks, Size: j.Size,
		RunSeconds: j.RunSeconds, MaxAttempts: j.MaxAttempts, Zones: j.Zones, Payload: j.Payload})
	if j.Priority != record.PriorityBatch && j.Priority != record.PriorityUrgent {
		f.Add("priority", "is %d, allowed are %d (batch) and %d (urgent)", j.Priority,
			record.PriorityBatch, record.PriorityUrgent)
	}
	if j.Service != "" || j.Revision != 0 {
		f.Add("service", "must be empty, replicas of services are declared in the document")
	}
	if f.OK() {
		checkQuota(f, d, j)
		checkZones(f, d, j)
	}
	var problems []string
	for _, p := range f.Problems() {
		problems = append(problems, p.String())
	}
	return problems
}

// checkQuota adds a problem for an undeclared team, and for a job larger than the team's quota.
func checkQuota(f *strictyaml.File, d *Document, j record.JobSpec) {
	team := slices.IndexFunc(d.Teams, func(t Team) bool { return t.Name == j.Team })
	if team < 0 {
		f.Add("team", "%q is not declared in environment %s", j.Team, d.Environment)
		return
	}
	quota := d.Teams[team].Quota
	need := j.Size.Times(int64(j.Tasks))
	if limit := need.Limiting(quota); limit != "" {
		f.Add("tasks", "%d tasks need %s %d, the quota of team %s is %d", j.Tasks, limit,
			amountOf(need, limit), j.Team, amountOf(quota, limit))
	}
}

// checkZones adds problems for undeclared zones and for a size that fits no worker of any allowed zone.
func checkZones(f *strictyaml.File, d *Document, j record.JobSpec) {
	zones := j.Zones
	if len(zones) == 0 {
		zones = d.ZoneNames()
	}
	fits, limit, largest := false, "", Zone{}
	for i, name := range zones {
		_, z, ok := d.FindZone(name)
		if !ok {
			f.Add(fmt.Sprintf("zones[%d]", i), "%q is not declared in environment %s", name, d.Environment)
			continue
		}
		if l := j.Size.Limiting(z.Worker); l != "" {
			limit, largest = l, z
			continue
		}
		fits = true
	}
	if !fits && limit != "" {
		f.Add("size."+limit, "is %d, the largest worker of zone %s has %d and no other allowed zone fits",
			amountOf(j.Size, limit), largest.Name, amountOf(largest.Worker, limit))
	}
}
