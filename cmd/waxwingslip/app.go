package main

import (
	"crypto/tls"
	"crypto/x509"
	"flag"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"waxwingslip.example/node/operator"
	"waxwingslip.example/node/operator/api"
)

// Environment variables that set the defaults of global flags.
const (
	envDaemons   = "WAXWINGSLIP_DAEMONS"
	envTokenFile = "WAXWINGSLIP_TOKEN_FILE"
	envCAFile    = "WAXWINGSLIP_CA_FILE"
)

const (
	// defaultCallTimeout is above the daemon's own limit, so that the daemon's response arrives before the call times
	// out.
	defaultCallTimeout = operator.CommandTimeout + 5*time.Second
	// poolRounds is the number of times that the list of daemons is tried.
	poolRounds          = 2
	defaultPollInterval = 500 * time.Millisecond
)

// app holds the global flags and the state that all commands share.
type app struct {
	daemons     string
	tokenFile   string
	caFile      string
	output      string
	author      string
	callTimeout time.Duration
	// pollInterval is the time between queries while waiting for progress.
	pollInterval time.Duration

	stdout, stderr io.Writer
	env            func(string) string
	newID          func() uuid.UUID
}

func newApp(env func(string) string, stdout, stderr io.Writer) *app {
	return &app{stdout: stdout, stderr: stderr, env: env, newID: uuid.New, pollInterval: defaultPollInterval}
}

func (a *app) setFlags(f *flag.FlagSet) {
	f.StringVar(&a.daemons, "daemon", a.env(envDaemons),
		"comma-separated `URLs` of daemons' operators' listeners, tried in this order; default $"+envDaemons)
	f.StringVar(&a.tokenFile, "token-file", a.env(envTokenFile), "`file` with the bearer token; default $"+envTokenFile)
	f.StringVar(&a.caFile, "ca", a.env(envCAFile),
		"PEM `file` of the authority that signed the daemons' certificates; default $"+envCAFile+", then the system's")
	f.StringVar(&a.output, "o", "table", "output `form`: table or json")
	f.StringVar(&a.author, "author", a.env("USER"), "operator's `name`, recorded with commands; default $USER")
	f.DurationVar(&a.callTimeout, "call-timeout", defaultCallTimeout, "time limit of one call to one daemon")
}

func (a *app) validateFlags() error {
	if a.output != "table" && a.output != "json" {
		return usagef("-o is %q, allowed are table and json", a.output)
	}
	if a.callTimeout <= 0 {
		return usagef("-call-timeout is %s, must be above 0", a.callTimeout)
	}
	return nil
}

// clientPool returns clients for the daemons of the global flags.
func (a *app) clientPool() (*api.Pool, error) {
	if a.daemons == "" {
		return nil, usagef("no daemon is named, use -daemon or $%s", envDaemons)
	}
	if a.tokenFile == "" {
		return nil, usagef("no token file is named, use -token-file or $%s", envTokenFile)
	}
	return a.newPool("-daemon", a.daemons, a.tokenFile)
}

func (a *app) newPool(flagName, daemons, tokenFile string) (*api.Pool, error) {
	token, err := readToken(tokenFile)
	if err != nil {
		return nil, err
	}
	httpClient, err := a.httpClient()
	if err != nil {
		return nil, err
	}
	var clients []*api.Client
	for _, daemonURL := range strings.Split(daemons, ",") {
		daemonURL = strings.TrimSpace(daemonURL)
		u, err := url.Parse(daemonURL)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			return nil, usagef("%s contains %q, must be URLs like http://10.0.0.1:7102", flagName, daemonURL)
		}
		clients = append(clients, api.NewClient(daemonURL, token, httpClient))
	}
	return api.NewPool(clients, poolRounds), nil
}

func (a *app) httpClient() (*http.Client, error) {
	cfg := &tls.Config{MinVersion: tls.VersionTLS13}
	if a.caFile != "" {
		pem, err := os.ReadFile(a.caFile)
		if err != nil {
			return nil, errors.Wrap(err, "read -ca")
		}
		cfg.RootCAs = x509.NewCertPool()
		if !cfg.RootCAs.AppendCertsFromPEM(pem) {
			return nil, errors.Errorf("-ca %s holds no PEM certificate", a.caFile)
		}
	}
	// No keep-alive: a command makes few calls, and a daemon's shutdown waits for idle connections.
	transport := &http.Transport{TLSClientConfig: cfg, DisableKeepAlives: true}
	return &http.Client{Transport: transport, Timeout: a.callTimeout}, nil
}

// readToken returns the first token of a file; the token file of a daemon can be used as well.
func readToken(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Wrap(err, "read token file")
	}
	for line := range strings.Lines(string(data)) {
		if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "#") {
			return line, nil
		}
	}
	return "", errors.Errorf("token file %s holds no token", path)
}
