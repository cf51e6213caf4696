package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"waxwingslip.example/core/environment"
	"waxwingslip.example/core/strictyaml"
	"waxwingslip.example/node/operator/api"
)

func configGroup(a *app) subcommands.Command {
	return &group{app: a, name: "config", synopsis: "check, publish, show, compare and promote environment documents",
		commands: []subcommands.Command{
			configCheck(a), configPublish(a), configShow(a), configDiff(a), configPromote(a),
		}}
}

// readDocument reads a file, or standard input for "-".
func readDocument(path string) ([]byte, error) {
	reader := io.Reader(os.Stdin)
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "read document")
		}
		defer f.Close()
		reader = f
	}
	data, err := io.ReadAll(io.LimitReader(reader, environment.MaxDocumentBytes+1))
	return data, errors.Wrapf(err, "read document %s", path)
}

// parseDocument parses a document. Problems in its error name path.
func parseDocument(path string, data []byte) (*environment.Document, error) {
	doc, err := environment.Parse(data)
	return doc, withFileName(path, err)
}

// withFileName adds a file name to the problems of err if it is a strictyaml.Error.
func withFileName(path string, err error) error {
	var e *strictyaml.Error
	if errors.As(err, &e) {
		return &strictyaml.Error{File: path, Problems: e.Problems}
	}
	return err
}

// fileCheck is the JSON output of config check for one file.
type fileCheck struct {
	File        string   `json:"file"`
	Valid       bool     `json:"valid"`
	Environment string   `json:"environment,omitempty"`
	Problems    []string `json:"problems,omitempty"`
}

func configCheck(a *app) subcommands.Command {
	return &command{app: a, name: "check", args: "FILE...", minArgs: 1, maxArgs: 100,
		synopsis: "check documents without a daemon",
		run: func(_ context.Context, args []string) error {
			list := make([]fileCheck, 0, len(args))
			var rows [][]any
			invalid := 0
			for _, path := range args {
				c, err := checkFile(path)
				if err != nil {
					return err
				}
				result := "valid, environment " + c.Environment
				if !c.Valid {
					invalid++
					result = fmt.Sprintf("%d problems", len(c.Problems))
				}
				list = append(list, c)
				rows = append(rows, []any{path, result})
				for _, p := range c.Problems {
					fmt.Fprintf(a.stderr, "%s: %s\n", path, p)
				}
			}
			if err := a.print(list, nil, rows); err != nil {
				return err
			}
			if invalid > 0 {
				return exitf(exitRejected, "%d of %d files are invalid", invalid, len(args))
			}
			return nil
		}}
}

func checkFile(path string) (fileCheck, error) {
	data, err := readDocument(path)
	if err != nil {
		return fileCheck{}, err
	}
	doc, err := environment.Parse(data)
	var e *strictyaml.Error
	if errors.As(err, &e) {
		c := fileCheck{File: path}
		for _, p := range e.Problems {
			c.Problems = append(c.Problems, p.String())
		}
		return c, nil
	}
	if err != nil {
		return fileCheck{}, err
	}
	return fileCheck{File: path, Valid: true, Environment: doc.Environment}, nil
}

func configShow(a *app) subcommands.Command {
	var version int64
	var inForce bool
	return &command{app: a, name: "show", synopsis: "print a configuration, or where it is in force",
		detail: "  The document goes to standard output and its version to standard error.\n",
		flags: func(f *flag.FlagSet) {
			f.Int64Var(&version, "version", 0, "configuration `version`; 0 is the current one")
			f.BoolVar(&inForce, "in-force", false, "show which version is in force in each zone")
		},
		run: func(ctx context.Context, _ []string) error {
			if inForce {
				return showInForce(ctx, a)
			}
			c, err := fetchConfig(ctx, a, version)
			if err != nil {
				return err
			}
			if a.output == "json" {
				return a.printJSON(c)
			}
			a.printProgress("version %d by %s, read from %s; publish a change of it with -base %d", c.Version,
				orDash(c.Author), c.Source, c.Version)
			_, err = io.WriteString(a.stdout, c.Document)
			return errors.Wrap(err, "write output")
		}}
}

func fetchConfig(ctx context.Context, a *app, version int64) (api.Config, error) {
	return query(ctx, a, func(ctx context.Context, c *api.Client) (api.Config, error) { return c.Config(ctx, version) })
}

func showInForce(ctx context.Context, a *app) error {
	inForce, err := fetchConfigInForce(ctx, a)
	if err != nil {
		return err
	}
	var rows [][]any
	for _, z := range inForce.Zones {
		rows = append(rows, []any{z.Zone, z.Version, yesNo(z.Version >= inForce.Version), z.Members, yesNo(z.Reachable),
			formatAge(z.AgeMs)})
	}
	a.printProgress("newest version %d", inForce.Version)
	return a.print(inForce, []any{"ZONE", "VERSION", "IN FORCE", "DAEMONS", "HEARD", "AGE"}, rows)
}

func configDiff(a *app) subcommands.Command {
	var base int64
	return &command{app: a, name: "diff", args: "[OLD] NEW", minArgs: 1, maxArgs: 2,
		synopsis: "show what a document would change",
		detail:   "  With one file, it is compared with a published version.\n",
		flags: func(f *flag.FlagSet) {
			f.Int64Var(&base, "version", 0, "published `version` to compare with; 0 is the current one")
		},
		run: func(ctx context.Context, args []string) error {
			newPath := args[len(args)-1]
			data, err := readDocument(newPath)
			if err != nil {
				return err
			}
			doc, err := parseDocument(newPath, data)
			if err != nil {
				return err
			}
			old, err := loadDiffBase(ctx, a, args, base)
			if err != nil {
				return err
			}
			return a.printChanges(environment.Diff(old, doc))
		}}
}

func loadDiffBase(ctx context.Context, a *app, args []string, version int64) (*environment.Document, error) {
	if len(args) == 2 {
		data, err := readDocument(args[0])
		if err != nil {
			return nil, err
		}
		return parseDocument(args[0], data)
	}
	c, err := fetchConfig(ctx, a, version)
	if err != nil {
		return nil, err
	}
	return parseDocument(fmt.Sprintf("version %d", c.Version), []byte(c.Document))
}

func (a *app) printChanges(changes []environment.Change) error {
	if changes == nil {
		changes = []environment.Change{}
	}
	if a.output == "json" {
		return a.printJSON(changes)
	}
	if len(changes) == 0 {
		fmt.Fprintln(a.stdout, "no changes")
	}
	for _, c := range changes {
		fmt.Fprintln(a.stdout, c)
	}
	return nil
}
