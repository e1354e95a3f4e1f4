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

// handler serves requests, at most as many at a time as it has slots, with the times of its options.
type handler struct {
	options *options
	started time.Time
	slots   chan struct{}
	served  atomic.Int64
}

// newHandler returns a handler whose cold start begins now.
func newHandler(o *options) *handler {
	return &handler{options: o, started: time.Now(), slots: make(chan struct{}, max(o.slots, 1))}
}

// ServeHTTP takes a slot, appends the request to the journal, makes the sub-calls, waits for the service
// time, and answers.
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
	if err := h.appendToJournal(r); err != nil {
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
		http.Error(w, "failed because of --fail-every", http.StatusInternalServerError)
		return
	}
	fmt.Fprintf(w, "%s %s for %s: request %d\n", h.options.service, h.options.name, r.Header.Get(headers.Organisation), n)
}

// appendToJournal appends the method and path of the request to the file of --journal, if there is one.
func (h *handler) appendToJournal(r *http.Request) error {
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

// subCall makes one sub-call through the node on behalf of r and returns its status. The handle header tells the node
// which request the sub-call belongs to.
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
