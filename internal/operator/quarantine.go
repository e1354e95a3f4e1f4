package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/guavaford/guavaford/internal/quarantine"
)

// QuarantineSource is a LocalSource that knows requests that crash targets.
type QuarantineSource interface {
	// Quarantine returns the requests that are suspects or quarantined.
	Quarantine() []QuarantinedRequest
	// Release clears a request of all crashes, at this node and at those that it knows. It returns false if there is nothing to clear.
	Release(f quarantine.Fingerprint) bool
}

// QuarantinedRequest is a request that was in flight when targets crashed.
type QuarantinedRequest struct {
	Fingerprint  string `json:"fingerprint"`
	Service      string `json:"service"`
	Organisation string `json:"organisation"`
	// Level is suspect, suspect-alone or quarantined.
	Level   string `json:"level"`
	Crashes int    `json:"crashes"`
	// LastTarget is the process of a target that crashed last, LastCrash the time of that.
	LastTarget string    `json:"lastTarget"`
	LastCrash  time.Time `json:"lastCrash"`
	// Until is when the quarantine ends; zero unless quarantined.
	Until time.Time `json:"until,omitzero"`
}

// quarantined lists the requests that the answering node knows as suspects or quarantined.
func (h *handler) quarantined(w http.ResponseWriter, _ *http.Request) {
	source, ok := h.local.(QuarantineSource)
	if !ok {
		newProblem(CodePathUnknown, "this node keeps no quarantine").write(w)
		return
	}
	requests := source.Quarantine()
	if requests == nil {
		requests = []QuarantinedRequest{}
	}
	writeJSON(w, http.StatusOK, requests)
}

// release clears a request of all crashes.
func (h *handler) release(w http.ResponseWriter, r *http.Request) {
	source, ok := h.local.(QuarantineSource)
	if !ok {
		newProblem(CodePathUnknown, "this node keeps no quarantine").write(w)
		return
	}
	text := mux.Vars(r)["fingerprint"]
	f, err := quarantine.ParseFingerprint(text)
	if err != nil {
		newProblem(CodeRequestInvalid, "%q is not a fingerprint: %v", text, err).write(w)
		return
	}
	released := source.Release(f)
	h.log.Info("operator releases request", "fingerprint", f, "remote", r.RemoteAddr, "known", released)
	if !released {
		newProblem(CodePathUnknown, "this node does not know the request %s; ask a node beside a target of its service", f).write(w)
		return
	}
	writeJSON(w, http.StatusOK, &QuarantinedRequest{Fingerprint: f.String(), Level: quarantine.Free.String()})
}

// Quarantine returns the requests that the answering node knows as suspects or quarantined.
func (c *Client) Quarantine(ctx context.Context) ([]QuarantinedRequest, error) {
	var requests []QuarantinedRequest
	return requests, c.do(ctx, http.MethodGet, pathQuarantine, nil, &requests)
}

// Release clears a request of all crashes.
func (c *Client) Release(ctx context.Context, f quarantine.Fingerprint) error {
	return c.do(ctx, http.MethodDelete, pathQuarantine+"/"+f.String(), nil, &QuarantinedRequest{})
}
