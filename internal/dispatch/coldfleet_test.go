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
	t       *testing.T
	policy  coldstart.Policy
	targets []*coldTarget
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
}

func (f *coldFleet) Admission(*registry.Target) admission.Config {
	return admission.Config{Service: "s", Slots: coldSlots, FixedLimit: true, NoShedding: true, Cold: f.policy, ColdBurst: 14.5}
}

func (f *coldFleet) Draining(*registry.Target) bool { return false }

func (f *coldFleet) CheckKeyNumber(uint64) *outcome.Refusal { return nil }

// Call passes a call on to the gate of the node at the address.
func (f *coldFleet) Call(ctx context.Context, address string, h *apiv1.CallHeader, body io.Reader) (*gate.Answer, error) {
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
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("ok")), ContentLength: 2, Request: r}, nil
}

func (c *coldTarget) current() *gate.Gate {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gate
}

// startNode starts the process of the node beside the target, which knows the last report of the target.
func (c *coldTarget) startNode() {
	limit := telemetry.NewLogLimiter(100)
	g := gate.New(gate.Options{
		KeyChecker: c.fleet, Policies: c.fleet, Handles: callctx.NewHandles(), Clock: clock.System{}, Metrics: telemetry.NewMetrics(),
		Log: telemetry.Discard(), LogLimiter: limit, Transport: c, LoadTracker: shed.NewLoadTracker(), CallIndex: callctx.NewCallIndex(),
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

// runCold runs a test in a fleet whose targets are warm.
func runCold(t *testing.T, policy coldstart.Policy, test func(f *coldFleet)) {
	if testing.Short() {
		t.Skip("tens of thousands of calls")
	}
	synctest.Test(t, func(t *testing.T) {
		f := &coldFleet{t: t, policy: policy}
		view := &registry.View{Services: map[string][]*registry.Target{}}
		for i := range coldTargets {
			name := fmt.Sprintf("t%d", i)
			record := &registry.Target{Name: name, Service: "s", Node: "node-" + name, NodeAddress: name, Slots: coldSlots, Incarnation: 1,
				State: apiv1.TargetState_TARGET_STATE_READY, Started: time.Now().Add(-time.Hour), DataCentre: "dc"}
			target := &coldTarget{fleet: f, record: record}
			target.startNode()
			f.targets = append(f.targets, target)
			view.Services["s"] = append(view.Services["s"], record)
		}
		for i := range coldHosts {
			b, err := board.New(blackboard.NewSection(view))
			require.NoError(t, err)
			tracker := shed.NewLoadTracker()
			config := route.DefaultConfig()
			config.SpillLoad, config.FullSpillRatio, config.SlowRatio, config.SlowStart, config.ScanAllTargets = 0.85, 0.5, 2.5, 3*time.Second, true
			f.callers = append(f.callers, &coldCaller{shedder: shed.NewShedder(tracker, shed.Options{}), dispatcher: New(Options{
				Identity: peer.Identity{Node: fmt.Sprintf("entry-%d", i), Incarnation: 1}, DataCentre: "dc", Sender: f, Directory: anyService{}, Board: b,
				Clock: clock.System{}, Metrics: telemetry.NewMetrics(), Log: telemetry.Discard(), LogLimiter: telemetry.NewLogLimiter(100),
				LoadTracker: tracker, Route: &config,
			})})
		}
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
	if !c.shedder.Admit(result.begun, shed.Request{ServiceRoute: shed.ServiceRoute{Service: "s", Route: "r"}, Repeatable: true, Random: rand.Float64()}).Admitted {
		result.shed = true
	} else {
		ctx, cancel := context.WithDeadline(f.t.Context(), origin.Deadline)
		defer cancel()
		answer := c.dispatcher.Do(ctx, &Request{Origin: origin, Service: "s", Method: "GET", Path: "/", Idempotent: true, MaxTargets: 2,
			MaxWait: 190 * time.Millisecond, Body: BufferedBody(nil)})
		result.refusal, result.cold = answer.Refusal(), answer.Cold
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
		if r.shed || r.refusal != nil {
			refused = append(refused, r)
		}
	}
	return 1 - float64(len(refused))/float64(max(total, 1)), refused
}

var coldPolicy = coldstart.Policy{Duration: coldDuration, PerSecond: coldPerSecond}

// TestColdTargetAmongWarmOnes guards against a target that becomes cold under load and gets more than its cold rate, and against calls that
// are refused because of it while the other targets have room: at a target that becomes cold, and again once it was warm.
func TestColdTargetAmongWarmOnes(t *testing.T) {
	runCold(t, coldPolicy, func(f *coldFleet) {
		target, start := f.targets[0], time.Now()
		f.load(time.Second, coldCalls)
		for range 2 {
			cold := time.Now()
			target.becomeCold(coldDuration)
			go func() {
				time.Sleep(coldReportLate)
				target.report(coldDuration - coldReportLate)
			}()
			f.load(coldDuration, coldCalls)
			warm := time.Now()
			require.LessOrEqual(t, float64(target.most(cold, warm)), coldBound)
			require.Greater(t, float64(target.received(cold, warm)), 0.6*coldPerSecond*coldDuration.Seconds(), "the target is warmed up by requests")
			f.load(2*time.Second, coldCalls)
			require.Greater(t, target.received(warm.Add(time.Second), warm.Add(2*time.Second)), coldCalls/coldTargets/2, "the target gets its share once it is warm")
			t.Logf("cold: at most %d in a second, %d in all; then %d in the second after the first", target.most(cold, warm), target.received(cold, warm),
				target.received(warm.Add(time.Second), warm.Add(2*time.Second)))
		}
		time.Sleep(2 * time.Second)
		share, refused := f.served(start, time.Now())
		require.Empty(t, refused, "served %.4f", share)
	})
}

// TestAllTargetsCold guards against a service whose targets are all cold at once: each must get its rate and no more, the rest must be refused
// as not run with a Retry-After at which the targets are warm, and the service must take the full load within 2 s of getting warm.
func TestAllTargetsCold(t *testing.T) {
	runCold(t, coldPolicy, func(f *coldFleet) {
		f.load(time.Second, coldCalls)
		cold := time.Now()
		for _, target := range f.targets {
			target.becomeCold(coldDuration)
		}
		f.load(coldDuration, coldCalls)
		warm := time.Now()
		f.load(3*time.Second, coldCalls)
		end := time.Now()
		time.Sleep(2 * time.Second)
		for _, target := range f.targets {
			require.LessOrEqual(t, float64(target.most(cold, warm)), coldBound)
			require.Greater(t, float64(target.received(cold, warm)), 0.6*coldPerSecond*coldDuration.Seconds())
			t.Logf("%s: at most %d in a second, %d in all", target.record.Name, target.most(cold, warm), target.received(cold, warm))
		}
		_, refused := f.served(cold, warm)
		atEntry := 0
		for _, r := range refused {
			if r.shed {
				atEntry++
				continue
			}
			require.Equal(t, outcome.RanNo, r.refusal.Ran)
			require.True(t, r.cold, "%+v", r.refusal)
			// The call may have waited in a queue before it was refused.
			require.InDelta(t, warm.Sub(r.begun), r.refusal.RetryAfter, float64(400*time.Millisecond), "%+v", r.refusal)
		}
		t.Logf("refused %d, of which %d by the shedders", len(refused), atEntry)
		for second := warm; second.Before(end); second = second.Add(500 * time.Millisecond) {
			share, _ := f.served(second, second.Add(500*time.Millisecond))
			t.Logf("%v after they are warm: served %.3f", second.Sub(warm), share)
		}
		share, _ := f.served(warm.Add(2*time.Second), end)
		require.Greater(t, share, 0.97)
	})
}

// TestNodeRestartsBesideItsTarget guards against a node that restarts and gives its cold target more than the rate, counted over both processes,
// or its warm target less than its load.
func TestNodeRestartsBesideItsTarget(t *testing.T) {
	runCold(t, coldPolicy, func(f *coldFleet) {
		cold, warm := f.targets[0], f.targets[1]
		warm.report(0)
		f.load(time.Second, coldCalls)
		start := time.Now()
		cold.becomeCold(coldDuration)
		for _, after := range []time.Duration{300, 350, 400, 1000} {
			f.load(time.Until(start.Add(after*time.Millisecond)), coldCalls)
			cold.startNode()
		}
		warm.startNode()
		restarted := time.Now()
		f.load(time.Second, coldCalls)
		require.Greater(t, warm.received(restarted, time.Now()), coldCalls/coldTargets/2, "the warm target keeps its load")
		f.load(time.Until(start.Add(coldDuration)), coldCalls)
		require.LessOrEqual(t, float64(cold.most(start, time.Now())), coldBound)
		t.Logf("cold: at most %d in a second; warm: %d in the second after the restart", cold.most(start, time.Now()),
			warm.received(restarted, restarted.Add(time.Second)))
		time.Sleep(2 * time.Second)
		_, refused := f.served(start, time.Now())
		require.Empty(t, refused)
	})
}

// TestWithoutAColdRateNothingChanges guards against a limit for targets that say that they are cold, while the policy has no cold rate.
func TestWithoutAColdRateNothingChanges(t *testing.T) {
	runCold(t, coldstart.Policy{Duration: coldDuration}, func(f *coldFleet) {
		f.load(time.Second, coldCalls/10)
		start := time.Now()
		f.targets[0].report(coldDuration)
		f.load(2*time.Second, coldCalls/10)
		require.Greater(t, f.targets[0].received(start, time.Now()), coldCalls/10/coldTargets)
		time.Sleep(2 * time.Second)
		_, refused := f.served(start, time.Now())
		require.Empty(t, refused)
	})
}

// TestRefusalByAColdTargetCostsNothing guards against a call that is refused since it has used its extra attempts up at a cold target, and against
// an answer of a cold target that counts as a failure.
func TestRefusalByAColdTargetCostsNothing(t *testing.T) {
	s := &fakeSender{}
	s.call = func(attempt int) (*gate.Answer, error) {
		if attempt == 1 {
			answer := refusalOf(outcome.NotRun(outcome.QueueFull, time.Second, "cold"))
			answer.Header.Load = &apiv1.LoadReport{ColdLeftMs: 2000, ColdPerSecond: 13}
			return answer, nil
		}
		return answerOf("done"), nil
	}
	result, took := sendWith(t, s, func(r *Request) {
		r.Origin.Allowance = retry.NewAllowance(0)
	})
	require.Nil(t, result.Refusal())
	require.Zero(t, took, "the next attempt follows at once")
	require.NotEqual(t, s.calls[0].Target, s.calls[1].Target)
	require.False(t, result.Cold)

	failed := answerOf("busy")
	failed.Header.Status = http.StatusServiceUnavailable
	require.Equal(t, route.Failure, observationKind(failed))
	failed.Header.Load = &apiv1.LoadReport{ColdLeftMs: 1}
	require.Equal(t, route.Cancelled, observationKind(failed))
}
