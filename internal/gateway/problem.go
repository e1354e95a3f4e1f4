package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/guavaford/guavaford/internal/outcome"
)

// problemType is the prefix of the type member of a problem document.
const problemType = "urn:guavaford:refusal:"

// problem is the JSON form of a refusal: a problem document as in RFC 9457.
type problem struct {
	Type      string       `json:"type"`
	Title     string       `json:"title"`
	Status    int          `json:"status"`
	Detail    string       `json:"detail,omitempty"`
	Code      outcome.Code `json:"code"`
	Ran       outcome.Ran  `json:"ran"`
	RequestID string       `json:"request_id,omitempty"`
	// RetryAfterMs is Retry-After in milliseconds: whole seconds are too coarse for callers in the same data centre.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
}

// writeRefusal responds with the problem document of a refusal.
func writeRefusal(w http.ResponseWriter, r *outcome.Refusal, requestID string) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Cache-Control", "no-store")
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	if r.Code.Status() == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", `Bearer realm="guavaford"`)
	}
	body, err := json.Marshal(problem{
		Type:         problemType + string(r.Code),
		Title:        r.Code.Title(),
		Status:       r.Code.Status(),
		Detail:       r.Detail,
		Code:         r.Code,
		Ran:          r.Ran,
		RequestID:    requestID,
		RetryAfterMs: int64((r.RetryAfter + time.Millisecond - 1) / time.Millisecond),
	})
	if err != nil {
		panic("cannot encode problem document: " + err.Error())
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.Code.Status())
	_, _ = w.Write(body)
}
