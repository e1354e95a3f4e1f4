package cli

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"github.com/guavaford/guavaford/internal/operator"
	"github.com/guavaford/guavaford/platform"
)

// Exit codes of all commands.
const (
	// ExitOK means success; for "node", that it was stopped by a signal and ended in order.
	ExitOK = 0
	// ExitFailure means a failure that has no code of its own.
	ExitFailure = 1
	// ExitUsage means that the command line or a setting is not valid.
	ExitUsage = 2
	// ExitInvalid means that the configuration is not valid, or would not be after the change; nothing was changed.
	ExitInvalid = 3
	// ExitConflict means that the expected revision of a change is not the current one; nothing was changed.
	ExitConflict = 4
	// ExitNotFound means that a document, key or drain does not exist.
	ExitNotFound = 5
	// ExitTokenRefused means that the server refused the operators' token.
	ExitTokenRefused = 6
	// ExitUnavailable means that no server or no quorum answered; nothing was changed.
	ExitUnavailable = 7
	// ExitOutcomeUnknown means that the change may or may not take effect; resend it with the same id to find out.
	ExitOutcomeUnknown = 8
	// ExitChangeIDReused means that the change id was used for another change.
	ExitChangeIDReused = 9
)

// exitMeaning is the explanation of an exit code in the help and in docs/OPERATORS.md.
type exitMeaning struct {
	code    int
	meaning string
}

var exitMeanings = []exitMeaning{
	{ExitOK, "done; for node: stopped as planned"},
	{ExitFailure, "any other failure; for check: warnings or differences, with --strict"},
	{ExitUsage, "faulty command line or settings; for check: errors in the files, or the version in force can't be read"},
	{ExitInvalid, "the configuration is not or would not be valid; nothing was changed"},
	{ExitConflict, "the expected revision is not the current one; nothing was changed"},
	{ExitNotFound, "a document, key or drain does not exist"},
	{ExitTokenRefused, "the server refused the operators' token"},
	{ExitUnavailable, "no server or no quorum answered; nothing was changed"},
	{ExitOutcomeUnknown, "the change may or may not take effect; resend it with the same id"},
	{ExitChangeIDReused, "the change id was used for another change"},
}

// exitHelp returns the list of exit codes in the help of the root command.
func exitHelp() string {
	lines := []string{"Exit codes:"}
	for _, m := range exitMeanings {
		lines = append(lines, fmt.Sprintf("  %d  %s", m.code, m.meaning))
	}
	return strings.Join(lines, "\n")
}

// exitError is an error with the exit code that it leads to.
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

// problemExits maps each error code of the operators' API to an exit code.
var problemExits = map[operator.Code]int{
	operator.CodeTokenInvalid:         ExitTokenRefused,
	operator.CodeRequestInvalid:       ExitFailure,
	operator.CodeBodyTooLarge:         ExitFailure,
	operator.CodePathUnknown:          ExitFailure,
	operator.CodeMethodNotAllowed:     ExitFailure,
	operator.CodeConfigurationInvalid: ExitInvalid,
	operator.CodeRevisionConflict:     ExitConflict,
	operator.CodeChangeIDReused:       ExitChangeIDReused,
	operator.CodeControlUnavailable:   ExitUnavailable,
	operator.CodeChangeOutcomeUnknown: ExitOutcomeUnknown,
	operator.CodeMembershipRefused:    ExitFailure,
}

// exitCode returns the exit code that an error leads to.
func exitCode(err error) int {
	var exitErr *exitError
	var problem *operator.Problem
	var noAnswer *operator.NoAnswer
	var settingsErr *platform.SettingsError
	switch {
	case errors.As(err, &exitErr):
		return exitErr.code
	case errors.As(err, &settingsErr):
		return ExitUsage
	case errors.As(err, &problem):
		return problemExits[problem.Code]
	case errors.As(err, &noAnswer) && noAnswer.Applied == operator.AppliedUnknown:
		return ExitOutcomeUnknown
	case errors.As(err, &noAnswer):
		return ExitUnavailable
	default:
		return ExitFailure
	}
}
