package gate

import (
	"io"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/outcome"
)

// Answer is the answer to one attempt of a call. It has either a refusal or a body.
type Answer struct {
	Header *apiv1.AnswerHeader
	// Body ends with io.EOF only when the answer is complete. It is nil with a refusal.
	Body io.ReadCloser
	// AllowanceLeft returns how many of the extra attempts that the call was allowed for its
	// sub-calls were not used. The number is known once the body has ended; ok is false
	// before, and when the answer was cut off.
	AllowanceLeft func() (left int, ok bool)
}

// Refusal returns the refusal of the answer, or nil when a target answered.
func (a *Answer) Refusal() *outcome.Refusal {
	if a.Header.GetRefusal() == nil {
		return nil
	}
	return outcome.FromMessage(a.Header.GetRefusal())
}

// refuse returns an answer that carries a refusal. None of the call's extra attempts were used.
func refuse(h *apiv1.CallHeader, r *outcome.Refusal, load *apiv1.LoadReport) *Answer {
	return &Answer{
		Header:        &apiv1.AnswerHeader{Key: h.GetKey(), Refusal: r.Message(), Load: load},
		AllowanceLeft: func() (int, bool) { return int(h.GetAllowance()), true },
	}
}
