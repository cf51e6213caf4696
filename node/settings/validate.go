package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"

	"waxwingslip.example/core/strictyaml"
)

const nameRule = "lower-case letters, digits and inner hyphens, at most 63 characters"

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Upper bounds of settings.
const (
	maxSeeds             = 64
	maxQueuePerService   = 1 << 16
	maxInFlight          = 1 << 20
	maxForwardedInFlight = 1 << 16
	maxDrainSeconds      = 600
	maxSamplePermille    = 1000
)

func (s *Settings) validate(f *strictyaml.File) {
	for _, n := range []struct{ field, value string }{
		{"name", s.Name}, {"environment", s.Environment}, {"region", s.Region}, {"zone", s.Zone},
	} {
		if !namePattern.MatchString(n.value) {
			f.Add(n.field, "is %q, allowed are %s", n.value, nameRule)
		}
	}
	s.validateListeners(f)
	checkURL(f, "platform.logURL", s.Platform.LogURL)
	checkURL(f, "platform.directoryURL", s.Platform.DirectoryURL)
	s.validatePeers(f)
	s.validateOperators(f)
	s.validateLimits(f)
	s.validateTraceAndLog(f)
}

func (s *Settings) validateListeners(f *strictyaml.File) {
	tcp := map[string]string{}
	for _, l := range []struct{ field, address string }{
		{"listen.callers", s.Listen.Callers}, {"listen.operators", s.Listen.Operators},
		{"listen.health", s.Listen.Health},
	} {
		a, ok := checkAddress(f, l.field, l.address)
		if !ok || a.Port() == 0 {
			continue
		}
		if other, dup := tcp[a.String()]; dup {
			f.Add(l.field, "is %s, the same address as %s", l.address, other)
		}
		tcp[a.String()] = l.field
	}
	if a, ok := checkAddress(f, "listen.peers", s.Listen.Peers); ok && a.Addr().IsUnspecified() {
		f.Add("listen.peers", "is %s, must be one address of this VM because it is announced to other daemons",
			s.Listen.Peers)
	}
}

func checkAddress(f *strictyaml.File, field, value string) (netip.AddrPort, bool) {
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		f.Add(field, "is %q, must be an IP address and a port, for instance 10.0.0.1:7101", value)
		return a, false
	}
	return a, true
}

func checkURL(f *strictyaml.File, field, value string) {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || u.RawQuery != "" || u.Fragment != "" {
		f.Add(field, "is %q, must be an http or https URL without query, for instance http://10.0.0.1:7000", value)
		return
	}
	if u.User != nil {
		f.Add(field, "must not contain a user name or password")
	}
}

func (s *Settings) validatePeers(f *strictyaml.File) {
	if len(s.Peers.Seeds) > maxSeeds {
		f.Add("peers.seeds", "has %d entries, allowed are 0 to %d", len(s.Peers.Seeds), maxSeeds)
	}
	for i, seed := range s.Peers.Seeds {
		field := fmt.Sprintf("peers.seeds[%d]", i)
		if a, ok := checkAddress(f, field, seed); ok && (a.Port() == 0 || a.Addr().IsUnspecified()) {
			f.Add(field, "is %s, must be the address and port of a daemon", seed)
		}
	}
	checkFileNamed(f, "peers.certificateFile", s.Peers.CertificateFile)
	checkFileNamed(f, "peers.keyFile", s.Peers.KeyFile)
	checkFileNamed(f, "peers.caFile", s.Peers.CAFile)
}

func (s *Settings) validateOperators(f *strictyaml.File) {
	checkFileNamed(f, "operators.tokenFile", s.Operators.TokenFile)
	if (s.Operators.CertificateFile == "") != (s.Operators.KeyFile == "") {
		f.Add("operators", "certificateFile and keyFile must be given together")
	}
}

func checkFileNamed(f *strictyaml.File, field, value string) {
	if strings.TrimSpace(value) == "" {
		f.Add(field, "is missing, must name a file")
	}
}

func (s *Settings) validateLimits(f *strictyaml.File) {
	checkRange(f, "limits.queuePerService", int64(s.Limits.QueuePerService), 1, maxQueuePerService, "requests")
	checkRange(f, "limits.inFlight", int64(s.Limits.InFlight), 1, maxInFlight, "requests")
	checkRange(f, "limits.perEndpoint", int64(s.Limits.PerEndpoint), 1, maxInFlight, "requests")
	checkRange(f, "limits.forwardedInFlight", int64(s.Limits.ForwardedInFlight), 1, maxForwardedInFlight, "requests")
	checkRange(f, "limits.drainSeconds", s.Limits.DrainSeconds, 1, maxDrainSeconds, "seconds")
}

func checkRange(f *strictyaml.File, field string, n, low, high int64, unit string) {
	if n < low || n > high {
		f.Add(field, "is %d, allowed are %d to %d %s", n, low, high, unit)
	}
}

func (s *Settings) validateTraceAndLog(f *strictyaml.File) {
	checkOneOf(f, "trace.exporter", s.Trace.Exporter, TraceOff, TraceOTLP, TraceStdout)
	checkRange(f, "trace.samplePermille", int64(s.Trace.SamplePermille), 1, maxSamplePermille, "thousandths")
	if s.Trace.Exporter == TraceOTLP || s.Trace.EndpointURL != "" {
		checkURL(f, "trace.endpointURL", s.Trace.EndpointURL)
	}
	checkOneOf(f, "log.level", s.Log.Level, "debug", "info", "warn", "error")
}

func checkOneOf(f *strictyaml.File, field, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		f.Add(field, "is %q, allowed are %s", value, strings.Join(allowed, ", "))
	}
}
