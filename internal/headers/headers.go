// Package headers decides which HTTP header fields are forwarded between callers and targets.
//
// Hop-by-hop fields and the system's own fields are not forwarded in either direction, and credentials are not
// forwarded to targets. The system adds its own fields afterwards.
package headers

import (
	"net/http"
	"net/textproto"
	"strings"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// Header fields of the system.
const (
	// Prefix is the prefix of the fields that only the system may set.
	Prefix = "Guavaford-"
	// Handle identifies a running call; a target repeats it on the calls that it makes on behalf of that call.
	Handle = "Guavaford-Handle"
	// TimeoutMs is the remaining time of a request in milliseconds. Callers set it as
	// their deadline; targets receive the time that is left.
	TimeoutMs = "Guavaford-Timeout-Ms"
	// RequestID identifies the request at the root of the call tree.
	RequestID = "Guavaford-Request-Id"
	// Organisation names the organisation that the request runs for.
	Organisation = "Guavaford-Organisation"
	// Attempts is the number of times that the request was dispatched until its response.
	Attempts = "Guavaford-Attempts"
	// RateLimit is the number of requests per second that a target accepts for as long as its responses say so.
	RateLimit = "Guavaford-Rate-Limit"
	// Leaving marks the responses of a target that is about to leave.
	Leaving = "Guavaford-Leaving"
	// ColdLeftMs is, in responses of a target, the time in milliseconds until it is warm.
	ColdLeftMs = "Guavaford-Cold-Left-Ms"
	// IdempotencyKey makes a non-idempotent request safe to resend.
	IdempotencyKey = "Idempotency-Key"
	// IdempotencyReplayed marks a response that was taken from the stored record of an earlier request with the same
	// IdempotencyKey.
	IdempotencyReplayed = "Idempotency-Replayed"
)

// Names are the names of the header fields that one deployment exchanges with targets and callers. A field whose name
// is empty is not sent.
type Names struct {
	// RequestID carries the identifier of a request, TimeoutMs its remaining time in milliseconds.
	RequestID string
	TimeoutMs string
	// Organisation carries the organisation that a request runs for, CallerService the service
	// of the host that it comes from.
	Organisation  string
	CallerService string
	// Handle carries the identifier of a running call to its target.
	Handle string
	// Target carries the name of the target that a request is meant for; any other target rejects it.
	Target string
	// NotRun marks a response by which a target states that it did not run the request.
	NotRun string
	// RateLimit carries, in responses of a target, the requests per second that it accepts from all hosts together.
	RateLimit string
	// Leaving marks, with the value 1, the responses of a target that is about to leave.
	Leaving string
	// ColdMs carries, in responses of a target, the time in milliseconds until it is warm.
	ColdMs string
	// ParentID, if set, derives from the id of a call the id of the request on whose behalf a target makes it; empty
	// if the id doesn't contain one. The result is only a hint, since a target may send any id.
	ParentID func(id string) string
	// ForwardedReserved lists fields of responses that are forwarded although their names start with Prefix.
	ForwardedReserved []string
}

// DefaultNames returns the names of the system's own interface.
func DefaultNames() Names {
	return Names{RequestID: RequestID, TimeoutMs: TimeoutMs, Organisation: Organisation, Handle: Handle, RateLimit: RateLimit, Leaving: Leaving, ColdMs: ColdLeftMs}
}

// Set sets a field unless its name or value is empty.
func Set(h http.Header, name, value string) {
	if name != "" && value != "" {
		h.Set(name, value)
	}
}

// hopByHop lists the fields that are meant for one connection only (RFC 9110, section 7.6.1).
var hopByHop = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// notForwarded lists end-to-end fields that each hop sets itself, or that must not reach a target.
var notForwarded = map[string]bool{
	"Authorization":  true,
	"Content-Length": true,
	"Host":           true,
	"Expect":         true,
}

// ForwardedRequestFields returns the fields of a request that are forwarded to a target. Fields whose value
// contains secret, the caller's key, are dropped, so that the key doesn't reach a target in any field.
func ForwardedRequestFields(h http.Header, secret string) []*apiv1.HeaderField {
	return endToEnd(h, func(name, value string) bool {
		if notForwarded[name] {
			return false
		}
		return secret == "" || !strings.Contains(value, secret)
	})
}

// ForwardedResponseFields returns the fields of a target's response that are forwarded to the caller.
func (n *Names) ForwardedResponseFields(h http.Header) []*apiv1.HeaderField {
	fields := endToEnd(h, func(name, _ string) bool {
		return name != "Content-Length"
	})
	for _, name := range n.ForwardedReserved {
		for _, value := range h[name] {
			fields = append(fields, &apiv1.HeaderField{Name: name, Value: value})
		}
	}
	return fields
}

// endToEnd returns the fields that are neither hop-by-hop nor reserved by Prefix and that keep accepts.
func endToEnd(h http.Header, keep func(name, value string) bool) []*apiv1.HeaderField {
	listed := connectionOptions(h)
	fields := make([]*apiv1.HeaderField, 0, len(h))
	for name, values := range h {
		if hopByHop[name] || listed[name] || strings.HasPrefix(name, Prefix) {
			continue
		}
		for _, value := range values {
			if keep(name, value) {
				fields = append(fields, &apiv1.HeaderField{Name: name, Value: value})
			}
		}
	}
	return fields
}

// connectionOptions returns the fields that the Connection field declares hop-by-hop, or nil without one.
func connectionOptions(h http.Header) map[string]bool {
	values := h["Connection"]
	if len(values) == 0 {
		return nil
	}
	listed := make(map[string]bool)
	for _, value := range values {
		for _, option := range strings.Split(value, ",") {
			listed[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(option))] = true
		}
	}
	return listed
}

// AddFields adds the fields to h, after those that h already has.
func AddFields(h http.Header, fields []*apiv1.HeaderField) {
	for _, f := range fields {
		h[f.GetName()] = append(h[f.GetName()], f.GetValue())
	}
}
