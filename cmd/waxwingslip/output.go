package main

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"waxwingslip.example/core/resource"
)

func (a *app) printJSON(v any) error {
	enc := json.NewEncoder(a.stdout)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(v), "write output")
}

// print writes v as JSON, or the rows of a table.
func (a *app) print(v any, header []any, rows [][]any) error {
	if a.output == "json" {
		return a.printJSON(v)
	}
	w := tabwriter.NewWriter(a.stdout, 0, 4, 2, ' ', 0)
	if header != nil {
		printRow(w, header)
	}
	for _, row := range rows {
		printRow(w, row)
	}
	return errors.Wrap(w.Flush(), "write output")
}

func printRow(w *tabwriter.Writer, cells []any) {
	for i, c := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, c)
	}
	fmt.Fprintln(w)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// formatAge formats an age in milliseconds; a negative age is unknown.
func formatAge(ms int64) string {
	if ms < 0 {
		return "unknown"
	}
	d := time.Duration(ms) * time.Millisecond
	if d < time.Second {
		return d.String()
	}
	return d.Round(time.Second).String()
}

// orDash replaces an empty value by a dash, so that a table cell is never blank.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// formatUsage formats the reserved and total slots and CPU.
func formatUsage(reserved, total resource.Vector) string {
	return fmt.Sprintf("%d/%d slots, %d/%d milliCPU", reserved.Slots, total.Slots, reserved.MilliCPU, total.MilliCPU)
}
