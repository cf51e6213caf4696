package hosted

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/rs/zerolog"

	"waxwingslip.example/external/jobqueue"
	"waxwingslip.example/external/keyedlog"
	"waxwingslip.example/node/configcopy"
)

// Layout describes where the operators and the workers write in the store, and how to decode the configuration.
type Layout struct {
	Control  keyedlog.Partition
	Registry keyedlog.Partition
	// ConfigKey is the key of the configuration. ZoneOutOfServicePrefix and the name of an availability zone make
	// the key that exists while the zone is out of service.
	ConfigKey              string
	ZoneOutOfServicePrefix string
	DecodeConfig           func(value []byte) (*jobqueue.Config, error)
	// CopyConfig converts a configuration to the form in which daemons pass it on, without secrets, and DecodeCopy decodes
	// that. CopyFormat numbers the fields of that form.
	CopyConfig func(value []byte) ([]byte, error)
	DecodeCopy func(value []byte) (*jobqueue.Config, error)
	CopyFormat int
}

// control holds the state that the operators have published in the control topic.
type control struct {
	layout Layout
	log    zerolog.Logger

	mu        sync.RWMutex
	config    *jobqueue.Config
	evacuated map[string]bool
	// content is the configuration in force in the form of a copy, nil if it can't be copied, and offset that of its record.
	content []byte
	offset  int64
}

func newControl(layout Layout, log zerolog.Logger) *control {
	return &control{layout: layout, log: log, evacuated: map[string]bool{}}
}

func (c *control) apply(records []keyedlog.Record, reset bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := maps.Clone(c.evacuated)
	if reset {
		clear(c.evacuated)
	}
	for _, r := range records {
		zone, isZone := strings.CutPrefix(r.Key, c.layout.ZoneOutOfServicePrefix)
		switch {
		case r.Key == c.layout.ConfigKey && r.Value != nil: // a configuration that is deleted from the store stays in force
			c.applyOriginal(r)
		case isZone && r.Value != nil:
			c.evacuated[zone] = true
		case isZone:
			delete(c.evacuated, zone)
		}
	}
	c.logZones(before)
}

// applyDocument applies a copy of what the operators have published.
func (c *control) applyDocument(doc configcopy.Document) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if doc.Content != nil && (c.content == nil || doc.Offset != c.offset) {
		config, err := c.layout.DecodeCopy(doc.Content)
		if c.applyConfig(config, err, doc.Offset) {
			c.content = doc.Content
		}
	}
	before := maps.Clone(c.evacuated)
	clear(c.evacuated)
	for _, zone := range doc.ZonesOut {
		c.evacuated[zone] = true
	}
	c.logZones(before)
}

// document returns what the operators have published, without configurations that cannot be used.
func (c *control) document() configcopy.Document {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return configcopy.Document{Content: c.content, Offset: c.offset, ZonesOut: slices.Sorted(maps.Keys(c.evacuated))}
}

// logZones logs how the zones out of service differ from those before. The caller holds mu.
func (c *control) logZones(before map[string]bool) {
	for zone := range c.evacuated {
		if !before[zone] {
			c.log.Info().Str("out_zone", zone).Bool("out", true).Msg("zone changed")
		}
	}
	for zone := range before {
		if !c.evacuated[zone] {
			c.log.Info().Str("out_zone", zone).Bool("out", false).Msg("zone changed")
		}
	}
}

// applyOriginal applies a configuration as the operators wrote it. The caller holds mu.
func (c *control) applyOriginal(r keyedlog.Record) {
	config, err := c.layout.DecodeConfig(r.Value)
	if !c.applyConfig(config, err, r.Offset) {
		return
	}
	if c.content, err = c.layout.CopyConfig(r.Value); err != nil {
		c.content = nil
		c.log.Error().Err(err).Int64("offset", r.Offset).Msg("configuration cannot be copied")
	}
}

// applyConfig replaces the configuration by a newer one and reports whether it did. Older ones are repeated when the topic
// is listed again. The caller holds mu.
func (c *control) applyConfig(config *jobqueue.Config, err error, offset int64) bool {
	if err != nil {
		c.log.Error().Err(err).Int64("offset", offset).Msg("configuration cannot be decoded")
		return false
	}
	if c.config != nil && config.Version <= c.config.Version {
		return false
	}
	c.config, c.offset = config, offset
	line := c.log.Info().Int64("version", config.Version).Int("queues", len(config.Queues)).Int64("offset", offset)
	if config.Accounts != nil {
		line = line.Int("accounts", config.Accounts.Len())
	}
	line.Msg("configuration in force")
	return true
}

// Config returns the newest configuration, or nil.
func (c *control) Config() *jobqueue.Config {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.config
}

// ZoneOutOfService reports whether an availability zone is out of service.
func (c *control) ZoneOutOfService(zone string) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.evacuated[zone]
}
