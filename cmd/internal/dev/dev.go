// Package dev runs a complete trial environment in one process: stand-ins of the platform and of workers, and
// daemons for every zone, all on free loopback ports.
package dev

import (
	"context"
	_ "embed"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"waxwingslip.example/core/environment"
	"waxwingslip.example/node/daemon"
	"waxwingslip.example/node/operator/api"
	"waxwingslip.example/node/peer/devcert"
	"waxwingslip.example/node/settings"
	"waxwingslip.example/standin/devenv"
)

//go:embed environment.yaml
var trialDocument []byte

// publishTimeout limits the time that Start waits until a daemon accepts the document.
const publishTimeout = 30 * time.Second

// Options configures the trial environment.
type Options struct {
	// DaemonsPerZone is the number of daemons in each zone; 0 means 1.
	DaemonsPerZone int
	// Dir is the directory for certificates and the token file. It must exist.
	Dir string
	// Log is the logger of the daemons.
	Log zerolog.Logger
}

// Trial is a running trial environment.
type Trial struct {
	Daemons []Daemon
	// Token and TokenFile give access to the operators' interface.
	Token     string
	TokenFile string
	// PlatformURL is the base URL of the platform's stand-in.
	PlatformURL string

	env           *devenv.Environment
	cancelDaemons context.CancelFunc
	daemonsDone   sync.WaitGroup
}

// Daemon describes a running daemon of the trial environment.
type Daemon struct {
	Name      string
	Zone      string
	Addresses daemon.Addresses
}

// Start starts the stand-ins and the daemons and publishes the document.
func Start(ctx context.Context, opts Options) (*Trial, error) {
	doc, err := environment.Parse(trialDocument)
	if err != nil {
		return nil, errors.Wrap(err, "parse trial document")
	}
	t := &Trial{Token: uuid.NewString(), TokenFile: filepath.Join(opts.Dir, "tokens")}
	if err := os.WriteFile(t.TokenFile, []byte(t.Token+"\n"), 0o600); err != nil {
		return nil, errors.Wrap(err, "write token file")
	}
	t.env, err = devenv.Start(ctx, doc, devenv.Options{})
	if err != nil {
		return nil, err
	}
	t.PlatformURL = t.env.PlatformURL()
	if err := t.startDaemons(ctx, doc, opts); err != nil {
		t.Close()
		return nil, err
	}
	if err := t.publish(ctx); err != nil {
		t.Close()
		return nil, err
	}
	return t, nil
}

func (t *Trial) startDaemons(ctx context.Context, doc *environment.Document, opts Options) error {
	ctx, t.cancelDaemons = context.WithCancel(ctx)
	authority, err := devcert.NewAuthority()
	if err != nil {
		return err
	}
	for _, region := range doc.Regions {
		for _, zone := range region.Zones {
			for i := range max(1, opts.DaemonsPerZone) {
				name := fmt.Sprintf("%s-%d", zone.Name, i+1)
				if err := t.startDaemon(ctx, authority, opts, name, region.Name, zone.Name); err != nil {
					return errors.Wrapf(err, "start daemon %s", name)
				}
			}
		}
	}
	return nil
}

func (t *Trial) startDaemon(ctx context.Context, ca *devcert.Authority, opts Options, name, region, zone string) error {
	files, err := ca.Write(opts.Dir, name)
	if err != nil {
		return err
	}
	const anyPort = "127.0.0.1:0"
	text := strings.Join([]string{
		"name: " + name, "environment: dev", "region: " + region, "zone: " + zone,
		"listen: {callers: '" + anyPort + "', operators: '" + anyPort + "', health: '" + anyPort + "', peers: '" + anyPort + "'}",
		"platform: {logURL: '" + t.PlatformURL + "', directoryURL: '" + t.PlatformURL + "'}",
		"peers: {certificateFile: '" + files.Cert + "', keyFile: '" + files.Key + "', caFile: '" + files.CA +
			"', seeds: [" + strings.Join(t.seedAddresses(), ", ") + "]}",
		"operators: {tokenFile: '" + t.TokenFile + "'}",
		"limits: {drainSeconds: 2}",
	}, "\n")
	cfg, err := settings.Parse(name, []byte(text))
	if err != nil {
		return err
	}
	d, err := daemon.New(cfg, opts.Log)
	if err != nil {
		return err
	}
	t.Daemons = append(t.Daemons, Daemon{Name: name, Zone: zone, Addresses: d.Addresses()})
	t.daemonsDone.Go(func() { _ = d.Run(ctx) })
	return nil
}

// seedAddresses returns the peer addresses of the daemons started so far, quoted for YAML.
func (t *Trial) seedAddresses() (addresses []string) {
	for _, d := range t.Daemons {
		addresses = append(addresses, "'"+d.Addresses.Peers+"'")
	}
	return addresses
}

// publish publishes the document through the first daemon.
func (t *Trial) publish(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	client := api.NewClient("http://"+t.Daemons[0].Addresses.Operators, t.Token, http.DefaultClient)
	cmd := api.PublishConfig{Command: uuid.New(), Document: string(trialDocument), Author: "dev"}
	for {
		answer, err := client.PublishConfig(ctx, cmd)
		if err == nil && answer.Result == api.Accepted {
			return nil
		}
		if err == nil && answer.Result != api.Unknown {
			return errors.Errorf("publish document: %s: %s", answer.Result, answer.Reason)
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "publish document (last error: %v)", err)
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// Close stops the daemons and then the stand-ins.
func (t *Trial) Close() {
	if t.cancelDaemons != nil {
		t.cancelDaemons()
	}
	t.daemonsDone.Wait()
	t.env.Close()
}
