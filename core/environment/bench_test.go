package environment

import (
	"os"
	"testing"
)

// BenchmarkParseTarget measures the parsing of a document of the target size: every daemon parses each published
// document, within its memory budget of 64 MB.
func BenchmarkParseTarget(b *testing.B) {
	data, err := os.ReadFile("../../examples/target/production.yaml")
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Parse(data); err != nil {
			b.Fatal(err)
		}
	}
}
