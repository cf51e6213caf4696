package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"waxwingslip.example/core/environment"
	"waxwingslip.example/node/settings"
)

// Guards against examples that no longer match the code or the sizes that the design states.
func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/*.yaml")
	if err != nil {
		t.Fatal(err)
	}
	workers := map[string]int{"ambon": 48, "sacudidores": 66, "target": 1400}
	docs := map[string]*environment.Document{}
	for _, path := range files {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		dir, name := filepath.Base(filepath.Dir(path)), filepath.Base(path)
		switch name {
		case "trial.yaml", "production.yaml":
			doc, err := environment.Parse(data)
			if err != nil {
				t.Fatalf("%s: %v", path, err)
			}
			docs[dir] = doc
			total := 0
			for _, r := range doc.Regions {
				for _, z := range r.Zones {
					total += z.Workers
				}
			}
			if total != workers[dir] || doc.Environment+".yaml" != name {
				t.Errorf("%s: %d workers in environment %s, want %d", path, total, doc.Environment, workers[dir])
			}
		case "waxwingslipd.yaml":
			if _, err := settings.Parse(path, data); err != nil {
				t.Error(err)
			}
		default:
			if !strings.HasSuffix(name, ".job.yaml") {
				t.Errorf("%s is not checked by this test", path)
			}
		}
	}
	for dir, doc := range docs {
		checkJobs(t, dir, doc)
	}
	is.New(t).Equal(len(docs), 3)
}

func checkJobs(t *testing.T, dir string, doc *environment.Document) {
	t.Helper()
	jobs, err := filepath.Glob("../../examples/" + dir + "/*.job.yaml")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range jobs {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		spec, err := environment.ParseJob(data, "")
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		if problems := environment.CheckJob(doc, spec); len(problems) > 0 {
			t.Errorf("%s: %v", path, problems)
		}
	}
}
