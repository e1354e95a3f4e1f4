package dispatch

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/admission"
	"github.com/guavaford/guavaford/internal/blackboard"
	"github.com/guavaford/guavaford/internal/board"
	"github.com/guavaford/guavaford/internal/callctx"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/coldstart"
	"github.com/guavaford/guavaford/internal/gate"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/peer"
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/reqbody"
	"github.com/guavaford/guavaford/internal/retry"
	"github.com/guavaford/guavaford/internal/route"
	"github.com/guavaford/guavaford/internal/shed"
	"github.com/guavaford/guavaford/internal/telemetry"
)

// The load of these tests: 88 hosts call a service of six targets, which are warm at a utilisation of 0.63. A cold target gets 13 requests
// per second for 3 s, and no second may be above 1.5 times that and 8 more.
const (
	coldHosts      = 88
	coldTargets    = 6
	coldSlots      = 177
	coldCalls      = 9400
	coldWork       = 71 * time.Millisecond
	coldDuration   = 3 * time.Second
	coldPerSecond  = 13.0
	coldBound      = 1.5*coldPerSecond + 8
	coldNetwork    = time.Millisecond
	coldReportLate = 1500 * time.Millisecond
)

// coldFleet is a model of the fleet in virtual time: the product's dispatchers, shedders and gates over a network with a delay only.
type coldFleet struct {
	t      *testing.T
	policy coldstart.Policy
	// service is the one that callers use.
	service string
	targets []*coldTarget
	view    *registry.View
	callers []*coldCaller

	mu      sync.Mutex
	results []coldResult
}

// coldTarget is a target with the gate beside it.
type coldTarget struct {
	fleet    *coldFleet
	record   *registry.Target
	sequence uint64
	last     coldstart.Reading
	// calls is the number of calls to the service back that a request makes; the caller and the tracker are those of its node.
	calls   int
	caller  *coldCaller
	tracker *shed.LoadTracker

	mu   sync.Mutex
	gate *gate.Gate
	// coldUntil is when the target is warm. While it is cold, requests take five times as long.
	coldUntil time.Time
	arrivals  []time.Time
}

// coldCaller is one host that sends calls.
type coldCaller struct {
	dispatcher *Dispatcher
	shedder    *shed.Shedder
}

// coldResult is how one call ended.
type coldResult struct {
	begun   time.Time
	refusal *outcome.Refusal
	// shed is true if the entry refused the call, cold if the result was marked so.
	shed, cold bool
	// failed is true if the target answered with an error.
	failed bool
}

func (f *coldFleet) Admission(*registry.Target) admission.Config {
	return admission.Config{Slots: coldSlots, FixedLimit: true, NoShedding: true, Cold: f.policy, ColdBurst: 14.5}
}

func (f *coldFleet) Draining(*registry.Target) bool { return false }

func (f *coldFleet) CheckKeyNumber(uint64) *outcome.Refusal { return nil }

// Call passes a call on to the gate of the node at the address.
func (f *coldFleet) Call(ctx context.Context, address string, h *apiv1.CallHeader, body *reqbody.Lease) (*gate.Answer, error) {
	time.Sleep(coldNetwork)
	for _, target := range f.targets {
		if target.record.NodeAddress == address {
			answer := target.current().Do(ctx, h, body)
			time.Sleep(coldNetwork)
			return answer, nil
		}
	}
	return nil, fmt.Errorf("no node at %s", address)
}

func (f *coldFleet) Attach(context.Context, string, *apiv1.CallKey) (*gate.Answer, error) {
	return nil, fmt.Errorf("not used")
}

func (f *coldFleet) Fence(context.Context, string, *apiv1.FenceRequest) (*apiv1.FenceResponse, error) {
	return nil, fmt.Errorf("not used")
}

// RoundTrip runs a request at the target.
func (c *coldTarget) RoundTrip(r *http.Request) (*http.Response, error) {
	work := time.Duration((0.7 + 0.6*rand.Float64()) * float64(coldWork))
	c.mu.Lock()
	c.arrivals = append(c.arrivals, time.Now())
	if time.Now().Before(c.coldUntil) {
		work *= 5
	}
	c.mu.Unlock()
	time.Sleep(work)
	status := http.StatusOK
	if !c.subCalls(r.Context()) {
		status = http.StatusServiceUnavailable
	}
	return &http.Response{StatusCode: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("ok")), ContentLength: 2, Request: r}, nil
}

