package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/guavaford/guavaford/internal/headers"
)

// handler serves requests with the slots and times of its options.
type handler struct {
	options *options
	started time.Time
	slots   chan struct{}
	served  atomic.Int64
}

// newHandler returns the handler of a target that starts now.
func newHandler(o *options) *handler {
	return &handler{options: o, started: time.Now(), slots: make(chan struct{}, max(o.slots, 1))}
}

// ServeHTTP takes a slot, makes the sub-calls, works, and answers.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case h.slots <- struct{}{}:
		defer func() { <-h.slots }()
	case <-r.Context().Done():
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if err := h.note(r); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	for _, call := range h.options.calls {
		if status := h.subCall(r, call); status != http.StatusOK {
			http.Error(w, fmt.Sprintf("sub-call %s answered %d", call, status), http.StatusBadGateway)
			return
		}
	}
	select {
	case <-time.After(h.serviceTime()):
	case <-r.Context().Done():
		return
	}
	n := h.served.Add(1)
	if every := int64(h.options.failEvery); every > 0 && n%every == 0 {
		http.Error(w, "failing as asked", http.StatusInternalServerError)
		return
	}
	fmt.Fprintf(w, "%s %s for %s: request %d\n", h.options.service, h.options.name, r.Header.Get(headers.Organisation), n)
}

// note appends the request to the journal, if there is one.
func (h *handler) note(r *http.Request) error {
	if h.options.journal == "" {
		return nil
	}
	journal, err := os.OpenFile(h.options.journal, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer journal.Close()
	_, err = fmt.Fprintf(journal, "%s %s\n", r.Method, r.URL.Path)
	return err
}

// serviceTime returns the time of one request, which is longer during the cold start.
func (h *handler) serviceTime() time.Duration {
	if time.Since(h.started) < h.options.coldStart {
		return time.Duration(float64(h.options.serviceTime) * h.options.coldFactor)
	}
	return h.options.serviceTime
}

// subCall makes one sub-call through the node and returns its status.
func (h *handler) subCall(r *http.Request, call string) int {
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, h.options.node+"/call/"+call, nil)
	if err != nil {
		return http.StatusInternalServerError
	}
	req.Header.Set(headers.Handle, r.Header.Get(headers.Handle))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return http.StatusBadGateway
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return http.StatusBadGateway
	}
	return resp.StatusCode
}
