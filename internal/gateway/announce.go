package gateway

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/registry"
)

// maxAnnouncementBytes bounds the body of an announcement.
const maxAnnouncementBytes = 64 << 10

// Targets is the HTTP handler of announcements, by which the targets of this host register themselves.
type Targets struct {
	entry *Forwarder
	local *registry.Local
}

// NewTargets returns the handler of the address that targets use: it serves announcements and sub-calls.
func NewTargets(e *Forwarder, local *registry.Local) http.Handler {
	t := &Targets{entry: e, local: local}
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.HandleFunc("/targets/{name}", t.announce).Methods(http.MethodPut)
	router.HandleFunc("/targets/{name}", t.remove).Methods(http.MethodDelete)
	router.PathPrefix(callPrefix + "{service}").Handler(NewSubCalls(e))
	router.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.refuse(w, outcome.NotRun(outcome.RouteUnknown, 0, "%s %s", r.Method, r.URL.Path), "")
	})
	router.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.refuse(w, outcome.NotRun(outcome.MethodNotAllowed, 0, "%s %s", r.Method, r.URL.Path), "")
	})
	return router
}

// announcement is the body of a target's announcement.
type announcement struct {
	// Service that the target belongs to.
	Service string `json:"service"`
	// Address is the IP address and port at which the target serves HTTP.
	Address string            `json:"address"`
	Labels  map[string]string `json:"labels"`
	// Slots is the maximum number of requests that the target runs concurrently.
	Slots uint32 `json:"slots"`
	// State is ready, cold or leaving; empty means ready.
	State string `json:"state"`
	// ColdLeftMs is how much longer the target is cold, in milliseconds; left out if it does not say.
	ColdLeftMs *uint32 `json:"cold_left_ms"`
	// Instance identifies one process of the target, so that a restart can be recognised; it may be empty.
	Instance string `json:"instance"`
	// Health and Load are paths at which the node may query the target; both are optional hints.
	Health string `json:"health"`
	Load   string `json:"load"`
}

// announcementResponse is the response to an announcement.
type announcementResponse struct {
	Name string `json:"name"`
	Node string `json:"node"`
	// RenewWithinMs is the time within which the target must announce itself again, in milliseconds.
	RenewWithinMs int64 `json:"renew_within_ms"`
}

// errNotUTF8 is the error of an announcement with bytes that can't be read as text.
var errNotUTF8 = errors.New("not UTF-8")

// announce handles PUT /targets/{name}: it registers a target or renews its registration.
func (t *Targets) announce(w http.ResponseWriter, r *http.Request) {
	var a announcement
	data, err := io.ReadAll(io.LimitReader(r.Body, maxAnnouncementBytes))
	if err == nil && !utf8.Valid(data) {
		err = errNotUTF8
	}
	if err == nil {
		decoder := json.NewDecoder(bytes.NewReader(data))
		decoder.DisallowUnknownFields()
		err = decoder.Decode(&a)
	}
	if err != nil {
		t.entry.refuse(w, outcome.NotRun(outcome.BadRequest, 0, "announcement: %v", err), "")
		return
	}
	registration, refusal := a.toRegistry(mux.Vars(r)["name"])
	if refusal != nil {
		t.entry.refuse(w, refusal, "")
		return
	}
	target, refusal := t.local.Announce(t.entry.o.Clock.Now(), registration)
	if refusal != nil {
		t.entry.refuse(w, refusal, "")
		return
	}
	writeJSON(w, announcementResponse{Name: target.Name, Node: target.Node, RenewWithinMs: t.local.TTL().Milliseconds()})
}

// remove handles DELETE /targets/{name}: it removes the registration of a target.
func (t *Targets) remove(w http.ResponseWriter, r *http.Request) {
	if refusal := t.local.Remove(mux.Vars(r)["name"]); refusal != nil {
		t.entry.refuse(w, refusal, "")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// targetStates maps the states in announcements to those in the API.
var targetStates = map[string]apiv1.TargetState{
	"":        apiv1.TargetState_TARGET_STATE_READY,
	"ready":   apiv1.TargetState_TARGET_STATE_READY,
	"cold":    apiv1.TargetState_TARGET_STATE_COLD,
	"leaving": apiv1.TargetState_TARGET_STATE_LEAVING,
}

// toRegistry converts the announcement of the named target to the type of the registry.
func (a *announcement) toRegistry(name string) (registry.Announcement, *outcome.Refusal) {
	state, ok := targetStates[a.State]
	if !ok {
		return registry.Announcement{}, outcome.NotRun(outcome.BadRequest, 0, "state %q is not one of ready, cold and leaving", a.State)
	}
	var coldLeft *time.Duration
	if a.ColdLeftMs != nil {
		left := time.Duration(*a.ColdLeftMs) * time.Millisecond
		coldLeft = &left
		if left > 0 && state == apiv1.TargetState_TARGET_STATE_READY {
			state = apiv1.TargetState_TARGET_STATE_COLD
		}
	}
	return registry.Announcement{
		Name:       name,
		Service:    a.Service,
		Address:    a.Address,
		Labels:     a.Labels,
		Slots:      int(a.Slots),
		State:      state,
		Instance:   a.Instance,
		ColdLeft:   coldLeft,
		HealthPath: a.Health,
		LoadPath:   a.Load,
	}, nil
}

// writeJSON responds with a JSON document.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		panic("cannot encode JSON response: " + err.Error())
	}
}
