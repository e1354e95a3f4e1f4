package gateway

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/blackboard"
	"github.com/guavaford/guavaford/internal/board"
	"github.com/guavaford/guavaford/internal/callctx"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/config"
	"github.com/guavaford/guavaford/internal/dispatch"
	"github.com/guavaford/guavaford/internal/headers"
	"github.com/guavaford/guavaford/internal/http1"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/rate"
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/shed"
	"github.com/guavaford/guavaford/internal/telemetry"
)

// directDocuments is a configuration with one organisation, a route split over two services, a non-idempotent route and
// an open route.
const directDocuments = `
kind: Organisation
name: court
labels: {organisation: court}
spec: {priority: 1, keyDigests: [KEY]}
---
kind: Rate
name: court
spec: {selector: organisation=court, unlimited: true}
---
kind: Class
name: standard
spec: {selector: class=standard, priority: 2}
---
kind: Route
name: lookup
labels: {class: standard}
spec: {host: a.example, pathPrefix: /x/, requireSlash: true, timeout: 2s, goal: 400ms, maxTargets: 2, split: [{service: one, weight: 90}, {service: two, weight: 10}]}
---
kind: Route
name: booking
labels: {class: standard}
spec: {host: a.example, pathPrefix: /book/, service: one, idempotent: false, timeout: 1s}
---
kind: Route
name: open
labels: {class: standard}
spec: {host: a.example, pathPrefix: /open/, service: one, open: true, timeout: 3s}
`

// fakeDispatcher is a Dispatcher that records requests and returns the result of answer, or else a successful one.
type fakeDispatcher struct {
	mu       sync.Mutex
	requests []*dispatch.Request
	answer   func(ctx context.Context, r *dispatch.Request) *dispatch.Result
}

func (f *fakeDispatcher) Do(ctx context.Context, r *dispatch.Request) *dispatch.Result {
	f.mu.Lock()
	f.requests = append(f.requests, r)
	f.mu.Unlock()
	if f.answer != nil {
		return f.answer(ctx, r)
	}
	return dispatch.RecordedResult(200, []*apiv1.HeaderField{{Name: "X-From", Value: r.Service}}, []byte("yes"))
}

func (f *fakeDispatcher) lastRequest() *dispatch.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requests[len(f.requests)-1]
}

// unlimitedRates implements RateLimiter without any limit.
type unlimitedRates struct{}

func (unlimitedRates) Take(context.Context, string) (rate.Charge, *outcome.Refusal) {
	return rate.Charge{}, nil
}

// entryUnderTest is a CombinedHandler that serves at a loopback address, with the fakes that it depends on.
type entryUnderTest struct {
	t           *testing.T
	address     string
	dispatcher  *fakeDispatcher
	loadTracker *shed.LoadTracker
	callIndex   *callctx.CallIndex
	board       *board.Board
	server      *http1.Server
}

func newEntryUnderTest(t *testing.T) *entryUnderTest {
	t.Helper()
	sum := sha256.Sum256([]byte("the-key"))
	text := strings.Replace(directDocuments, "KEY", `"`+hex.EncodeToString(sum[:])+`"`, 1)
	resources, problems := config.Parse("test.yaml", []byte(text))
	require.Empty(t, problems)
	snapshot, err := config.Compile(1, resources)
	require.NoError(t, err)
	b, err := board.New(blackboard.NewSection(&registry.View{}))
	require.NoError(t, err)
	b.Configuration.Publish(&board.Configuration{Revision: 1, Snapshot: snapshot})
	e := &entryUnderTest{t: t, dispatcher: &fakeDispatcher{}, loadTracker: shed.NewLoadTracker(), callIndex: callctx.NewCallIndex(), board: b}
	names := headers.DefaultNames()
	names.ParentID = func(id string) string { parent, _, _ := strings.Cut(id, "/"); return parent }
	direct := NewCombinedHandler(CombinedOptions{
		Board:       b,
		Dispatcher:  e.dispatcher,
		RateLimiter: unlimitedRates{},
		Shedder:     shed.NewShedder(e.loadTracker, shed.Options{}),
		LoadTracker: e.loadTracker,
		CallIndex:   e.callIndex,
		HeaderNames: names,
		Service:     "front",
		Clock:       clock.System{},
		Metrics:     telemetry.NewMetrics(),
		Log:         telemetry.Discard(),
		LogLimiter:  telemetry.NewLogLimiter(10),
	})
	server := http1.NewServer(http1.Options{Handler: direct, Limits: func() http1.Limits {
		return http1.Limits{MaxHeader: 8 << 10, HeaderTimeout: time.Second, IdleTimeout: time.Second}
	}})
	e.server = server
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e.address = l.Addr().String()
	done := make(chan error, 1)
	go func() { done <- server.Serve(l) }()
	t.Cleanup(func() {
		server.Close()
		require.NoError(t, <-done)
	})
	return e
}

