// Package environment defines the document that operators publish for one environment.
package environment

import "waxwingslip.example/core/resource"

// Schema is the document schema that this build supports. The rules of a schema never change, so that daemons of
// different builds accept the same documents.
const Schema = 1

// MaxDocumentBytes limits the YAML text of a document. It is below the limit of a log record.
const MaxDocumentBytes = 200 << 10

// Document declares the zones and services of an environment, which classes must not share a VM, and limits.
type Document struct {
	Schema int `yaml:"schema"`
	// Environment names the environment, for instance trial or production.
	Environment string        `yaml:"environment"`
	Regions     []Region      `yaml:"regions"`
	Teams       []Team        `yaml:"teams,omitempty"`
	Services    []Service     `yaml:"services,omitempty"`
	Sharing     []SharingRule `yaml:"sharing,omitempty"`
	Guards      Guards        `yaml:"guards,omitempty"`
	Requests    RequestLimits `yaml:"requests,omitempty"`
}

// Region is a set of zones joined by a fast network.
type Region struct {
	Name  string `yaml:"name"`
	Zones []Zone `yaml:"zones"`
}

// Zone is an availability zone.
type Zone struct {
	Name string `yaml:"name"`
	// OutOfService stops new tasks and moves batch work away. It does not reduce the capacity that
	// validation assumes, so that a zone can always be taken out.
	OutOfService bool `yaml:"outOfService,omitempty"`
	// Worker is the capacity of the zone's largest worker, used to refuse tasks that can never run.
	Worker resource.Vector `yaml:"worker"`
	// Workers is the expected number of workers.
	Workers int `yaml:"workers"`
}

// Team owns jobs and services.
type Team struct {
	Name string `yaml:"name"`
	// Quota limits the resources that the team's active batch jobs reserve at a time, over all zones.
	Quota resource.Vector `yaml:"quota"`
}

// Service is a latency-critical service.
type Service struct {
	Name  string `yaml:"name"`
	Team  string `yaml:"team"`
	Class string `yaml:"class"`
	// Replicas gives the number of replicas for each zone.
	Replicas map[string]int  `yaml:"replicas"`
	Size     resource.Vector `yaml:"size"`
	// LatencyTargetMs is the target for the 99th percentile of the response time in milliseconds.
	LatencyTargetMs int64 `yaml:"latencyTargetMs"`
	// TimeoutMs is the deadline of a request without its own, in milliseconds. Default DefaultTimeoutMs.
	TimeoutMs int64 `yaml:"timeoutMs,omitempty"`
	// IdempotentPaths lists path prefixes whose POST and PATCH requests may be retried.
	IdempotentPaths []string `yaml:"idempotentPaths,omitempty"`
	// Payload is passed to the worker with each replica.
	Payload string `yaml:"payload,omitempty"`
}

// SharingRule forbids tasks of two classes on one VM.
type SharingRule struct {
	Class string `yaml:"class"`
	// NotWith lists classes that must not share a VM with Class. If it contains Class, a VM runs one task of it.
	NotWith []string `yaml:"notWith"`
}

// Guards configures the protection of services against other tasks on their VMs.
type Guards struct {
	Enabled bool `yaml:"enabled,omitempty"`
	// EvictionsPerMinute limits evictions by guards in each zone. Default DefaultEvictionsPerMinute.
	EvictionsPerMinute int `yaml:"evictionsPerMinute,omitempty"`
}

// RequestLimits bounds the requests of callers.
type RequestLimits struct {
	// PerCallerPerSecond limits the request rate of one caller at each daemon. Default
	// DefaultPerCallerPerSecond.
	PerCallerPerSecond int `yaml:"perCallerPerSecond,omitempty"`
	// LinkBytesPerSecond is the share of the link between regions that forwarded requests may use, for
	// each region. Default DefaultLinkBytesPerSecond.
	LinkBytesPerSecond int64 `yaml:"linkBytesPerSecond,omitempty"`
}

// ZoneNames returns the names of all zones in document order.
func (d *Document) ZoneNames() []string {
	var names []string
	for _, r := range d.Regions {
		for _, z := range r.Zones {
			names = append(names, z.Name)
		}
	}
	return names
}

// FindZone returns the zone with the given name and its region.
func (d *Document) FindZone(name string) (region string, zone Zone, ok bool) {
	for _, r := range d.Regions {
		for _, z := range r.Zones {
			if z.Name == name {
				return r.Name, z, true
			}
		}
	}
	return "", Zone{}, false
}
