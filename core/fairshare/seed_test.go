package fairshare

import "flag"

// Generated cases use a fixed seed, so that every run gives the same result. The flag -rapid.seed sets another one.
func init() { _ = flag.Set("rapid.seed", "20261206") }
