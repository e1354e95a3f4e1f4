// Package outcome defines refusals: the error responses that the system generates itself, in contrast to
// those of a target.
//
// A refusal carries a stable code, whether the work ran at a target, and when to retry. All codes are
// defined in the catalogue of this package; docs/REFUSALS.md lists them for callers. A Refusal is
// converted to and from its protobuf message where it passes between nodes.
package outcome

import (
	"fmt"
	"net/http"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// Ran states whether a target started the work of a request.
type Ran string

// The values of Ran. RanNo is used only if it is certain that the work was not started.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Code is the stable identifier of a kind of refusal.
type Code string

// The refusal codes.
const (
	KeyMissing            Code = "key-missing"
	KeyUnknown            Code = "key-unknown"
	KeyWithdrawn          Code = "key-withdrawn"
	RouteUnknown          Code = "route-unknown"
	MethodNotAllowed      Code = "method-not-allowed"
	BadRequest            Code = "bad-request"
	BodyTooLarge          Code = "body-too-large"
	RateExceeded          Code = "rate-exceeded"
	RateUnavailable       Code = "rate-unavailable"
	Overloaded            Code = "overloaded"
	QueueFull             Code = "queue-full"
	Evicted               Code = "evicted"
	DeadlineTooShort      Code = "deadline-too-short"
	DeadlineExceeded      Code = "deadline-exceeded"
	Cancelled             Code = "cancelled"
	NoTarget              Code = "no-target"
	TargetLeaving         Code = "target-leaving"
	TargetFailed          Code = "target-failed"
	TargetUnreachable     Code = "target-unreachable"
	OutcomeUnknown        Code = "outcome-unknown"
	StaleConfiguration    Code = "stale-configuration"
	HandleUnknown         Code = "handle-unknown"
	IdempotencyKeyReused  Code = "idempotency-key-reused"
	RunRecordsFull        Code = "run-records-full"
	RunRecordsUnavailable Code = "run-records-unavailable"
	AnswerTooLarge        Code = "answer-not-recorded"
	NodeStopping          Code = "node-stopping"
	RepeatRefused         Code = "repeat-refused"
	Suspected             Code = "request-suspected"
	Quarantined           Code = "request-quarantined"
	AnswersFull           Code = "answers-full"
	LinkTooSlow           Code = "link-too-slow"
)

// entry holds the HTTP status and the title of a refusal code.
type entry struct {
	status int
	title  string
}

// catalogue defines the HTTP status and the title of each code.
var catalogue = map[Code]entry{
	KeyMissing:            {http.StatusUnauthorized, "The request carries no key"},
	KeyUnknown:            {http.StatusUnauthorized, "The key is not known"},
	KeyWithdrawn:          {http.StatusUnauthorized, "The key was withdrawn"},
	RouteUnknown:          {http.StatusNotFound, "No route matches the request"},
	MethodNotAllowed:      {http.StatusMethodNotAllowed, "The route does not accept the method"},
	BadRequest:            {http.StatusBadRequest, "The request is malformed"},
	BodyTooLarge:          {http.StatusRequestEntityTooLarge, "The body exceeds the limit of the route"},
	RateExceeded:          {http.StatusTooManyRequests, "The organisation is over its rate"},
	RateUnavailable:       {http.StatusServiceUnavailable, "Rate tokens can't be obtained at the moment"},
	Overloaded:            {http.StatusServiceUnavailable, "The service is overloaded"},
	QueueFull:             {http.StatusServiceUnavailable, "The queue of the target is full"},
	Evicted:               {http.StatusServiceUnavailable, "A more important request took the place in the queue"},
	DeadlineTooShort:      {http.StatusServiceUnavailable, "The deadline can't be met"},
	DeadlineExceeded:      {http.StatusGatewayTimeout, "The deadline has passed"},
	Cancelled:             {499, "The caller cancelled the request"},
	NoTarget:              {http.StatusServiceUnavailable, "No target is available"},
	TargetLeaving:         {http.StatusServiceUnavailable, "The target takes no new work"},
	TargetFailed:          {http.StatusBadGateway, "The target failed"},
	TargetUnreachable:     {http.StatusServiceUnavailable, "The target can't be reached"},
	OutcomeUnknown:        {http.StatusBadGateway, "The outcome of the request is not known"},
	StaleConfiguration:    {http.StatusServiceUnavailable, "The configuration can't be confirmed at the moment"},
	HandleUnknown:         {http.StatusForbidden, "The handle names no running request"},
	IdempotencyKeyReused:  {http.StatusUnprocessableEntity, "The idempotency key was used with another request"},
	RunRecordsFull:        {http.StatusServiceUnavailable, "No room for another run record"},
	RunRecordsUnavailable: {http.StatusServiceUnavailable, "Run records can't be reached at the moment"},
	AnswerTooLarge:        {http.StatusConflict, "The request ran, but its answer was too large to record"},
	NodeStopping:          {http.StatusServiceUnavailable, "The node is stopping"},
	Suspected:             {http.StatusServiceUnavailable, "The request waits for a trial"},
	Quarantined:           {http.StatusServiceUnavailable, "The request crashes the targets that run it"},
	AnswersFull:           {http.StatusServiceUnavailable, "No room to keep another answer"},
	LinkTooSlow:           {http.StatusServiceUnavailable, "The body can't arrive in time"},
	RepeatRefused:         {http.StatusServiceUnavailable, "No further attempt of the request is allowed"},
}

// Codes returns every code of the catalogue in no particular order.
func Codes() []Code {
	codes := make([]Code, 0, len(catalogue))
	for code := range catalogue {
		codes = append(codes, code)
	}
	return codes
}

// Status returns the HTTP status of the code, or 500 for a code outside the catalogue.
func (c Code) Status() int {
	if e, ok := catalogue[c]; ok {
		return e.status
	}
	return http.StatusInternalServerError
}

// Title returns the human-readable summary of the code.
func (c Code) Title() string {
	return catalogue[c].title
}

// Refusal is an error response that the system generates itself.
type Refusal struct {
	Code Code
	Ran  Ran
	// RetryAfter is the time after which a retry may succeed; 0 if it is not known.
	RetryAfter time.Duration
	Detail     string
	// Retried is true if a node further down the call path has already retried the request.
	Retried bool
	// Reached is true if the request reached a target, whether or not it ran there.
	Reached bool
	// TrialTarget is the target at which a suspected request may run; see internal/quarantine.
	TrialTarget string
}

// NotRun returns a refusal of work that was certainly not started.
func NotRun(code Code, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Ran: RanNo, RetryAfter: retryAfter, Detail: fmt.Sprintf(format, args...)}
}