// get sends one request with the given header lines and returns its response and the body.
func (e *entryUnderTest) get(path string, lines ...string) (*http.Response, string) {
	e.t.Helper()
	conn, err := net.Dial("tcp", e.address)
	require.NoError(e.t, err)
	defer conn.Close()
	require.NoError(e.t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	if !strings.Contains(strings.Join(lines, "\n"), headers.RequestID) {
		lines = append(lines, headers.RequestID+": r-1")
	}
	_, err = io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: a.example\r\n"+strings.Join(append(lines, "", ""), "\r\n"))
	require.NoError(e.t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(e.t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(e.t, err)
	return response, string(body)
}

const withKey = "Authorization: Bearer the-key"

// TestDirectForwardsRequest: a request is forwarded with its path, organisation and limits. Neither the key nor a
// header field that forges an organisation may be forwarded.
func TestDirectForwardsRequest(t *testing.T) {
	e := newEntryUnderTest(t)
	response, body := e.get("/x/y?z=1", withKey, headers.TimeoutMs+": 700", headers.Organisation+": forged")
	require.Equal(t, 200, response.StatusCode)
	require.Equal(t, "yes", body)
	require.Equal(t, "r-1", response.Header.Get(headers.RequestID))
	r := e.dispatcher.lastRequest()
	require.Equal(t, "/x/y?z=1", r.Path)
	require.Equal(t, "court", r.Origin.Organisation)
	require.Equal(t, "front", r.CallerService)
	require.Equal(t, 2, r.MaxTargets)
	require.Equal(t, 50*time.Millisecond, r.MaxWait, "an eighth of the goal")
	require.Less(t, time.Until(r.Origin.Deadline), 700*time.Millisecond)
	for _, f := range r.Headers {
		require.NotContains(t, f.GetValue(), "the-key")
		require.NotEqual(t, headers.Organisation, f.GetName())
	}
}

// TestDirectRefusesInvalidRequests: a request without a valid key, without a route or without time left must not be
// dispatched, and a node without a configuration must not claim that a route does not exist.
func TestDirectRefusesInvalidRequests(t *testing.T) {
	e := newEntryUnderTest(t)
	response, _ := e.get("/x/", "Authorization: Bearer another")
	require.Equal(t, http.StatusUnauthorized, response.StatusCode)
	for _, path := range []string{"/x/", "/book/"} {
		response, _ = e.get(path)
		require.Equal(t, http.StatusUnauthorized, response.StatusCode, "only open routes need no key")
	}
	response, _ = e.get("/nowhere/", withKey)
	require.Equal(t, http.StatusNotFound, response.StatusCode)
	response, _ = e.get("/x/", withKey, headers.TimeoutMs+": 0")
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Empty(t, e.dispatcher.requests)
	e.board.Configuration.Publish(&board.Configuration{Snapshot: e.board.Configuration.Load().Snapshot})
	response, _ = e.get("/nowhere/", withKey)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode, "without a configuration it is not known whether the route exists")
	require.NotEmpty(t, response.Header.Get("Retry-After"))
}

// TestCallOfHostTargetPrecedesNewRequests: a call of the host's target belongs to a request that is being executed. It
// may wait for a slot until its deadline, as an early refusal would waste the work already done.
func TestCallOfHostTargetPrecedesNewRequests(t *testing.T) {
	e := newEntryUnderTest(t)
	e.get("/open/")
	r := e.dispatcher.lastRequest()
	require.Equal(t, 1, r.Origin.Depth)
	require.Empty(t, r.Origin.Organisation)
	require.Greater(t, r.MaxWait, time.Second, "a call of the host's target may wait until its deadline")
}

// TestRouteIsSplitByWeight: the services of a split route must get requests in proportion to their weights.
func TestRouteIsSplitByWeight(t *testing.T) {
	e := newEntryUnderTest(t)
	got := map[string]int{}
	for range 100 {
		response, _ := e.get("/x/", withKey)
		got[response.Header.Get("X-From")]++
	}
	require.InDelta(t, 90, got["one"], 1)
	require.InDelta(t, 10, got["two"], 1)
}

// TestOverloadedServiceShedsNewRequestsOnly: the last service of a chain is overloaded. New requests that would call it
// must be shed, calls on behalf of admitted requests must not.
func TestOverloadedServiceShedsNewRequestsOnly(t *testing.T) {
	e := newEntryUnderTest(t)
	stop := make(chan struct{})
	var reporter sync.WaitGroup
	reporter.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
				e.loadTracker.Learn(time.Now(), shed.ServiceRoute{Service: "one", Route: "booking"}, "one-1", []*apiv1.Pressure{{Service: "short", LoadPermille: 3000, CallsPermille: 4000}})
			}
		}
	})
	defer reporter.Wait()
	defer close(stop)
	refused := 0
	for start := time.Now(); time.Since(start) < 1500*time.Millisecond; {
		response, _ := e.get("/book/", withKey)
		if response.StatusCode == http.StatusServiceUnavailable {
			refused++
			require.NotEmpty(t, response.Header.Get("Retry-After"))
		}
		response, _ = e.get("/open/")
		require.Equal(t, 200, response.StatusCode, "calls on behalf of admitted requests are not shed")
	}
	require.Positive(t, refused)
}