// subCalls makes the calls of a request, one after another, as the entry for the target does. It returns false if one was refused.
func (c *coldTarget) subCalls(ctx context.Context) bool {
	for range c.calls {
		deadline, _ := ctx.Deadline()
		c.tracker.CallStarted(time.Now(), shed.ServiceRoute{Service: c.record.Service, Route: "r"}, shed.ServiceRoute{Service: "back", Route: "r"})
		origin := &callctx.Origin{Organisation: "court", Deadline: deadline, Allowance: retry.NewAllowance(3), Route: "r", Depth: 1}
		answer := c.caller.dispatcher.Do(ctx, &Request{Origin: origin, Service: "back", Method: "GET", Path: "/", Idempotent: true, MaxTargets: 2,
			MaxWait: time.Until(deadline), Body: BufferedBody(nil)})
		refusal := answer.Refusal()
		if !answer.Cold {
			c.tracker.CallEnded(time.Now(), "back", refusal != nil)
		}
		if refusal != nil {
			return false
		}
		_, _ = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
	}
	return true
}

func (c *coldTarget) current() *gate.Gate {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gate
}

// startNode starts the process of the node beside the target, which knows the last report of the target.
func (c *coldTarget) startNode() {
	limit := telemetry.NewLogLimiter(100)
	c.tracker = shed.NewLoadTracker()
	c.caller = c.fleet.newCaller("beside-"+c.record.Name, c.tracker)
	g := gate.New(gate.Options{
		KeyChecker: c.fleet, Policies: c.fleet, Handles: callctx.NewHandles(), Clock: clock.System{}, Metrics: telemetry.NewMetrics(),
		Log: telemetry.Discard(), LogLimiter: limit, Transport: c, LoadTracker: c.tracker, CallIndex: callctx.NewCallIndex(),
		ColdReading: func(string, time.Time) (coldstart.Reading, bool) { return c.last, c.sequence > 0 },
	})
	g.SetTargets([]*registry.Target{c.record})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gate = g
}

// becomeCold makes the target cold, and reports it.
func (c *coldTarget) becomeCold(left time.Duration) {
	c.mu.Lock()
	c.coldUntil = time.Now().Add(left)
	c.mu.Unlock()
	c.report(left)
}

// report sends a report of the remaining cold time to the node.
func (c *coldTarget) report(left time.Duration) {
	c.sequence++
	c.last = coldstart.Reading{Sequence: c.sequence, At: time.Now(), Left: left}
	c.current().ObserveCold(c.record.Name, c.record.Started, c.last)
}

// received returns the arrivals in a span.
func (c *coldTarget) received(from, to time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, at := range c.arrivals {
		if !at.Before(from) && at.Before(to) {
			count++
		}
	}
	return count
}

// most returns the largest number of arrivals in any second that lies in a span.
func (c *coldTarget) most(from, to time.Time) int {
	c.mu.Lock()
	arrivals := append([]time.Time{}, c.arrivals...)
	c.mu.Unlock()
	most := 0
	for i, first := range arrivals {
		if first.Before(from) || first.After(to) {
			continue
		}
		n := 0
		for _, at := range arrivals[i:] {
			if at.Sub(first) >= time.Second || at.After(to) {
				break
			}
			n++
		}
		most = max(most, n)
	}
	return most
}

// newCaller returns a host that sends calls.
func (f *coldFleet) newCaller(node string, tracker *shed.LoadTracker) *coldCaller {
	b, err := board.New(blackboard.NewSection(f.view))
	require.NoError(f.t, err)
	config := route.DefaultConfig()
	config.SpillLoad, config.FullSpillRatio, config.SlowRatio, config.SlowStart, config.ScanAllTargets = 0.85, 0.5, 2.5, 3*time.Second, true
	config.EvenSpread = true
	return &coldCaller{shedder: shed.NewShedder(tracker, shed.Options{}), dispatcher: New(Options{
		Identity: peer.Identity{Node: node, Incarnation: 1}, DataCentre: "dc", Sender: f, Directory: anyService{}, Board: b,
		Clock: clock.System{}, Metrics: telemetry.NewMetrics(), Log: telemetry.Discard(), LogLimiter: telemetry.NewLogLimiter(100),
		LoadTracker: tracker, Route: &config,
	})}
}

