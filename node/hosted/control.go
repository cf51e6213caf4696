package hosted

import (
	"strings"
	"sync"

	"github.com/rs/zerolog"

	"waxwingslip.example/external/jobqueue"
	"waxwingslip.example/external/keyedlog"
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
}

// control holds the state that the operators have published in the control topic.
type control struct {
	layout Layout
	log    zerolog.Logger

	mu        sync.RWMutex
	config    *jobqueue.Config
	evacuated map[string]bool
}

func newControl(layout Layout, log zerolog.Logger) *control {
	return &control{layout: layout, log: log, evacuated: map[string]bool{}}
}

func (c *control) apply(records []keyedlog.Record, reset bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reset {
		c.evacuated = map[string]bool{}
	}
	for _, r := range records {
		zone, isZone := strings.CutPrefix(r.Key, c.layout.ZoneOutOfServicePrefix)
		switch {
		case r.Key == c.layout.ConfigKey:
			c.applyConfig(r)
		case isZone && (r.Value != nil) != c.evacuated[zone]:
			c.evacuated[zone] = r.Value != nil
			c.log.Info().Str("out_zone", zone).Bool("out", r.Value != nil).Int64("offset", r.Offset).Msg("zone changed")
		}
	}
}

// applyConfig replaces the configuration by a newer one. Older ones are repeated when the topic is listed again. The
// caller holds mu.
func (c *control) applyConfig(r keyedlog.Record) {
	if r.Value == nil {
		return // a configuration that is deleted from the store stays in force
	}
	config, err := c.layout.DecodeConfig(r.Value)
	if err != nil {
		c.log.Error().Err(err).Int64("offset", r.Offset).Msg("configuration cannot be decoded")
		return
	}
	if c.config != nil && config.Version <= c.config.Version {
		return
	}
	c.config = config
	line := c.log.Info().Int64("version", config.Version).Int("queues", len(config.Queues)).Int64("offset", r.Offset)
	if config.Accounts != nil {
		line = line.Int("accounts", config.Accounts.Len())
	}
	line.Msg("configuration in force")
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
