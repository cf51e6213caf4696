package main

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"time"

	"github.com/google/subcommands"
	"github.com/google/uuid"

	"waxwingslip.example/core/environment"
	"waxwingslip.example/node/operator/api"
)

// defaultInForceTimeout is several times the 7 s within which a configuration takes effect in every zone.
const defaultInForceTimeout = 30 * time.Second

// publishFlags are the flags that all publishing commands share.
type publishFlags struct {
	id      commandID
	dryRun  bool
	wait    bool
	timeout time.Duration
}

func (p *publishFlags) register(f *flag.FlagSet, timeout time.Duration, condition string) {
	p.id.register(f)
	f.BoolVar(&p.dryRun, "dry-run", false, "show what would change and change nothing")
	f.BoolVar(&p.wait, "wait", true, "wait until "+condition)
	f.DurationVar(&p.timeout, "timeout", timeout, "time limit of the wait")
}

func configPublish(a *app) subcommands.Command {
	var p publishFlags
	var base string
	return &command{app: a, name: "publish", args: "FILE", minArgs: 1, maxArgs: 1,
		synopsis: "publish a document as the next configuration version",
		detail: "  -base names the version that the file was made from. If another version was published since,\n" +
			"  the command ends with a conflict and changes nothing.\n",
		flags: func(f *flag.FlagSet) {
			p.register(f, defaultInForceTimeout, "the configuration is in force in every zone")
			f.StringVar(&base, "base", "", "`version` that the file was made from: a number, 0 for the first document, "+
				"or current")
		},
		run: func(ctx context.Context, args []string) error {
			data, err := readDocument(args[0])
			if err != nil {
				return err
			}
			doc, err := parseDocument(args[0], data)
			if err != nil {
				return err
			}
			version, err := resolveBase(ctx, a, base)
			if err != nil {
				return err
			}
			if p.dryRun {
				return publishDryRun(ctx, a, version, doc)
			}
			if err := checkSuccessor(ctx, a, version, doc); err != nil {
				return err
			}
			return publish(ctx, a, &p, version, data)
		}}
}

func resolveBase(ctx context.Context, a *app, base string) (int64, error) {
	if base == "current" {
		c, err := fetchConfig(ctx, a, 0)
		return c.Version, err
	}
	v, err := strconv.ParseInt(base, 10, 64)
	if err != nil || v < 0 {
		return 0, usagef("-base is %q, must be the version that the file was made from, 0 or current", base)
	}
	return v, nil
}

// publishDryRun compares doc with the current version, on which it must be based.
func publishDryRun(ctx context.Context, a *app, base int64, doc *environment.Document) error {
	c, err := fetchConfig(ctx, a, 0)
	switch {
	case exitCode(err) == exitNotFound && base == 0:
		return a.printChanges(environment.Diff(nil, doc))
	case err != nil:
		return err
	case c.Version != base:
		return exitf(exitConflict, "conflict: the file is based on version %d, but version %d by %s is current", base,
			c.Version, orDash(c.Author))
	}
	old, err := parseDocument(fmt.Sprintf("version %d", base), []byte(c.Document))
	if err != nil {
		return err
	}
	if err := successorError(old, doc); err != nil {
		return err
	}
	return a.printChanges(environment.Diff(old, doc))
}

func successorError(old, doc *environment.Document) error {
	problems := environment.CheckSuccessor(old, doc)
	if len(problems) == 0 {
		return nil
	}
	return answerError(api.Answer{Result: api.Rejected, Reason: "the document cannot follow the current one",
		Problems: problems})
}

// checkSuccessor checks doc against the current version if that is the base. Any other case is left to the daemon,
// because a repeated command may find its own version as the current one.
func checkSuccessor(ctx context.Context, a *app, base int64, doc *environment.Document) error {
	c, err := fetchConfig(ctx, a, 0)
	if err != nil || c.Version != base {
		return nil
	}
	old, err := environment.Parse([]byte(c.Document))
	if err != nil {
		return nil
	}
	return successorError(old, doc)
}

func publish(ctx context.Context, a *app, p *publishFlags, base int64, data []byte) error {
	id, err := p.id.resolve(a)
	if err != nil {
		return err
	}
	answer, err := a.sendCommand(ctx, id, func(ctx context.Context, c *api.Client) (api.Answer, error) {
		return c.PublishConfig(ctx, api.PublishConfig{Command: id, Base: base, Document: string(data), Author: a.author})
	})
	if err != nil {
		return err
	}
	a.printMessage("published version %d", answer.Version)
	if !p.wait {
		return nil
	}
	return waitInForce(ctx, a, answer.Version, p.timeout)
}

