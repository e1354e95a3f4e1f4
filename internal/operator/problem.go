package operator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
)

// Code is the stable name of an error of this API.
type Code string

// The error codes of this API.
const (
	CodeTokenInvalid         Code = "token-invalid"
	CodeRequestInvalid       Code = "request-invalid"
	CodeBodyTooLarge         Code = "request-too-large"
	CodePathUnknown          Code = "path-unknown"
	CodeMethodNotAllowed     Code = "request-method-not-allowed"
	CodeConfigurationInvalid Code = "configuration-invalid"
	CodeRevisionConflict     Code = "revision-conflict"
	CodeChangeIDReused       Code = "change-id-reused"
	CodeControlUnavailable   Code = "control-unavailable"
	CodeChangeOutcomeUnknown Code = "change-outcome-unknown"
	CodeMembershipRefused    Code = "membership-refused"
)

// statuses holds the HTTP status of each code.
var statuses = map[Code]int{
	CodeTokenInvalid:         http.StatusUnauthorized,
	CodeRequestInvalid:       http.StatusBadRequest,
	CodeBodyTooLarge:         http.StatusRequestEntityTooLarge,
	CodePathUnknown:          http.StatusNotFound,
	CodeMethodNotAllowed:     http.StatusMethodNotAllowed,
	CodeConfigurationInvalid: http.StatusUnprocessableEntity,
	CodeRevisionConflict:     http.StatusConflict,
	CodeChangeIDReused:       http.StatusConflict,
	CodeControlUnavailable:   http.StatusServiceUnavailable,
	CodeChangeOutcomeUnknown: http.StatusGatewayTimeout,
	CodeMembershipRefused:    http.StatusConflict,
}

// Codes returns every code in no particular order.
func Codes() []Code {
	codes := make([]Code, 0, len(statuses))
	for code := range statuses {
		codes = append(codes, code)
	}
	return codes
}

// Applied says whether a change that failed took effect.
type Applied string

// The values of Applied.
const (
	AppliedNo      Applied = "no"
	AppliedUnknown Applied = "unknown"
)

// Problem is an RFC 9457 problem document of this API. The client returns it as an error.
type Problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	Code   Code   `json:"code"`
	// Applied says whether the change of the request took effect.
	Applied Applied `json:"applied,omitempty"`
	// Revision is the current revision on a conflict.
	Revision uint64 `json:"revision,omitempty"`
	// Faults lists the problems of an invalid configuration.
	Faults []string `json:"faults,omitempty"`
}

// newProblem returns a problem with the code for a request that changed nothing.
func newProblem(code Code, format string, args ...any) *Problem {
	status := code.Status()
	return &Problem{Title: http.StatusText(status), Status: status, Code: code, Applied: AppliedNo, Detail: fmt.Sprintf(format, args...)}
}

// Error returns the code and the detail, then each fault on its own line.
func (p *Problem) Error() string {
	lines := []string{fmt.Sprintf("%s: %s", p.Code, p.Detail)}
	for _, fault := range p.Faults {
		lines = append(lines, "  "+fault)
	}
	return strings.Join(lines, "\n")
}

// retryAfterSeconds is the Retry-After header of temporary problems.
const retryAfterSeconds = "1"

// write sends the problem as the response.
func (p *Problem) write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", "application/problem+json")
	switch p.Code {
	case CodeControlUnavailable, CodeChangeOutcomeUnknown:
		header.Set("Retry-After", retryAfterSeconds)
	case CodeTokenInvalid:
		header.Set("WWW-Authenticate", `Bearer realm="guavaford operators"`)
	}
	writeJSON(w, p.Status, p)
}

// writeJSON sends a value. It ignores the error of encoding: the status is already written by then,
// and an error only means that the client is gone.
func writeJSON(w http.ResponseWriter, status int, value any) {
	header := w.Header()
	if header.Get("Content-Type") == "" {
		header.Set("Content-Type", "application/json")
	}
	header.Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// Status returns the HTTP status of the code.
func (c Code) Status() int {
	return statuses[c]
}
