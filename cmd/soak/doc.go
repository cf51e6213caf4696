// Package soak runs hosted daemons as processes, with workers and the platform's store in the test's process, and
// injects faults from outside. Its tests check what callers and workers see.
package soak
