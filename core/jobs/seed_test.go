package jobs

import "flag"

// Generated cases run with a fixed seed, so that every run gives the same verdict. The flag -rapid.seed draws others.
func init() { _ = flag.Set("rapid.seed", "20261204") }
