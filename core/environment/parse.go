package environment

import (
	"regexp"

	"waxwingslip.example/core/strictyaml"
)

// Defaults of fields that a document may leave out.
const (
	// DefaultTimeoutMs is the deadline of a request in milliseconds.
	DefaultTimeoutMs = 30_000
	// DefaultEvictionsPerMinute is per zone.
	DefaultEvictionsPerMinute = 6
	// DefaultPerCallerPerSecond is in requests per second, for each caller and daemon.
	DefaultPerCallerPerSecond = 200
	// DefaultLinkBytesPerSecond is half of the link's 30 Mbit/s; the rest is for all other traffic.
	DefaultLinkBytesPerSecond = LinkCapacityBytesPerSecond / 2
	// DefaultSlots is the number of slots that a task reserves if its size has none.
	DefaultSlots = 1
)

// LinkCapacityBytesPerSecond is the capacity of the link between regions, 30 Mbit/s each way.
const LinkCapacityBytesPerSecond = 30_000_000 / 8

// Limits on the counts and sizes in a document. MaxDocumentBytes limits their sum.
const (
	MaxRegions         = 16
	MaxZones           = 64
	MaxTeams           = 500
	MaxServices        = 1000
	MaxSharingRules    = 500
	MaxNotWith         = 100
	MaxIdempotentPaths = 50
	MaxPathBytes       = 256
	MaxPayloadBytes    = 16 << 10
	MaxWorkersPerZone  = 10_000
	// MaxReplicas limits one service in one zone, as its replicas are the tasks of one job there.
	MaxReplicas = MaxTasksPerJob
	// MaxTimeoutMs is 24 h, because some clients keep a request open for hours.
	MaxTimeoutMs          = 24 * 60 * 60 * 1000
	MaxLatencyTargetMs    = 10 * 60 * 1000
	MaxEvictionsPerMinute = 10_000
	MaxPerCallerPerSecond = 1_000_000
	// MaxAmount limits every component of a vector, so that sums over all workers stay far below overflow.
	MaxAmount = 1_000_000_000
	// MinWorkerMilliCPU and MinWorkerMemoryMB detect sizes given in cores or gigabytes by mistake.
	MinWorkerMilliCPU = 1000
	MinWorkerMemoryMB = 256
)

const nameRule = "lower-case letters, digits and inner hyphens, at most 63 characters"

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Parse decodes and validates a document. Its error is a *strictyaml.Error with all problems. The returned
// document has its defaults applied.
func Parse(data []byte) (*Document, error) {
	doc := &Document{}
	f := strictyaml.Decode(data, MaxDocumentBytes, doc)
	applyDefaults(doc)
	// After a decoding problem, validation would report fields with that problem a second time, as missing.
	if f.OK() {
		newValidator(f, doc).checkAll()
	}
	if err := f.Err(""); err != nil {
		return nil, err
	}
	return doc, nil
}

// applyDefaults fills the fields that the document leaves out.
func applyDefaults(d *Document) {
	for i := range d.Services {
		s := &d.Services[i]
		setDefault(&s.TimeoutMs, DefaultTimeoutMs)
		setDefault(&s.Size.Slots, DefaultSlots)
	}
	setDefault(&d.Guards.EvictionsPerMinute, DefaultEvictionsPerMinute)
	setDefault(&d.Requests.PerCallerPerSecond, DefaultPerCallerPerSecond)
	setDefault(&d.Requests.LinkBytesPerSecond, DefaultLinkBytesPerSecond)
}

func setDefault[T int | int64](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
