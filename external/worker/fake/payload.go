package fake

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Plan describes the behaviour of a simulated task. It is parsed from the payload: fields "key=value" separated by
// spaces. Fields with other keys are ignored, so that a payload may contain more than the simulation needs.
//
//	run=30s         run time at the full processor share; batch tasks default to 10s, services run until stopped
//	fail=0.1        probability that the task fails at its end, decided by the run key
//	usage=0.8       fraction of the reserved size that the task uses, default 1
//	checkpoint=no   the task supports no checkpoints
//	pressure=200    share of time, in thousandths, for which the task stalls every other run on its worker
//	delay=5ms       processing time of a request at a service's endpoint, without stalls
type Plan struct {
	// Run is the run time at the full processor share; 0 means that the task runs until stopped.
	Run time.Duration
	// Fail is the probability of a failure at the end.
	Fail float64
	// Usage is the fraction of the reserved size that is used.
	Usage float64
	// Checkpoints reports whether the task supports checkpoints.
	Checkpoints bool
	// PressurePermille is the stall that the task causes to each other run on its worker, in thousandths.
	PressurePermille int64
	// Delay is the processing time of one request at the endpoint, without stalls.
	Delay time.Duration
}

const defaultBatchRun = 10 * time.Second

// ParsePlan parses the payload of a task; service selects the defaults of services.
func ParsePlan(payload string, service bool) (Plan, error) {
	p := Plan{Usage: 1, Checkpoints: true}
	if !service {
		p.Run = defaultBatchRun
	}
	for _, field := range strings.Fields(payload) {
		key, value, ok := strings.Cut(field, "=")
		if !ok {
			continue
		}
		if err := p.set(key, value); err != nil {
			return Plan{}, errors.Wrapf(err, "payload field %s", key)
		}
	}
	return p, nil
}

func (p *Plan) set(key, value string) (err error) {
	switch key {
	case "run":
		p.Run, err = parseDuration(value)
	case "delay":
		p.Delay, err = parseDuration(value)
	case "fail":
		p.Fail, err = strconv.ParseFloat(value, 64)
	case "usage":
		p.Usage, err = strconv.ParseFloat(value, 64)
	case "pressure":
		p.PressurePermille, err = strconv.ParseInt(value, 10, 64)
	case "checkpoint":
		p.Checkpoints = value != "no"
	}
	return err
}

func parseDuration(value string) (time.Duration, error) {
	d, err := time.ParseDuration(value)
	if err == nil && d < 0 {
		err = errors.Errorf("%s is negative", value)
	}
	return d, err
}
