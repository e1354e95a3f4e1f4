package lab

import (
	"context"
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/admission"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/rate"
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/route"
)

// hotPath makes all decisions of a request without I/O: it takes a rate token, picks a target, asks for admission and
// releases the permit.
type hotPath struct {
	lessee *rate.Lessee
	picker *route.Picker
	gates  map[string]*admission.Controller
	clock  clock.Clock
	load   *apiv1.LoadReport
}

const hotTargets = 4

func newHotPath(learned bool) *hotPath {
	now, config := time.Now(), route.DefaultConfig()
	config.LearnedCapacity = learned
	h := &hotPath{
		lessee: rate.NewLessee(rate.Config{}, rate.Identity{Node: "n"}, 1, clock.System{}),
		picker: route.NewPicker(config, "kl", clock.System{}, 1),
		gates:  map[string]*admission.Controller{},
		clock:  clock.System{},
		load:   &apiv1.LoadReport{InFlight: 1, Limit: 230, Cutoff: &apiv1.Cutoff{Service: "jadual", Common: 1 << 28, Own: 1 << 28}, ExpectedTimeNs: 1e6},
	}
	out := rate.PendingRequest{SentAt: now, Request: &apiv1.LeaseRequest{Sequence: 1, Demands: []*apiv1.TokenDemand{{Organisation: "o"}}}}
	h.lessee.ApplyResponse(now, out, &apiv1.LeaseResponse{Sequence: 1, Grants: []*apiv1.TokenGrant{{
		Organisation: "o", LeaseId: 1, Tokens: 1 << 31, TtlNs: int64(time.Hour),
	}}})
	var targets []*registry.Target
	for i := range hotTargets {
		t := &registry.Target{Name: "jadual", Node: fmt.Sprint(i), DataCentre: "kl", Slots: 230, State: apiv1.TargetState_TARGET_STATE_READY}
		targets = append(targets, t)
		h.gates[t.Node] = admission.NewController(admission.Config{Service: "jadual", Slots: t.Slots, FixedLimit: learned, LearnLimit: learned}, clock.System{})
	}
	h.picker.Update(targets)
	return h
}

// request makes the decisions of one request; false when one of them refuses.
func (h *hotPath) request(ctx context.Context) bool {
	now := h.clock.Now()
	if _, ok := h.lessee.TryTake(now, "o"); !ok {
		return false
	}
	choice, refusal := h.picker.Pick(route.Query{Route: "r", Organisation: "o", Level: 7})
	if refusal != nil {
		return false
	}
	permit, refusal := h.gates[choice.Target().Node].Acquire(ctx, admission.Request{Organisation: "o", Weight: 1, Level: 7, Deadline: now.Add(time.Minute)})
	if refusal != nil {
		return false
	}
	permit.Release(admission.Result{Kind: admission.Success, Route: "r"})
	choice.Done(route.Observation{Outcome: route.Success, Latency: time.Millisecond, Load: h.load})
	return true
}

// TestHotPathDoesNotAllocate guards against heap allocations in the decisions that every request needs.
func TestHotPathDoesNotAllocate(t *testing.T) {
	for _, learned := range []bool{false, true} {
		h := newHotPath(learned)
		for range 100 {
			require.True(t, h.request(t.Context()))
		}
		require.Zero(t, testing.AllocsPerRun(2000, func() { h.request(t.Context()) }))
	}
}

// BenchmarkHotPath measures the decisions of one request with 8 goroutines.
func BenchmarkHotPath(b *testing.B) { benchmarkHotPath(b, newHotPath(false)) }

// BenchmarkHotPathLearned measures them with learned capacity.
func BenchmarkHotPathLearned(b *testing.B) { benchmarkHotPath(b, newHotPath(true)) }

func benchmarkHotPath(b *testing.B, h *hotPath) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(8))
	var refused atomic.Int64
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		ctx := b.Context()
		for pb.Next() {
			if !h.request(ctx) {
				refused.Add(1)
			}
		}
	})
	require.Zero(b, refused.Load())
}
