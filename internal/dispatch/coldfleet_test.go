package dispatch

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/coldstart"
	"github.com/guavaford/guavaford/internal/gate"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/retry"
	"github.com/guavaford/guavaford/internal/route"
)

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

// TestAllHostsComeBackWithColdTargets guards against a fleet that does not recover from the loss of all hosts: the targets of both services of a chain
// are cold, all processes have forgotten what they knew, and callers send as much as before. Chains must finish while the targets are cold,
// and all of them soon after.
func TestAllHostsComeBackWithColdTargets(t *testing.T) {
	runCold(t, coldPolicy, func(f *coldFleet) {
		const perSecond = 600
		f.service = "front"
		f.addService("front", 4)
		f.addService("back", 0)
		f.startHosts()
		start := time.Now()
		for _, target := range f.targets {
			target.becomeCold(coldDuration)
		}
		f.load(coldDuration, perSecond)
		warm := time.Now()
		f.load(4*time.Second, perSecond)
		end := time.Now()
		time.Sleep(3 * time.Second)
		for _, target := range f.targets {
			require.LessOrEqual(t, float64(target.most(start, warm)), coldBound, target.record.Name)
		}
		for second := start; second.Before(end); second = second.Add(500 * time.Millisecond) {
			share, refused := f.served(second, second.Add(500*time.Millisecond))
			shed, failed := 0, 0
			for _, r := range refused {
				if r.shed {
					shed++
				}
				if r.failed {
					failed++
				}
			}
			t.Logf("%v: served %.3f, refused %d, by the shedder %d, failed %d", second.Sub(start), share, len(refused), shed, failed)
		}
		share, _ := f.served(start.Add(time.Second), warm)
		require.Greater(t, share, 0.004, "some chains finish while the targets are cold")
		share, _ = f.served(warm.Add(2*time.Second), end)
		require.Greater(t, share, 0.97)
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