// unreachableRetryAfter is the RetryAfter of a request whose target could not be reached. It equals that
// of internal/route when no target is known: by then other targets are announced or found.
const unreachableRetryAfter = time.Second

// Unreachable returns a refusal of work whose target could not be connected to.
func Unreachable(detail string) *Refusal {
	return NotRun(TargetUnreachable, unreachableRetryAfter, "%s", detail)
}

// Error implements the error interface.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (ran: %s): %s", r.Code, r.Ran, r.Detail)
}

// Message returns the refusal as a protobuf message for other nodes.
func (r *Refusal) Message() *apiv1.Refusal {
	return &apiv1.Refusal{
		Code:         string(r.Code),
		Ran:          r.Ran.Message(),
		RetryAfterNs: int64(r.RetryAfter),
		Detail:       r.Detail,
		Retried:      r.Retried,
		Reached:      r.Reached,
		TrialTarget:  r.TrialTarget,
	}
}

// FromMessage returns the refusal in a protobuf message.
func FromMessage(m *apiv1.Refusal) *Refusal {
	return &Refusal{
		Code:       Code(m.GetCode()),
		Ran:        RanFromMessage(m.GetRan()),
		RetryAfter: time.Duration(m.GetRetryAfterNs()),
		Detail:     m.GetDetail(),
		Retried:    m.GetRetried(),
		Reached:    m.GetReached(),

		TrialTarget: m.GetTrialTarget(),
	}
}

// Message returns the value as its protobuf enum.
func (r Ran) Message() apiv1.Ran {
	switch r {
	case RanNo:
		return apiv1.Ran_RAN_NO
	case RanYes:
		return apiv1.Ran_RAN_YES
	default:
		return apiv1.Ran_RAN_UNKNOWN
	}
}

// RanFromMessage returns the value of a protobuf enum. Values that this version does not know become
// RanUnknown.
func RanFromMessage(m apiv1.Ran) Ran {
	switch m {
	case apiv1.Ran_RAN_NO:
		return RanNo
	case apiv1.Ran_RAN_YES:
		return RanYes
	default:
		return RanUnknown
	}
}
