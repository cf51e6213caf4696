// Package hosted assembles the daemon that runs on the operators' platform: it accepts jobs from callers, stores them
// in the platform's store, and runs the shards that it owns.
package hosted

import (
	"net"
	"os"
	"time"

	"github.com/pkg/errors"

	"waxwingslip.example/core/strictyaml"
)

// maxSettingsBytes limits the size of a settings file.
const maxSettingsBytes = 64 << 10

// Settings configure a hosted daemon. The names of times end in their unit.
type Settings struct {
	// Name identifies the VM in logs, certificates and records.
	Name string `yaml:"name"`
	Zone string `yaml:"zone"`
	// Regions maps each availability zone to its region.
	Regions map[string]string `yaml:"regions"`

	Listen Listen        `yaml:"listen"`
	Store  StoreSettings `yaml:"store"`
	// Advice is the address of the service that names the workers which may run a step; empty if there is none.
	Advice string `yaml:"advice"`
	VM     VM     `yaml:"vm"`
	Bounds Bounds `yaml:"bounds"`
	Log    Log    `yaml:"log"`
}

// Listen holds listener addresses as IP:port.
type Listen struct {
	Callers   string `yaml:"callers"`
	Readiness string `yaml:"readiness"`
	Peers     string `yaml:"peers"`
	Metrics   string `yaml:"metrics"`
}

// StoreSettings holds the address of the store and the number of partitions of a topic.
type StoreSettings struct {
	Address    string `yaml:"address"`
	Partitions int    `yaml:"partitions"`
}

// VM limits the resources of its VM that the daemon may use.
type VM struct {
	Cores    float64 `yaml:"cores"`
	MemoryMB int64   `yaml:"memoryMB"`
}

// Bounds are the platform's bounds on the daemon's behaviour.
type Bounds struct {
	HoldMaxMs float64 `yaml:"holdMaxMs"`
	// StatusSeconds is how long the state of an ended job is kept.
	StatusSeconds float64 `yaml:"statusSeconds"`
	// GraceSeconds is the time between the request to stop and the forced end of the process.
	GraceSeconds float64 `yaml:"graceSeconds"`
	// HarmMs is how long a serving task may miss its objective because of filling tasks.
	HarmMs float64 `yaml:"harmMs"`
}

// Log configures the log.
type Log struct {
	Level string `yaml:"level"`
}

// LoadSettings reads and checks a settings file.
func LoadSettings(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	s := &Settings{}
	f := strictyaml.Decode(data, maxSettingsBytes, s)
	s.validate(f)
	return s, f.Err(path)
}

func (s *Settings) validate(f *strictyaml.File) {
	for _, t := range []struct{ field, value string }{{"name", s.Name}, {"zone", s.Zone}} {
		if t.value == "" {
			f.Add(t.field, "is missing")
		}
	}
	for _, a := range []struct{ field, value string }{
		{"listen.callers", s.Listen.Callers}, {"listen.readiness", s.Listen.Readiness},
		{"listen.peers", s.Listen.Peers}, {"listen.metrics", s.Listen.Metrics}, {"store.address", s.Store.Address},
	} {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			f.Add(a.field, "%q is not an IP:port address", a.value)
		}
	}
	if s.Store.Partitions < 1 {
		f.Add("store.partitions", "is %d, the least is 1", s.Store.Partitions)
	}
	if s.Bounds.HoldMaxMs < 1000 {
		f.Add("bounds.holdMaxMs", "is %v, the least is 1000", s.Bounds.HoldMaxMs)
	}
	if s.Bounds.GraceSeconds < 1 {
		f.Add("bounds.graceSeconds", "is %v, the least is 1", s.Bounds.GraceSeconds)
	}
	if s.VM.Cores <= 0 {
		f.Add("vm.cores", "is %v, must be above 0", s.VM.Cores)
	}
}

// maxLease bounds the leases that an owner grants. A long-running task counts as lost 9 s after its last run, and a
// task of a permanently lost worker is placed again when the lease has expired. The rest of the 9 s is for clock
// drift, the last renewal and the start.
const maxLease = 6 * time.Second

func (b *Bounds) maxWorkerLease() time.Duration { return min(b.longestWorkerLease(), maxLease) }

// longestWorkerLease is the longest lease that workers accept.
func (b *Bounds) longestWorkerLease() time.Duration { return duration(b.HoldMaxMs, time.Millisecond) }

func (b *Bounds) endedRetention() time.Duration { return duration(b.StatusSeconds, time.Second) }
func (b *Bounds) grace() time.Duration          { return duration(b.GraceSeconds, time.Second) }

func duration(n float64, unit time.Duration) time.Duration { return time.Duration(n * float64(unit)) }
