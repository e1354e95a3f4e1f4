package gateway

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/gorilla/mux"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/registry"
)

// maxAnnouncementBytes bounds the body of an announcement.
const maxAnnouncementBytes = 64 << 10

// Targets serves the announcements of the targets of this host.
type Targets struct {
	entry *Entry
	local *registry.Local
}

// NewTargets returns the handler of the targets' address: announcements and sub-calls.
func NewTargets(e *Entry, local *registry.Local) http.Handler {
	t := &Targets{entry: e, local: local}
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.HandleFunc("/targets/{name}", t.announce).Methods(http.MethodPut)
	router.HandleFunc("/targets/{name}", t.leave).Methods(http.MethodDelete)
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
	// Address is the IP number and port where the target serves HTTP.
	Address string            `json:"address"`
	Labels  map[string]string `json:"labels"`
	// Slots is the number of requests that the target runs at once.
	Slots uint32 `json:"slots"`
	// State is ready, cold or leaving; ready if empty.
	State string `json:"state"`
	// Instance tells one run of the target from the next; it may be empty.
	Instance string `json:"instance"`
	// Health and Load are paths that the node may ask; both are hints only.
	Health string `json:"health"`
	Load   string `json:"load"`
}

// announced is the answer to an announcement.
type announced struct {
	Name string `json:"name"`
	Node string `json:"node"`
	// RenewWithinMs is the time until the next announcement must come, in milliseconds.
	RenewWithinMs int64 `json:"renew_within_ms"`
}

// announce takes a new or renewed announcement.
func (t *Targets) announce(w http.ResponseWriter, r *http.Request) {
	var a announcement
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxAnnouncementBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&a); err != nil {
		t.entry.refuse(w, outcome.NotRun(outcome.BadRequest, 0, "announcement: %v", err), "")
		return
	}
	form, refusal := a.registryForm(mux.Vars(r)["name"])
	if refusal != nil {
		t.entry.refuse(w, refusal, "")
		return
	}
	target, refusal := t.local.Announce(t.entry.o.Clock.Now(), form)
	if refusal != nil {
		t.entry.refuse(w, refusal, "")
		return
	}
	writeJSON(w, announced{Name: target.Name, Node: target.Node, RenewWithinMs: t.local.TTL().Milliseconds()})
}

// leave takes back an announcement.
func (t *Targets) leave(w http.ResponseWriter, r *http.Request) {
	if refusal := t.local.Leave(mux.Vars(r)["name"]); refusal != nil {
		t.entry.refuse(w, refusal, "")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// states maps the states of announcements.
var states = map[string]apiv1.TargetState{
	"":        apiv1.TargetState_TARGET_STATE_READY,
	"ready":   apiv1.TargetState_TARGET_STATE_READY,
	"cold":    apiv1.TargetState_TARGET_STATE_COLD,
	"leaving": apiv1.TargetState_TARGET_STATE_LEAVING,
}

// registryForm returns the announcement of the named target as the registry takes it.
func (a *announcement) registryForm(name string) (registry.Announcement, *outcome.Refusal) {
	state, ok := states[a.State]
	if !ok {
		return registry.Announcement{}, outcome.NotRun(outcome.BadRequest, 0, "state %q: allowed are ready, cold and leaving", a.State)
	}
	return registry.Announcement{
		Name:       name,
		Service:    a.Service,
		Address:    a.Address,
		Labels:     a.Labels,
		Slots:      int(a.Slots),
		State:      state,
		Instance:   a.Instance,
		HealthPath: a.Health,
		LoadPath:   a.Load,
	}, nil
}

// writeJSON answers with a JSON document.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		panic("answers always marshal: " + err.Error())
	}
}
