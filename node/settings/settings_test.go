package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const valid = `name: entry-1
environment: trial
region: luzon
zone: luzon-a
listen: {callers: "127.0.0.1:0", operators: "127.0.0.1:0", peers: "127.0.0.1:0"}
platform: {logURL: "http://127.0.0.1:7000", directoryURL: "http://127.0.0.1:7001"}
peers: {certificateFile: peer.crt, keyFile: peer.key, caFile: ca.crt}
operators: {tokenFile: tokens}
`

// Guards against a default that is not applied, which would leave a queue limit or the drain time at zero.
func TestDefaults(t *testing.T) {
	is := is.New(t)
	s, err := Parse("s.yaml", []byte(valid))
	is.NoErr(err)
	is.Equal(s.Limits, Limits{DefaultQueuePerService, DefaultInFlight, DefaultPerEndpoint,
		DefaultForwardedInFlight, DefaultDrainSeconds})
	is.Equal(s.Trace.Exporter, TraceOff)
	is.Equal(s.Listen.Health, DefaultHealth)
	is.Equal(s.Log.Level, DefaultLogLevel)
}

// Guards against a wrong setting that is accepted, or reported without file, line, field and allowed values.
func TestBadSettings(t *testing.T) {
	for _, c := range []struct{ old, replacement, want string }{
		{"zone: luzon-a", "zonne: luzon-a", `s.yaml: line 4: zonne: unknown key, the nearest known key is "zone"`},
		{"name: entry-1", "name: Entry 1", `line 1: name: is "Entry 1", allowed are lower-case`},
		{`callers: "127.0.0.1:0"`, "callers: localhost:80", `line 5: listen.callers: is "localhost:80", must be an IP address`},
		{`peers: "127.0.0.1:0"`, `peers: "0.0.0.0:7103"`, "line 5: listen.peers: is 0.0.0.0:7103, must be one address of this VM"},
		{`callers: "127.0.0.1:0"`, `callers: "127.0.0.1:7104"`, "listen.health: is 127.0.0.1:7104, the same address as listen.callers"},
		{`"http://127.0.0.1:7000"`, `"ftp://x"`, `line 6: platform.logURL: is "ftp://x", must be an http or https URL`},
		{`"http://127.0.0.1:7000"`, `"http://u:p@x"`, "platform.logURL: must not contain a user name"},
		{"keyFile: peer.key, ", "", "peers.keyFile: is missing, must name a file"},
		{"{tokenFile: tokens}", "{tokenFile: tokens, keyFile: k}", "line 8: operators: certificateFile and keyFile must be given together"},
		{"operators: {tok", "limits: {drainSeconds: 30s}\noperators: {tok", `is "30s", must be a whole number in decimal digits without a unit; the unit is seconds`},
		{"operators: {tok", "limits: {queuePerService: -1}\noperators: {tok", "limits.queuePerService: is -1, allowed are 1 to 65536 requests"},
		{"operators: {tok", "trace: {exporter: otlp}\noperators: {tok", `trace.endpointURL: is ""`},
		{"operators: {tok", "log: {level: loud}\noperators: {tok", `log.level: is "loud", allowed are debug, info, warn, error`},
		{"ca.crt}", `ca.crt, seeds: ["10.0.0.1:0"]}`, "peers.seeds[0]: is 10.0.0.1:0"},
	} {
		t.Run(c.want, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(valid, c.old, c.replacement, 1)
			is.True(text != valid)
			_, err := Parse("s.yaml", []byte(text))
			is.True(err != nil)
			if !strings.Contains(err.Error(), c.want) {
				t.Fatalf("got:\n%v\nwant: %s", err, c.want)
			}
		})
	}
}

// Guards against a daemon that starts and fails only at its first TLS handshake because a file is missing.
func TestLoadChecksFiles(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	path := filepath.Join(dir, "s.yaml")
	is.NoErr(os.WriteFile(path, []byte(valid), 0o600))
	_, err := Load(path)
	is.True(err != nil)
	is.Equal(strings.Count(err.Error(), "no such file"), 4)
	for _, f := range []string{"peer.crt", "peer.key", "ca.crt", "tokens"} {
		is.NoErr(os.WriteFile(filepath.Join(dir, f), nil, 0o600))
	}
	s, err := Load(path)
	is.NoErr(err)
	is.Equal(s.Peers.CAFile, filepath.Join(dir, "ca.crt"))
}
