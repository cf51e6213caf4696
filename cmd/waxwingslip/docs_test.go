package main

import (
	"flag"
	"io"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/google/subcommands"

	"waxwingslip.example/core/environment"
	"waxwingslip.example/node/settings"
)

// Guards against a field, command or flag that the documentation does not mention.
func TestDocumented(t *testing.T) {
	for page, root := range map[string]any{
		"settings.md": settings.Settings{}, "environment.md": environment.Document{},
	} {
		text := readPage(t, page)
		for _, key := range yamlKeys(reflect.TypeOf(root)) {
			if !strings.Contains(text, key+"`") {
				t.Errorf("docs/%s does not mention the field %q", page, key)
			}
		}
	}
	text := readPage(t, "cli.md")
	checkMentioned := func(prefix string, c subcommands.Command) {
		if !strings.Contains(text, "`"+prefix+c.Name()) {
			t.Errorf("docs/cli.md does not mention the command %q", prefix+c.Name())
		}
		f := flag.NewFlagSet("", flag.ContinueOnError)
		c.SetFlags(f)
		f.VisitAll(func(fl *flag.Flag) {
			if !strings.Contains(text, "-"+fl.Name) {
				t.Errorf("docs/cli.md does not mention the flag -%s of %s", fl.Name, c.Name())
			}
		})
	}
	a := newApp(os.Getenv, io.Discard, io.Discard)
	for _, c := range []subcommands.Command{configGroup(a), zoneGroup(a), jobGroup(a), taskGroup(a), workerGroup(a),
		statusCommand(a), explainCommand(a)} {
		g, isGroup := c.(*group)
		if !isGroup {
			checkMentioned("", c)
			continue
		}
		for _, sub := range g.commands {
			checkMentioned(g.name+" ", sub)
		}
	}
}

func readPage(t *testing.T, name string) string {
	t.Helper()
	return readTestFile(t, "../../docs/"+name)
}

// yamlKeys returns the YAML keys of t and of the structs in it.
func yamlKeys(t reflect.Type) []string {
	for t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct {
		return nil
	}
	var keys []string
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		nested := yamlKeys(t.Field(i).Type)
		if len(nested) == 0 {
			keys = append(keys, name)
		}
		keys = append(keys, nested...)
	}
	return keys
}
