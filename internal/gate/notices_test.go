package gate

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavaford/guavaford/internal/headers"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/telemetry"
)

// noticeNames are the names of the fields by which the targets of these tests speak of themselves.
var noticeNames = headers.Names{RateLimit: "Rate-Limit", Leaving: "Leaving", NotRun: "Not-Run"}

// noticing returns a fixture whose target adds the given fields to its responses, and its log.
func noticing(t *testing.T, fields func(h http.Header)) (*fixture, *bytes.Buffer) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fields(w.Header()) }))
	t.Cleanup(target.Close)
	f := newFixture(t, strings.TrimPrefix(target.URL, "http://"), 10)
	f.gate.opts.HeaderNames = &noticeNames
	lines := &bytes.Buffer{}
	var err error
	f.gate.opts.Log, err = telemetry.NewLogger(lines, "info")
	require.NoError(t, err)
	return f, lines
}

// TestNoticesOfATargetAreLogged guards against a rate limit, or a target about to leave, that the log of its node does not show.
func TestNoticesOfATargetAreLogged(t *testing.T) {
	value := ""
	f, lines := noticing(t, func(h http.Header) {
		if value == "leaving" {
			h.Set("Leaving", "1")
		} else if value != "" {
			h.Set("Rate-Limit", value)
		}
	})
	for _, c := range []struct{ value, line string }{
		{"38.4", `msg="target limits its rate" target=t1 service=s request= per_second=38.4 was=0`},
		{"many", `msg="notice of the target ignored" target=t1 service=s request= err="rate limit: strconv.ParseFloat`},
		{"-1", `err="rate limit: \"-1\" is not a number`},
		{"NaN", `err="rate limit: \"NaN\" is not a number`},
		{"0", `per_second=0.5 was=38.4`},
		{"", `per_second=0 was=0.5`},
		{"leaving", `msg="target says that it leaves" target=t1`},
	} {
		value = c.value
		lines.Reset()
		read(t, f.gate.Do(t.Context(), header(true), nil))
		require.Contains(t, lines.String(), c.line, "value %q", c.value)
		lines.Reset()
		if c.value == "38.4" || c.value == "0" {
			read(t, f.gate.Do(t.Context(), header(true), nil))
			require.Empty(t, lines.String(), "value %q is logged once", c.value)
		}
	}
}

// TestTargetGetsNoMoreThanItNames guards against a target in need that gets more requests than the limit that it names: at most one and
// a half times as many, and five more.
func TestTargetGetsNoMoreThanItNames(t *testing.T) {
	const perSecond = 50.0
	var arrived atomic.Int64
	f, _ := noticing(t, func(h http.Header) {
		arrived.Add(1)
		h.Set("Rate-Limit", "50")
	})
	read(t, f.gate.Do(t.Context(), header(true), nil))
	before, start := arrived.Load(), time.Now()
	var callers sync.WaitGroup
	for range 4 {
		callers.Go(func() {
			for time.Since(start) < 1500*time.Millisecond {
				if answer := f.gate.Do(t.Context(), header(true), nil); answer.Body != nil {
					_, _ = io.Copy(io.Discard, answer.Body)
					_ = answer.Body.Close()
				}
			}
		})
	}
	callers.Wait()
	got, length := float64(arrived.Load()-before), time.Since(start).Seconds()
	require.LessOrEqual(t, got, 1.5*perSecond*length+5, "in %.2f s", length)
	require.GreaterOrEqual(t, got, 0.5*perSecond*1.5, "in %.2f s", length)
}

// TestTargetThatLeavesGetsNoNewRequest guards against requests for a target that has said in a response that it leaves, before any
// report says so.
func TestTargetThatLeavesGetsNoNewRequest(t *testing.T) {
	f, _ := noticing(t, func(h http.Header) { h.Set("Leaving", "1") })
	read(t, f.gate.Do(t.Context(), header(true), nil))
	refusal := f.gate.Do(t.Context(), header(true), nil).Refusal()
	require.NotNil(t, refusal, "the target gets another request")
	require.Equal(t, outcome.TargetLeaving, refusal.Code)
	require.Equal(t, outcome.RanNo, refusal.Ran)
	require.False(t, refusal.Reached)
}

// TestLeavingTargetStaysSoWhileItRuns guards against a report, or a change of the configuration, that lets requests through again to a
// target that has said that it leaves; the next run of the target gets requests.
func TestLeavingTargetStaysSoWhileItRuns(t *testing.T) {
	leaving := "1"
	f, _ := noticing(t, func(h http.Header) { h.Set("Leaving", leaving) })
	var told []string
	f.gate.opts.OnLeaving = func(target *registry.Target) { told = append(told, target.Name) }
	first := f.gate.Do(t.Context(), header(true), nil)
	require.True(t, first.Header.GetLoad().GetLeaving(), "the answer tells the entry")
	read(t, first)
	e, _ := f.gate.find("t1")
	again := *e.target
	f.gate.SetTargets([]*registry.Target{&again})
	refused := f.gate.Do(t.Context(), header(true), nil)
	require.NotNil(t, refused.Refusal())
	require.True(t, refused.Header.GetLoad().GetLeaving())
	require.Equal(t, []string{"t1"}, told)
	leaving = "0"
	next := again
	next.Started = again.Started.Add(time.Second)
	f.gate.SetTargets([]*registry.Target{&next})
	answer := f.gate.Do(t.Context(), header(true), nil)
	require.False(t, answer.Header.GetLoad().GetLeaving())
	read(t, answer)
}

// TestNoticesOfAnotherTargetAtTheAddressAreIgnored guards against what another target says of itself: it has taken over the address and
// answers that it is not the one that was meant.
func TestNoticesOfAnotherTargetAtTheAddressAreIgnored(t *testing.T) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Rate-Limit", "1")
		w.Header().Set("Leaving", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	}))
	t.Cleanup(target.Close)
	f := newFixture(t, strings.TrimPrefix(target.URL, "http://"), 10)
	names := noticeNames
	names.Target = "Target"
	f.gate.opts.HeaderNames = &names
	for range 2 {
		answer := f.gate.Do(t.Context(), header(true), nil)
		require.True(t, answer.Refusal().Reached, "the request goes to the address")
		require.False(t, answer.Header.GetLoad().GetLeaving())
		require.Zero(t, answer.Header.GetLoad().GetRateLimit())
	}
}

// TestGateThatHasNotHeardKeepsToTheKnownLimit guards against a target in need that gets a flood of requests from a gate that has
// restarted: until the target answers, the gate keeps to the limit that callers have heard.
func TestGateThatHasNotHeardKeepsToTheKnownLimit(t *testing.T) {
	var arrived atomic.Int64
	answer := make(chan struct{})
	f, _ := noticing(t, func(http.Header) {
		arrived.Add(1)
		<-answer
	})
	release := sync.OnceFunc(func() { close(answer) })
	t.Cleanup(release)
	var callers sync.WaitGroup
	for range 10 {
		callers.Go(func() {
			h := header(true)
			h.KnownRateLimit = 4
			f.gate.Do(t.Context(), h, nil)
		})
	}
	start := time.Now()
	require.Eventually(t, func() bool { return arrived.Load() > 0 }, 5*time.Second, time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	require.LessOrEqual(t, float64(arrived.Load()), 1+4*time.Since(start).Seconds())
	release()
	callers.Wait()
	e, _ := f.gate.find("t1")
	require.Zero(t, e.admission.Load().RateLimit, "the target has answered and names none")
	e.adoptRateLimit(4)
	require.Zero(t, e.admission.Load().RateLimit)
}