// addService adds a service of which each request makes calls to the service back.
func (f *coldFleet) addService(service string, calls int) {
	for i := range coldTargets {
		name := fmt.Sprintf("%s%d", service, i)
		record := &registry.Target{Name: name, Service: service, Node: "node-" + name, NodeAddress: name, Slots: coldSlots, Incarnation: 1,
			State: apiv1.TargetState_TARGET_STATE_READY, Started: time.Now().Add(-time.Hour), DataCentre: "dc"}
		f.targets = append(f.targets, &coldTarget{fleet: f, record: record, calls: calls})
		f.view.Services[service] = append(f.view.Services[service], record)
	}
}

// startHosts starts the nodes beside the targets and those of the callers.
func (f *coldFleet) startHosts() {
	for _, target := range f.targets {
		target.startNode()
	}
	f.callers = nil
	for i := range coldHosts {
		f.callers = append(f.callers, f.newCaller(fmt.Sprintf("entry-%d", i), shed.NewLoadTracker()))
	}
}

// runCold runs a test in a fleet whose targets are warm.
func runCold(t *testing.T, policy coldstart.Policy, test func(f *coldFleet)) {
	if testing.Short() {
		t.Skip("tens of thousands of calls")
	}
	synctest.Test(t, func(t *testing.T) {
		f := &coldFleet{t: t, policy: policy, service: "s", view: &registry.View{Services: map[string][]*registry.Target{}}}
		f.addService("s", 0)
		f.startHosts()
		test(f)
		time.Sleep(3 * time.Second)
	})
}

// load offers calls for a time, evenly, each from a random host.
func (f *coldFleet) load(length time.Duration, perSecond int) {
	const step = time.Millisecond
	owed := 0.0
	for range length / step {
		time.Sleep(step)
		for owed += float64(perSecond) * step.Seconds(); owed >= 1; owed-- {
			go f.call(f.callers[rand.IntN(len(f.callers))])
		}
	}
}

// call makes one call.
func (f *coldFleet) call(c *coldCaller) {
	result := coldResult{begun: time.Now()}
	origin := &callctx.Origin{Organisation: "court", Deadline: result.begun.Add(2 * time.Second), Allowance: retry.NewAllowance(3), Route: "r"}
	if !c.shedder.Admit(result.begun, shed.Request{ServiceRoute: shed.ServiceRoute{Service: f.service, Route: "r"}, Repeatable: true, Random: rand.Float64()}).Admitted {
		result.shed = true
	} else {
		ctx, cancel := context.WithDeadline(f.t.Context(), origin.Deadline)
		defer cancel()
		answer := c.dispatcher.Do(ctx, &Request{Origin: origin, Service: f.service, Method: "GET", Path: "/", Idempotent: true, MaxTargets: 2,
			MaxWait: 190 * time.Millisecond, Body: BufferedBody(nil)})
		result.refusal, result.cold = answer.Refusal(), answer.Cold
		result.failed = result.refusal == nil && answer.Header.GetStatus() != http.StatusOK
		if answer.Body != nil {
			_, _ = io.Copy(io.Discard, answer.Body)
			_ = answer.Body.Close()
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.results = append(f.results, result)
}

// served returns the share of the calls begun in a span that were served, and the calls that were refused.
func (f *coldFleet) served(from, to time.Time) (share float64, refused []coldResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := 0
	for _, r := range f.results {
		if r.begun.Before(from) || !r.begun.Before(to) {
			continue
		}
		total++
		if r.shed || r.refusal != nil || r.failed {
			refused = append(refused, r)
		}
	}
	return 1 - float64(len(refused))/float64(max(total, 1)), refused
}
