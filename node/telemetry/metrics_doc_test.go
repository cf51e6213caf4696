package telemetry

import (
	"flag"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "rewrite docs/metrics.md from the table")

const metricsPagePath = "../../docs/metrics.md"

func metricsPage() string {
	var b strings.Builder
	b.WriteString("# Metrics\n\n" +
		"Every daemon serves its metrics as JSON at `/debug/vars` on the health listener, under the key `waxwingslip`.\n" +
		"Counters and gauges are numbers. A histogram is an object with `total` (latencies since the start of the\n" +
		"process), and `count`, `p50`, `p95`, `p99`, `p999` and `max` of the last one to two minutes; its times are in\n" +
		"microseconds and have an error below 1%.\n\n" +
		"`/healthz` answers 200 while the process runs. `/readyz` answers 200, or 503 with the failing checks.\n\n" +
		"This page is generated: `go test ./node/telemetry -run TestMetricsPage -update`.\n\n" +
		"| name | type | unit | meaning |\n| --- | --- | --- | --- |\n")
	for _, m := range Table {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", m.Name, m.Type, m.Unit, m.Help)
	}
	return b.String()
}

// Guards against a metrics page that differs from the metrics that the daemon serves.
func TestMetricsPage(t *testing.T) {
	is := is.New(t)
	if *update {
		is.NoErr(os.WriteFile(metricsPagePath, []byte(metricsPage()), 0o644))
	}
	got, err := os.ReadFile(metricsPagePath)
	is.NoErr(err)
	if string(got) != metricsPage() {
		t.Fatal("docs/metrics.md differs from the table; run: go test ./node/telemetry -run TestMetricsPage -update")
	}
}

// Guards against incomplete rows and against two rows with the same name, one of which would replace the other.
func TestTable(t *testing.T) {
	is := is.New(t)
	name := regexp.MustCompile(`^[a-z]+(_[a-z]+)+$`)
	seen := map[string]bool{}
	for _, m := range Table {
		is.True(name.MatchString(m.Name))
		is.True(!seen[m.Name])
		seen[m.Name] = true
		is.True(m.Type.String() != "invalid")
		is.True(m.Unit != "" && strings.HasSuffix(m.Help, "."))
		is.True(m.Type != TypeHistogram || m.Unit == "us")
	}
}

// Guards against a count under a misspelt name, which would only raise telemetry_unknown_names.
func TestCountedNamesAreInTable(t *testing.T) {
	is := is.New(t)
	r := New(time.Now)
	call := regexp.MustCompile(`\.Count\("([^"]*)"\)`)
	is.NoErr(filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		src, err := os.ReadFile(path)
		for _, m := range call.FindAllStringSubmatch(string(src), -1) {
			if r.counters[m[1]] == nil {
				t.Errorf("%s counts %q, which is not in the table", path, m[1])
			}
		}
		return err
	}))
}
