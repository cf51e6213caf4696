// Package e2e contains tests that run the daemon and the stand-ins as separate processes, inject failures and check
// the invariants of docs/design.md, section 1.1. docs/proofs.md lists what each test shows.
package e2e
