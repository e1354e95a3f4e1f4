package configcheck

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/guavaford/guavaford/internal/config"
)

// Severity says what a finding means for the configuration.
type Severity string

// Severities.
const (
	// SeverityError is a configuration that would be refused.
	SeverityError Severity = "error"
	// SeverityWarning is a configuration that would be accepted, but is hardly meant like this.
	SeverityWarning Severity = "warning"
)

// Code identifies the kind of a finding. Codes stay the same across versions.
type Code string

// Codes of errors.
const (
	// CodeUnreadable is a file that can't be parsed.
	CodeUnreadable Code = "unreadable"
	// CodeInvalid is a document or field that is invalid by itself.
	CodeInvalid Code = "invalid"
	// CodeConflict is a document that contradicts others or refers to nothing.
	CodeConflict Code = "conflict"
)

// Codes of entries that can never match or take effect.
const (
	CodeRouteShadowed            Code = "route-shadowed"
	CodeRoutePartlyShadowed      Code = "route-partly-shadowed"
	CodeHostIgnored              Code = "host-ignored"
	CodeClassUnused              Code = "class-unused"
	CodeSelectorContradiction    Code = "selector-contradiction"
	CodeOrganisationWithoutKey   Code = "organisation-without-key"
	CodeOrganisationWithoutRoute Code = "organisation-without-route"
	CodeRouteWithoutOrganisation Code = "route-without-organisation"
	CodeServiceWithoutRoute      Code = "service-without-route"
	CodeServiceWithoutTargets    Code = "service-without-targets"
	CodeServiceDrained           Code = "service-drained"
	CodeRouteWithoutTargets      Code = "route-without-targets"
	CodePolicyWithoutTarget      Code = "policy-without-target"
	CodePolicyOverridden         Code = "policy-overridden"
	CodeHealthPathUnused         Code = "health-path-unused"
)

// Codes of limits that contradict each other.
const (
	CodeGoalAboveTimeout      Code = "goal-above-timeout"
	CodeTimeoutBelowWork      Code = "timeout-below-work"
	CodeGoalBelowWork         Code = "goal-below-work"
	CodeRateAboveTargets      Code = "rate-above-targets"
	CodeAttemptsBeyondTimeout Code = "attempts-beyond-timeout"
	CodeAttemptsAboveLimit    Code = "attempts-above-limit"
	CodeAttemptsAboveTargets  Code = "attempts-above-targets"
	CodeAttemptsAboveBudget   Code = "attempts-above-budget"
	CodeSlotsAboveConnections Code = "slots-above-connections"
)

// Finding is one result of a check.
type Finding struct {
	Code     Code     `json:"code"`
	Severity Severity `json:"severity"`
	// File and Line are the position; Line is 0 if it is not known.
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
	// Kind, Name and Field are the place: a document and the path of a field in it, or a table, row and column.
	Kind  string `json:"kind,omitempty"`
	Name  string `json:"name,omitempty"`
	Field string `json:"field,omitempty"`
	// Row is the number of the row, counted from 0; nil for documents.
	Row     *int   `json:"row,omitempty"`
	Message string `json:"message"`
}

// String returns "file:line: severity: code: kind/name: field: message", without the parts that are not known.
func (f Finding) String() string {
	position, entry := f.File, f.Kind
	if f.File != "" && f.Line > 0 {
		position = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	if f.Name != "" {
		entry += "/" + f.Name
	}
	if f.Row != nil {
		entry += fmt.Sprintf(" (row %d)", *f.Row)
	}
	parts := []string{position, string(f.Severity), string(f.Code), entry, f.Field, f.Message}
	return strings.Join(slices.DeleteFunc(parts, func(part string) bool { return part == "" }), ": ")
}

// quoted matches values that messages of parsers and validators quote.
var quoted = regexp.MustCompile("`[^`]*`" + `|"(?:[^"\\]|\\.)*"`)

// keyField is the field that holds digests of keys. A faulty one may hold a key itself, so that its value isn't printed.
const keyField = "spec.keyDigests"

// Errors converts problems of documents to findings with a code.
func Errors(code Code, problems config.Problems) []Finding {
	found := make([]Finding, 0, len(problems))
	for _, p := range problems {
		f := Finding{Code: code, Severity: SeverityError, File: p.File, Line: p.Line, Kind: p.Kind, Name: p.Name, Field: p.Field, Message: p.Message}
		if code == CodeInvalid && p.Kind == "" && p.Name == "" && p.Field == "" {
			f.Code = CodeUnreadable
		}
		if p.Field == keyField {
			f.Message = quoted.ReplaceAllString(p.Message, "a value")
		}
		found = append(found, f)
	}
	return found
}

// Sort sorts findings in place by severity, position, place and code, and returns them.
func Sort(all []Finding) []Finding {
	slices.SortStableFunc(all, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Severity, b.Severity), cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Kind, b.Kind),
			cmp.Compare(a.Name, b.Name), cmp.Compare(a.Field, b.Field), cmp.Compare(a.Code, b.Code))
	})
	return all
}

// Count returns the number of findings of a severity.
func Count(all []Finding, severity Severity) int {
	n := 0
	for _, f := range all {
		if f.Severity == severity {
			n++
		}
	}
	return n
}

// Codes returns all codes.
func Codes() []Code {
	return []Code{
		CodeUnreadable, CodeInvalid, CodeConflict,
		CodeRouteShadowed, CodeRoutePartlyShadowed, CodeHostIgnored, CodeClassUnused, CodeSelectorContradiction, CodeOrganisationWithoutKey,
		CodeOrganisationWithoutRoute, CodeRouteWithoutOrganisation, CodeServiceWithoutRoute, CodeServiceWithoutTargets, CodeServiceDrained,
		CodeRouteWithoutTargets, CodePolicyWithoutTarget, CodePolicyOverridden, CodeHealthPathUnused,
		CodeGoalAboveTimeout, CodeTimeoutBelowWork, CodeGoalBelowWork, CodeRateAboveTargets, CodeAttemptsBeyondTimeout, CodeAttemptsAboveLimit,
		CodeAttemptsAboveTargets, CodeAttemptsAboveBudget, CodeSlotsAboveConnections,
	}
}