func configPromote(a *app) subcommands.Command {
	var p publishFlags
	var from, fromToken, name string
	var allowZones bool
	return &command{app: a, name: "promote", args: "[TRIAL-FILE]", maxArgs: 1,
		synopsis: "publish a trial document in the environment of -daemon",
		detail: "  Only the name of the environment is changed. The trial document is a file, or the current one of\n" +
			"  the daemons of -from. A promotion that would take a zone out of service or put it back needs\n" +
			"  -allow-zone-changes.\n",
		flags: func(f *flag.FlagSet) {
			p.register(f, defaultInForceTimeout, "the configuration is in force in every zone")
			f.StringVar(&from, "from", "", "`URLs` of daemons of the trial environment")
			f.StringVar(&fromToken, "from-token-file", "", "token `file` for -from; default is -token-file")
			f.StringVar(&name, "environment", "", "`name` of the environment, needed for its first document only")
			f.BoolVar(&allowZones, "allow-zone-changes", false, "allow changes of zones' in-service state")
		},
		run: func(ctx context.Context, args []string) error {
			trial, err := loadTrialDocument(ctx, a, args, from, fromToken)
			if err != nil {
				return err
			}
			current, version, err := fetchCurrentDocument(ctx, a, name)
			if err != nil {
				return err
			}
			if current != nil {
				name = current.Environment
			}
			data, err := environment.Promote(trial, name)
			if err != nil {
				return exitf(exitRejected, "%v", err)
			}
			return promote(ctx, a, &p, current, version, data, allowZones)
		}}
}

func loadTrialDocument(ctx context.Context, a *app, args []string, from, fromToken string) ([]byte, error) {
	if (len(args) == 1) == (from != "") {
		return nil, usagef("name the trial document as a file or with -from")
	}
	if len(args) == 1 {
		return readDocument(args[0])
	}
	if fromToken == "" {
		fromToken = a.tokenFile
	}
	pool, err := a.newPool("-from", from, fromToken)
	if err != nil {
		return nil, err
	}
	c, err := api.Query(ctx, pool, func(ctx context.Context, c *api.Client) (api.Config, error) { return c.Config(ctx, 0) })
	return []byte(c.Document), err
}

// fetchCurrentDocument returns the current document and its version. If there is none yet, it returns a nil document
// and requires name, the environment's name.
func fetchCurrentDocument(ctx context.Context, a *app, name string) (*environment.Document, int64, error) {
	c, err := fetchConfig(ctx, a, 0)
	if exitCode(err) == exitNotFound {
		if name == "" {
			return nil, 0, usagef("the environment has no document yet, name it with -environment")
		}
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	doc, err := parseDocument(fmt.Sprintf("version %d", c.Version), []byte(c.Document))
	if err == nil && name != "" && name != doc.Environment {
		err = exitf(exitRejected, "-environment is %q, the daemons serve environment %q", name, doc.Environment)
	}
	return doc, c.Version, err
}

func promote(ctx context.Context, a *app, p *publishFlags, current *environment.Document, version int64, data []byte,
	allowZones bool) error {
	doc, err := environment.Parse(data)
	if err != nil {
		return err
	}
	if current != nil {
		if err := successorError(current, doc); err != nil {
			return err
		}
	}
	changes := environment.Diff(current, doc)
	if !allowZones {
		for _, c := range changes {
			if c.Kind == environment.ChangeZoneService {
				return exitf(exitRejected, "promotion would change the service state of a zone (%s); nothing was changed; "+
					"use -allow-zone-changes if this is meant", c)
			}
		}
	}
	if p.dryRun {
		return a.printChanges(changes)
	}
	if len(changes) == 0 {
		a.printMessage("no changes")
	}
	for _, c := range changes {
		a.printProgress("%s", c)
	}
	return publish(ctx, a, p, version, data)
}

// sendZoneService sends the command of zone out and zone in.
func sendZoneService(ctx context.Context, a *app, id uuid.UUID, zone string, inService bool) (api.Answer, error) {
	return a.sendCommand(ctx, id, func(ctx context.Context, c *api.Client) (api.Answer, error) {
		return c.SetZoneService(ctx, api.SetZoneService{Command: id, Zone: zone, InService: inService, Author: a.author})
	})
}
