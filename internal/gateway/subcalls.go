package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/guavaford/guavaford/internal/callctx"
	"github.com/guavaford/guavaford/internal/headers"
	"github.com/guavaford/guavaford/internal/outcome"
)

// callPrefix is the prefix of the path of a sub-call: /call/SERVICE/PATH.
const callPrefix = "/call/"

// SubCalls is the HTTP handler of sub-calls: calls that the targets of this host make to other services.
type SubCalls struct {
	entry *Forwarder
}

// NewSubCalls returns the handler of sub-calls.
func NewSubCalls(e *Forwarder) *SubCalls {
	return &SubCalls{entry: e}
}

// ServeHTTP handles one sub-call. The handle in the request identifies the running call on whose behalf the sub-call
// is made; when that call ends, the sub-call is cancelled.
func (s *SubCalls) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o := &s.entry.o
	o.Metrics.SubCalls.Add(1)
	running, ok := o.Handles.Find(callctx.Handle(r.Header.Get(headers.Handle)))
	if !ok {
		refusal := outcome.NotRun(outcome.HandleUnknown, 0, "send %s with the value that came with the running request", headers.Handle)
		s.entry.refuse(w, refusal, "")
		return
	}
	id := running.Origin.RequestID
	in, refusal := s.resolve(w, r, running)
	if refusal != nil {
		s.entry.refuse(w, refusal, id)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), in.origin.Deadline)
	defer cancel()
	defer in.endBody()
	stop := context.AfterFunc(running.Context, cancel)
	defer stop()
	running.StartSubCall(o.Clock.Now())
	defer func() { running.EndSubCall(o.Clock.Now()) }()
	result := s.entry.serve(ctx, in)
	running.AddQueueTime(result.QueueTime)
	if result.Refusal() != nil {
		running.SetSubCallRefused()
	}
	if !s.entry.writeResponse(in, result) {
		panic(http.ErrAbortHandler)
	}
}

// resolve matches a sub-call to its route and checks that the key of the original request is still valid.
func (s *SubCalls) resolve(w http.ResponseWriter, r *http.Request, running *callctx.RunningCall) (*inbound, *outcome.Refusal) {
	o := &s.entry.o
	if refusal := o.KeyChecker.CheckKeyNumber(running.Origin.KeyNumber); refusal != nil {
		return nil, refusal
	}
	service := mux.Vars(r)["service"]
	path := strings.TrimPrefix(r.URL.Path, callPrefix+service)
	if path == "" {
		path = "/"
	}
	route, code := o.Board.Configuration.Load().Snapshot.ServiceRoute(service, r.Method, path)
	if code != "" {
		return nil, outcome.NotRun(code, 0, "%s %s of service %s", r.Method, path, service)
	}
	available, refusal := timeout(r.Header, route)
	if refusal != nil {
		return nil, refusal
	}
	origin := running.Origin
	origin.MergeCutoff = running.MergeCutoff
	origin.Deadline = earlier(origin.Deadline, o.Clock.Now().Add(available))
	forward := strings.TrimPrefix(r.URL.RequestURI(), callPrefix+service)
	if !strings.HasPrefix(forward, "/") {
		forward = "/" + forward
	}
	return &inbound{writer: w, request: r, route: route, origin: &origin, path: forward}, nil
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
