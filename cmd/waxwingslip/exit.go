package main

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"waxwingslip.example/core/strictyaml"
	"waxwingslip.example/node/operator/api"
)

// Exit codes; docs/cli.md explains them.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitRejected = 3
	exitConflict = 4
	exitUnknown  = 5
	exitTimeout  = 6
	exitNotFound = 7
)

// exitError is an error with the exit code it stands for.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

func exitf(code int, format string, args ...any) error {
	return &exitError{code: code, err: errors.Errorf(format, args...)}
}

func usagef(format string, args ...any) error { return exitf(exitUsage, format, args...) }

// report prints err and returns its exit code.
func (a *app) report(err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(a.stderr, err)
	return codeOf(err)
}

func codeOf(err error) int {
	var exit *exitError
	var yaml *strictyaml.Error
	var call *api.Error
	switch {
	case errors.As(err, &exit):
		return exit.code
	case errors.As(err, &yaml):
		return exitRejected
	case errors.As(err, &call) && call.Status == http.StatusNotFound:
		return exitNotFound
	}
	return exitFailed
}

// answerError returns nil for an accepted command, else an error with the matching exit code.
func answerError(answer api.Answer) error {
	where := ""
	if answer.Step != "" {
		where = " (step " + answer.Step
		if answer.Peer != "" {
			where += ", peer " + answer.Peer
		}
		where += ")"
	}
	reason := strings.TrimPrefix(answer.Reason, string(answer.Result)+": ")
	text := fmt.Sprintf("%s: %s%s", answer.Result, reason, where)
	for _, p := range answer.Problems {
		text += "\n  " + p
	}
	switch answer.Result {
	case api.Accepted:
		return nil
	case api.Conflict:
		return exitf(exitConflict, "%s; nothing was changed", text)
	case api.Rejected:
		return exitf(exitRejected, "%s; nothing was changed", text)
	}
	return exitf(exitUnknown, "%s\nthe command may have taken effect; repeat it with -command-id %s", text, answer.Command)
}
