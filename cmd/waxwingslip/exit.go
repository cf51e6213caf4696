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

// exitError is an error with the exit code of the process.
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

// reportError prints err and returns its exit code.
func (a *app) reportError(err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(a.stderr, err)
	return exitCode(err)
}

func exitCode(err error) int {
	var exitErr *exitError
	var yamlErr *strictyaml.Error
	var apiErr *api.Error
	switch {
	case errors.As(err, &exitErr):
		return exitErr.code
	case errors.As(err, &yamlErr):
		return exitRejected
	case errors.As(err, &apiErr) && apiErr.Status == http.StatusNotFound:
		return exitNotFound
	}
	return exitFailed
}

// answerError returns nil for an accepted command, else an error with the matching exit code.
func answerError(answer api.Answer) error {
	location := ""
	if answer.Step != "" {
		location = " (step " + answer.Step
		if answer.Peer != "" {
			location += ", peer " + answer.Peer
		}
		location += ")"
	}
	reason := strings.TrimPrefix(answer.Reason, string(answer.Result)+": ")
	text := fmt.Sprintf("%s: %s%s", answer.Result, reason, location)
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