// TestUnknownOutcomeIsNotRetryable: if a request may have been executed, the response must not suggest, by its status
// or by Retry-After, that a retry is safe.
func TestUnknownOutcomeIsNotRetryable(t *testing.T) {
	e := newEntryUnderTest(t)
	for code, status := range map[outcome.Code]int{
		outcome.Overloaded: 502, outcome.TargetLeaving: 502, outcome.OutcomeUnknown: 502, outcome.AnswerTooLarge: 502, outcome.DeadlineExceeded: 504,
	} {
		e.dispatcher.answer = func(context.Context, *dispatch.Request) *dispatch.Result {
			return dispatch.RefusedResult(&outcome.Refusal{Code: code, Ran: outcome.RanUnknown, RetryAfter: time.Second})
		}
		response, _ := e.get("/book/", withKey)
		require.Equal(t, status, response.StatusCode, code)
		require.Empty(t, response.Header.Get("Retry-After"))
	}
}

// TestRetryAfterLeavesTimeForRetry: a Retry-After close to the deadline or past it would make every retry useless.
func TestRetryAfterLeavesTimeForRetry(t *testing.T) {
	e := newEntryUnderTest(t)
	e.dispatcher.answer = func(context.Context, *dispatch.Request) *dispatch.Result {
		return dispatch.RefusedResult(outcome.NotRun(outcome.QueueFull, 10*time.Second, "full"))
	}
	response, _ := e.get("/book/", withKey, headers.TimeoutMs+": 900")
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	after, err := time.ParseDuration(response.Header.Get("Retry-After") + "s")
	require.NoError(t, err)
	require.LessOrEqual(t, after, 300*time.Millisecond, "a third of the time that is left")
}

// TestCallsCountForRouteOfTheirRequest: the host's target executes a lookup and a booking. A call whose id refers to
// the booking must count for bookings only; a call whose id refers to neither counts for both.
func TestCallsCountForRouteOfTheirRequest(t *testing.T) {
	e := newEntryUnderTest(t)
	lookup, booking := shed.ServiceRoute{Service: "front", Route: "lookup"}, shed.ServiceRoute{Service: "front", Route: "booking"}
	for id, work := range map[string]shed.ServiceRoute{"l": lookup, "b": booking} {
		e.callIndex.Add(&callctx.RunningCall{Origin: callctx.Origin{RequestID: id, Route: work.Route}})
		e.loadTracker.RequestStarted(time.Now(), work)
	}
	e.get("/open/", headers.RequestID+": b/1")
	require.True(t, e.loadTracker.MakesCalls(time.Now(), booking))
	require.False(t, e.loadTracker.MakesCalls(time.Now(), lookup))
	e.get("/open/", headers.RequestID+": other")
	require.True(t, e.loadTracker.MakesCalls(time.Now(), lookup))
}

