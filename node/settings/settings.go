// Package settings reads the YAML settings of the daemon.
package settings

import (
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"waxwingslip.example/core/strictyaml"
)

// MaxBytes limits the size of a settings file.
const MaxBytes = 64 << 10

// Settings configures one daemon.
type Settings struct {
	// Name identifies the VM in log lines, traces and answers.
	Name string `yaml:"name"`
	// Environment names the environment; it is part of the stream names.
	Environment string `yaml:"environment"`
	Region      string `yaml:"region"`
	Zone        string `yaml:"zone"`

	Listen    Listen    `yaml:"listen"`
	Platform  Platform  `yaml:"platform"`
	Peers     Peers     `yaml:"peers"`
	Operators Operators `yaml:"operators"`
	Limits    Limits    `yaml:"limits"`
	Trace     Trace     `yaml:"trace"`
	Log       Log       `yaml:"log"`
}

// Listen holds the listener addresses as IP:port. Port 0 picks a free port.
type Listen struct {
	// Callers is the TCP address for callers' requests.
	Callers string `yaml:"callers"`
	// Operators is the TCP address for commands and queries.
	Operators string `yaml:"operators"`
	// Peers is the UDP address for other daemons, which is also announced to them.
	Peers string `yaml:"peers"`
	// Health is the TCP address for health checks and expvar metrics.
	Health string `yaml:"health"`
}

// Platform holds the URLs of the platform's services.
type Platform struct {
	LogURL       string `yaml:"logURL"`
	DirectoryURL string `yaml:"directoryURL"`
}

// Peers configures connections between daemons.
type Peers struct {
	// Seeds are peer addresses (IP:port) to contact before the list of VMs is known.
	Seeds []string `yaml:"seeds"`
	// CertificateFile, KeyFile and CAFile are PEM files for mutual TLS.
	CertificateFile string `yaml:"certificateFile"`
	KeyFile         string `yaml:"keyFile"`
	CAFile          string `yaml:"caFile"`
}

// Operators configures the operators' listener.
type Operators struct {
	// TokenFile holds bearer tokens, one per line.
	TokenFile string `yaml:"tokenFile"`
	// CertificateFile and KeyFile are PEM files for TLS; without them the listener uses plain HTTP.
	CertificateFile string `yaml:"certificateFile"`
	KeyFile         string `yaml:"keyFile"`
}

// Limits bounds the requests that the daemon holds at a time and the time of its shutdown.
type Limits struct {
	// QueuePerService is the number of requests of one service that may wait for an endpoint.
	QueuePerService int `yaml:"queuePerService"`
	// InFlight is the number of callers' requests that are served at a time.
	InFlight int `yaml:"inFlight"`
	// PerEndpoint is the number of requests in flight to one endpoint.
	PerEndpoint int `yaml:"perEndpoint"`
	// ForwardedInFlight is the number of requests forwarded to other zones at a time.
	ForwardedInFlight int `yaml:"forwardedInFlight"`
	// DrainSeconds is the time that a shutdown waits for requests in flight.
	DrainSeconds int64 `yaml:"drainSeconds"`
}

// Drain returns the drain time.
func (l Limits) Drain() time.Duration { return time.Duration(l.DrainSeconds) * time.Second }

// Exporters of traces.
const (
	TraceOff    = "off"
	TraceOTLP   = "otlp"
	TraceStdout = "stdout"
)

// Trace configures the export of OpenTelemetry traces.
type Trace struct {
	// Exporter is off, otlp or stdout.
	Exporter string `yaml:"exporter"`
	// EndpointURL is the OTLP/HTTP endpoint.
	EndpointURL string `yaml:"endpointURL"`
	// SamplePermille is the share of requests that are traced, in thousandths.
	SamplePermille int `yaml:"samplePermille"`
}

// Log configures the daemon's log.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `yaml:"level"`
}

// Defaults of settings that may be left out.
const (
	DefaultHealth          = "127.0.0.1:7104"
	DefaultQueuePerService = 256
	DefaultInFlight        = 4096
	// DefaultPerEndpoint keeps the three daemons of a zone together below an endpoint's 64 connections.
	DefaultPerEndpoint       = 20
	DefaultForwardedInFlight = 512
	DefaultDrainSeconds      = 30
	DefaultSamplePermille    = 10
	DefaultLogLevel          = "info"
)

// Parse decodes and validates settings. name is used in errors; the error is a *strictyaml.Error with all
// problems. Files named by the settings are not opened.
func Parse(name string, data []byte) (*Settings, error) {
	s, f := decode(data)
	if err := f.Err(name); err != nil {
		return nil, err
	}
	return s, nil
}

// Load reads settings from path. Relative file names in it are relative to the directory of path. All
// named files must be readable.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	s, f := decode(data)
	for _, file := range s.namedFiles() {
		if *file.path == "" {
			continue
		}
		if !filepath.IsAbs(*file.path) {
			*file.path = filepath.Join(filepath.Dir(path), *file.path)
		}
		if opened, err := os.Open(*file.path); err != nil {
			f.Add(file.field, "%v", err)
		} else {
			opened.Close()
		}
	}
	if err := f.Err(path); err != nil {
		return nil, err
	}
	return s, nil
}

func decode(data []byte) (*Settings, *strictyaml.File) {
	s := &Settings{}
	f := strictyaml.Decode(data, MaxBytes, s)
	s.applyDefaults()
	if f.OK() {
		s.validate(f)
	}
	return s, f
}

type namedFile struct {
	field string
	path  *string
}

func (s *Settings) namedFiles() []namedFile {
	return []namedFile{
		{"peers.certificateFile", &s.Peers.CertificateFile},
		{"peers.keyFile", &s.Peers.KeyFile},
		{"peers.caFile", &s.Peers.CAFile},
		{"operators.tokenFile", &s.Operators.TokenFile},
		{"operators.certificateFile", &s.Operators.CertificateFile},
		{"operators.keyFile", &s.Operators.KeyFile},
	}
}

func (s *Settings) applyDefaults() {
	setDefault(&s.Listen.Health, DefaultHealth)
	setDefault(&s.Limits.QueuePerService, DefaultQueuePerService)
	setDefault(&s.Limits.InFlight, DefaultInFlight)
	setDefault(&s.Limits.PerEndpoint, DefaultPerEndpoint)
	setDefault(&s.Limits.ForwardedInFlight, DefaultForwardedInFlight)
	setDefault(&s.Limits.DrainSeconds, DefaultDrainSeconds)
	setDefault(&s.Trace.Exporter, TraceOff)
	setDefault(&s.Trace.SamplePermille, DefaultSamplePermille)
	setDefault(&s.Log.Level, DefaultLogLevel)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
