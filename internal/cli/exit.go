package cli

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"github.com/guavaford/guavaford/internal/operator"
	"github.com/guavaford/guavaford/platform"
)

// The exit codes of every command.
const (
	// ExitOK is success; for node, the end of a planned stop.
	ExitOK = 0
	// ExitFailure is any failure that has no code of its own.
	ExitFailure = 1
	// ExitUsage is a faulty command line or setting.
	ExitUsage = 2
	// ExitInvalid is a configuration that is not valid; nothing was changed.
	ExitInvalid = 3
	// ExitConflict is a change against a revision that is not the current one; nothing was changed.
	ExitConflict = 4
	// ExitNotFound is a document or key that does not exist.
	ExitNotFound = 5
	// ExitToken is an operators' token that the server refused.
	ExitToken = 6
	// ExitUnavailable means that no server or no quorum answered; nothing was changed.
	ExitUnavailable = 7
	// ExitUnknown is a change that may or may not take effect; resend it with the same id.
	ExitUnknown = 8
	// ExitChangeIDReused is a change id that was used for another change.
	ExitChangeIDReused = 9
)

// exitMeaning explains one exit code in the help and in docs/OPERATORS.md.
type exitMeaning struct {
	code    int
	meaning string
}

var exitMeanings = []exitMeaning{
	{ExitOK, "done; for node: stopped as planned"},
	{ExitFailure, "any other failure"},
	{ExitUsage, "faulty command line or settings"},
	{ExitInvalid, "the configuration is not or would not be valid; nothing was changed"},
	{ExitConflict, "the expected revision is not the current one; nothing was changed"},
	{ExitNotFound, "a document, key or drain does not exist"},
	{ExitToken, "the server refused the operators' token"},
	{ExitUnavailable, "no server or no quorum answered; nothing was changed"},
	{ExitUnknown, "the change may or may not take effect; resend it with the same id"},
	{ExitChangeIDReused, "the change id was used for another change"},
}

// exitHelp lists the exit codes for the help of the root command.
func exitHelp() string {
	lines := []string{"Exit codes:"}
	for _, m := range exitMeanings {
		lines = append(lines, fmt.Sprintf("  %d  %s", m.code, m.meaning))
	}
	return strings.Join(lines, "\n")
}

// exitError is an error with its exit code.
type exitError struct {
	code int
	err  error
}

// Error returns the message.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

func usageError(format string, args ...any) error {
	return &exitError{ExitUsage, errors.Errorf(format, args...)}
}

func invalidError(format string, args ...any) error {
	return &exitError{ExitInvalid, errors.Errorf(format, args...)}
}

func notFoundError(format string, args ...any) error {
	return &exitError{ExitNotFound, errors.Errorf(format, args...)}
}

// problemExits holds the exit code of each error of the operators' interface.
var problemExits = map[operator.Code]int{
	operator.CodeTokenInvalid:         ExitToken,
	operator.CodeRequestInvalid:       ExitFailure,
	operator.CodeBodyTooLarge:         ExitFailure,
	operator.CodePathUnknown:          ExitFailure,
	operator.CodeMethodNotAllowed:     ExitFailure,
	operator.CodeConfigurationInvalid: ExitInvalid,
	operator.CodeRevisionConflict:     ExitConflict,
	operator.CodeChangeIDReused:       ExitChangeIDReused,
	operator.CodeControlUnavailable:   ExitUnavailable,
	operator.CodeChangeUnknown:        ExitUnknown,
	operator.CodeMembershipRefused:    ExitFailure,
}

// exitCode returns the exit code of an error.
func exitCode(err error) int {
	var exit *exitError
	var problem *operator.Problem
	var noAnswer *operator.NoAnswer
	var faulty *platform.SettingsError
	switch {
	case errors.As(err, &exit):
		return exit.code
	case errors.As(err, &faulty):
		return ExitUsage
	case errors.As(err, &problem):
		return problemExits[problem.Code]
	case errors.As(err, &noAnswer) && noAnswer.Applied == operator.AppliedUnknown:
		return ExitUnknown
	case errors.As(err, &noAnswer):
		return ExitUnavailable
	default:
		return ExitFailure
	}
}