// TestRequestWaitsForFirstConfiguration: after a restart of the fleet, callers whose connections failed retry at a node
// that has started but receives its configuration a moment later. A refusal would use up their last attempt.
func TestRequestWaitsForFirstConfiguration(t *testing.T) {
	e := newEntryUnderTest(t)
	configured := e.board.Configuration.Load()
	e.board.Configuration.Publish(&board.Configuration{Snapshot: configured.Snapshot})
	time.AfterFunc(200*time.Millisecond, func() { e.board.Configuration.Publish(configured) })
	response, _ := e.get("/x/", withKey, headers.TimeoutMs+": 5000")
	require.Equal(t, http.StatusOK, response.StatusCode)
	left := time.Until(e.dispatcher.lastRequest().Origin.Deadline)
	require.Less(t, left, 2*time.Second-150*time.Millisecond, "the wait counts towards the time that the route allows")
}

// TestShortRequestIsRefusedBeforeFirstConfiguration: a request with a short timeout must not wait for the configuration
// until its time is up; it must be refused early enough for a retry.
func TestShortRequestIsRefusedBeforeFirstConfiguration(t *testing.T) {
	e := newEntryUnderTest(t)
	e.board.Configuration.Publish(&board.Configuration{Snapshot: e.board.Configuration.Load().Snapshot})
	start := time.Now()
	response, _ := e.get("/x/", withKey, headers.TimeoutMs+": 500")
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	require.Less(t, time.Since(start), 300*time.Millisecond)
}

// TestLostCallsAreReportedUpstream: the service that the host's target calls refuses all its calls. Services upstream
// must learn of it from the host's reports.
func TestLostCallsAreReportedUpstream(t *testing.T) {
	e := newEntryUnderTest(t)
	booking, now := shed.ServiceRoute{Service: "front", Route: "booking"}, time.Now()
	e.callIndex.Add(&callctx.RunningCall{Origin: callctx.Origin{RequestID: "b", Route: booking.Route}})
	for range 10 {
		e.loadTracker.RequestStarted(now, booking)
	}
	e.loadTracker.Learn(now, shed.ServiceRoute{Service: "one", Route: "open"}, "one-1", []*apiv1.Pressure{{Service: "one", LoadPermille: 500, CallsPermille: 1000}})
	e.dispatcher.answer = func(context.Context, *dispatch.Request) *dispatch.Result {
		return dispatch.RefusedResult(outcome.NotRun(outcome.Overloaded, time.Second, "refused"))
	}
	for range 10 {
		e.get("/open/", headers.RequestID+": b/1")
	}
	lost := map[string]uint32{}
	for _, p := range e.loadTracker.Report(time.Now(), booking) {
		lost[p.GetService()] = p.GetLostPermille()
	}
	require.EqualValues(t, 1000, lost["one"])
}

// TestRequestsThatCannotFinishAreRefusedAtOnce: the last service in the chain of a booking has capacity but loses most
// calls, so hardly any booking can finish. New bookings must be refused before they use up capacity.
func TestRequestsThatCannotFinishAreRefusedAtOnce(t *testing.T) {
	e := newEntryUnderTest(t)
	e.loadTracker.LearnAtEntry(time.Now(), shed.ServiceRoute{Service: "one", Route: "booking"}, "one-1", []*apiv1.Pressure{
		{Service: "short", LoadPermille: 500, CallsPermille: 4000, LostPermille: 800}})
	refused := 0
	for range 40 {
		response, body := e.get("/book/", withKey)
		if response.StatusCode == http.StatusOK {
			continue
		}
		refused++
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.NotEmpty(t, response.Header.Get("Retry-After"))
		require.Contains(t, body, `"ran":"no"`)
		require.Contains(t, body, "short")
	}
	require.Greater(t, refused, 30)
	response, _ := e.get("/open/")
	require.Equal(t, http.StatusOK, response.StatusCode, "calls on behalf of admitted requests are not shed")
}

// TestWaitingOfACallCountsForItsRequest guards against a request whose service counts the time for which its calls wait
// for slots as work of its own.
func TestWaitingOfACallCountsForItsRequest(t *testing.T) {
	e := newEntryUnderTest(t)
	parent := &callctx.RunningCall{Origin: callctx.Origin{RequestID: "r-7", Route: "parent"}}
	e.callIndex.Add(parent)
	e.dispatcher.answer = func(context.Context, *dispatch.Request) *dispatch.Result {
		result := dispatch.RecordedResult(200, nil, nil)
		result.QueueTime = 30 * time.Millisecond
		return result
	}
	for range 2 {
		response, _ := e.get("/open/x", headers.RequestID+": r-7/1")
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	require.Equal(t, 60*time.Millisecond, parent.QueueTime())
}
