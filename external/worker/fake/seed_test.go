package fake

import "flag"

// A fixed seed makes the generated cases the same in every run. The flag -rapid.seed selects another one.
func init() { _ = flag.Set("rapid.seed", "20261204") }
