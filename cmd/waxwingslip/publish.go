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

// defaultInForceTimeout is several times the 7 s within which a configuration is in force everywhere.
const defaultInForceTimeout = 30 * time.Second

// publishFlags are the flags that all publishing commands share.
type publishFlags struct {
	id      commandID
	dryRun  bool
	wait    bool
	timeout time.Duration
}

func (p *publishFlags) flag(f *flag.FlagSet, timeout time.Duration, until string) {
	p.id.flag(f)
	f.BoolVar(&p.dryRun, "dry-run", false, "show what would change and change nothing")
	f.BoolVar(&p.wait, "wait", true, "wait until "+until)
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
			p.flag(f, defaultInForceTimeout, "the configuration is in force in every zone")
			f.StringVar(&base, "base", "", "`version` that the file was made from: a number, 0 for the first document, "+
				"or current")
		},
		run: func(ctx context.Context, args []string) error {
			data, err := readDocument(args[0])
			if err != nil {
				return err
			}
			doc, err := parseNamed(args[0], data)
			if err != nil {
				return err
			}
			version, err := resolveBase(ctx, a, base)
			if err != nil {
				return err
			}
			if p.dryRun {
				return dryRun(ctx, a, version, doc)
			}
			if err := checkSuccessor(ctx, a, version, doc); err != nil {
				return err
			}
			return publish(ctx, a, &p, version, data)
		}}
}

func resolveBase(ctx context.Context, a *app, base string) (int64, error) {
	if base == "current" {
		c, err := config(ctx, a, 0)
		return c.Version, err
	}
	v, err := strconv.ParseInt(base, 10, 64)
	if err != nil || v < 0 {
		return 0, usagef("-base is %q, must be the version that the file was made from, 0 or current", base)
	}
	return v, nil
}

// dryRun compares doc with the current version, on which it must be based.
func dryRun(ctx context.Context, a *app, base int64, doc *environment.Document) error {
	c, err := config(ctx, a, 0)
	switch {
	case codeOf(err) == exitNotFound && base == 0:
		return a.printChanges(environment.Diff(nil, doc))
	case err != nil:
		return err
	case c.Version != base:
		return exitf(exitConflict, "conflict: the file is based on version %d, but version %d by %s is current", base,
			c.Version, orDash(c.Author))
	}
	old, err := parseNamed(fmt.Sprintf("version %d", base), []byte(c.Document))
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

// checkSuccessor compares doc with the current version if that is the base. Any other case is left to the
// daemon: a repeated command finds its own version as the current one.
func checkSuccessor(ctx context.Context, a *app, base int64, doc *environment.Document) error {
	c, err := config(ctx, a, 0)
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
	id, err := p.id.get(a)
	if err != nil {
		return err
	}
	answer, err := a.send(ctx, id, func(ctx context.Context, c *api.Client) (api.Answer, error) {
		return c.PublishConfig(ctx, api.PublishConfig{Command: id, Base: base, Document: string(data), Author: a.author})
	})
	if err != nil {
		return err
	}
	a.say("published version %d", answer.Version)
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
			p.flag(f, defaultInForceTimeout, "the configuration is in force in every zone")
			f.StringVar(&from, "from", "", "`URLs` of daemons of the trial environment")
			f.StringVar(&fromToken, "from-token-file", "", "token `file` for -from; default is -token-file")
			f.StringVar(&name, "environment", "", "`name` of the environment, needed for its first document only")
			f.BoolVar(&allowZones, "allow-zone-changes", false, "allow changes of zones' in-service state")
		},
		run: func(ctx context.Context, args []string) error {
			trial, err := trialDocument(ctx, a, args, from, fromToken)
			if err != nil {
				return err
			}
			current, version, err := currentDocument(ctx, a, name)
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

func trialDocument(ctx context.Context, a *app, args []string, from, fromToken string) ([]byte, error) {
	if (len(args) == 1) == (from != "") {
		return nil, usagef("name the trial document as a file or with -from")
	}
	if len(args) == 1 {
		return readDocument(args[0])
	}
	if fromToken == "" {
		fromToken = a.tokenFile
	}
	pool, err := a.poolFor("-from", from, fromToken)
	if err != nil {
		return nil, err
	}
	c, err := api.Query(ctx, pool, func(ctx context.Context, c *api.Client) (api.Config, error) { return c.Config(ctx, 0) })
	return []byte(c.Document), err
}

// currentDocument returns the current document and version; a nil document if there is none yet, for which
// the environment's name has to be given.
func currentDocument(ctx context.Context, a *app, name string) (*environment.Document, int64, error) {
	c, err := config(ctx, a, 0)
	if codeOf(err) == exitNotFound {
		if name == "" {
			return nil, 0, usagef("the environment has no document yet, name it with -environment")
		}
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	doc, err := parseNamed(fmt.Sprintf("version %d", c.Version), []byte(c.Document))
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
		a.say("no changes")
	}
	for _, c := range changes {
		a.progress("%s", c)
	}
	return publish(ctx, a, p, version, data)
}

// sendSetZone is shared by zone out and zone in.
func sendSetZone(ctx context.Context, a *app, id uuid.UUID, zone string, inService bool) (api.Answer, error) {
	return a.send(ctx, id, func(ctx context.Context, c *api.Client) (api.Answer, error) {
		return c.SetZoneService(ctx, api.SetZoneService{Command: id, Zone: zone, InService: inService, Author: a.author})
	})
}
