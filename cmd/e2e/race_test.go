//go:build race

package e2e

// raceDetector reports whether the binaries are built with the race detector, as the tests are.
const raceDetector = true
