// Package soak runs hosted daemons as child processes, with fake workers and a fake store in the test process, and
// injects faults from outside the daemons. Its tests check what callers and workers observe.
package soak
