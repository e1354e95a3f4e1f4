package gate

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/callctx"
	"github.com/guavaford/guavaford/internal/headers"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/retry"
	"github.com/guavaford/guavaford/internal/shed"
)

// TestRefusalsByAnIdleTargetAreNotLoad guards against shedding requests that the target could serve: a target refuses
// nine of ten requests while it is nearly idle, and its load must not count each of them as a used slot.
func TestRefusalsByAnIdleTargetAreNotLoad(t *testing.T) {
	var asked atomic.Int64
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if asked.Add(1)%10 != 0 {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(5 * time.Millisecond)
	}))
	defer target.Close()
	f := newFixture(t, strings.TrimPrefix(target.URL, "http://"), 10)
	f.gate.opts.HeaderNames = &headers.Names{NotRun: "Not-Run"}
	served := 0
	for start := time.Now(); time.Since(start) < 600*time.Millisecond; {
		if answer := f.gate.Do(t.Context(), header(true), nil); answer.Refusal() == nil {
			read(t, answer)
			served++
		}
	}
	require.Greater(t, served, 20)
	e, ok := f.gate.find("t1")
	require.True(t, ok)
	reading := e.meter.Read(time.Now(), shed.Capacity{Slots: 10})
	require.Less(t, reading.Load, 0.2, "load with one request at a time in ten slots: %+v", reading)
}

// TestRefusedRepeatsAreNotLoad guards against load that includes refused repeats: other targets refuse calls, so that
// nine of ten that arrive here are repeats, and the service has none left. The target is nearly idle, and its load must
// show that.
func TestRefusedRepeatsAreNotLoad(t *testing.T) {
	target := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		time.Sleep(5 * time.Millisecond)
	}))
	defer target.Close()
	f := newFixture(t, strings.TrimPrefix(target.URL, "http://"), 10)
	f.gate.opts.RepeatLimit.Targets = func(string) int { return 1 }
	e, ok := f.gate.find("t1")
	require.True(t, ok)
	f.gate.opts.RepeatLimit.Window = time.Second
	e.repeats = retry.NewBucket(0.01, func() float64 { return 0 })
	refused := 0
	for start := time.Now(); time.Since(start) < 600*time.Millisecond; {
		read(t, f.gate.Do(t.Context(), header(true), nil))
		for range 9 {
			h := header(true)
			h.Repeat, h.Depth, h.Attempt = apiv1.Repeat_REPEAT_REACHED, 1, 1
			if refusal := f.gate.Do(t.Context(), h, nil).Refusal(); refusal != nil {
				require.Equal(t, outcome.RepeatRefused, refusal.Code)
				refused++
			}
		}
	}
	require.Greater(t, refused, 200)
	reading := e.meter.Read(time.Now(), shed.Capacity{Slots: 10})
	require.Less(t, reading.Load, 0.2, "load with one request at a time in ten slots: %+v", reading)
}

// TestWaitingOfSubCallsIsReportedAndNoLoad guards against a service that looks overloaded because the calls of its requests
// wait for slots elsewhere, and against a wait that the services above don't learn of.
func TestWaitingOfSubCallsIsReportedAndNoLoad(t *testing.T) {
	const held, waited = 40 * time.Millisecond, 30 * time.Millisecond
	f := newFixture(t, "", 10)
	target := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		running, ok := f.handles.Find(callctx.Handle(r.Header.Get(headers.Handle)))
		if ok {
			running.AddQueueTime(waited)
		}
		time.Sleep(held)
	}))
	defer target.Close()
	address := strings.TrimPrefix(target.URL, "http://")
	f.gate.SetTargets([]*registry.Target{{Name: "t1", Service: "s", Node: "n", Address: address, Slots: 10}})
	for range 10 {
		answer := f.gate.Do(t.Context(), header(true), nil)
		read(t, answer)
		require.GreaterOrEqual(t, time.Duration(answer.Header.GetLoad().GetQueuedUs())*time.Microsecond, waited)
	}
	e, ok := f.gate.find("t1")
	require.True(t, ok)
	used := e.meter.Read(time.Now(), shed.Capacity{Slots: 10}).MeanServiceTime
	require.Greater(t, used, 5*time.Millisecond)
	require.Less(t, used, held, "the waiting of sub-calls is left out")
}
