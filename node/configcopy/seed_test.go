package configcopy

import "flag"

// A fixed seed makes the generated cases reproducible; the flag -rapid.seed selects another one.
func init() { _ = flag.Set("rapid.seed", "20261204") }
