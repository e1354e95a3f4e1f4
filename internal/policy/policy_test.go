package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/admission"
	"github.com/guavaford/guavaford/internal/blackboard"
	"github.com/guavaford/guavaford/internal/board"
	"github.com/guavaford/guavaford/internal/coldstart"
	"github.com/guavaford/guavaford/internal/config"
	"github.com/guavaford/guavaford/internal/registry"
)

// resolver returns a resolver with one Target document, as of a revision.
func resolver(t *testing.T, revision uint64, spec *config.TargetSpec) AdmissionResolver {
	route, problems := config.NewResource(config.KindRoute, "r", nil, &config.RouteSpec{Service: "s"})
	require.NoError(t, problems.Err())
	class, problems := config.NewResource(config.KindClass, "c", nil, &config.ClassSpec{Priority: new(int)})
	require.NoError(t, problems.Err())
	resources := []*apiv1.Resource{route, class}
	if spec != nil {
		spec.Service = "s"
		target, problems := config.NewResource(config.KindTarget, "t", nil, spec)
		require.NoError(t, problems.Err())
		resources = append(resources, target)
	}
	s, err := config.Compile(revision, resources)
	require.NoError(t, err)
	return AdmissionResolver{Configuration: blackboard.NewSection(&board.Configuration{Revision: revision, Snapshot: s})}
}

var target = &registry.Target{Name: "a", Service: "s", Slots: 50, Started: time.Unix(1000, 0)}

// TestWithoutAColdRateTheRampApplies guards against a change for targets whose policy has a cold start and no cold rate.
func TestWithoutAColdRateTheRampApplies(t *testing.T) {
	start := config.Duration(10 * time.Second)
	r := resolver(t, 1, &config.TargetSpec{ColdStart: &start})
	got := r.Admission(target)
	require.Equal(t, admission.Config{Service: "s", Slots: 50, ColdStart: 10 * time.Second, Started: target.Started, ColdBurst: DefaultColdSlack}, got)
	require.Equal(t, coldstart.Policy{}, Effective(r.Configuration.Load().Snapshot, target).Cold)
}

// TestColdRateReplacesTheRamp guards against a target that is held down by the ramp once it is warm, and against a bucket that holds more than
// the bound of the deployment allows.
func TestColdRateReplacesTheRamp(t *testing.T) {
	start, perSecond := config.Duration(3*time.Second), 13.0
	r := resolver(t, 1, &config.TargetSpec{ColdStart: &start, ColdPerSecond: &perSecond})
	want := coldstart.Policy{Duration: 3 * time.Second, PerSecond: 13}
	got := r.Admission(target)
	require.Equal(t, want, got.Cold)
	require.Zero(t, got.ColdStart)
	require.Equal(t, 14.5, got.ColdBurst)
	require.Equal(t, want, Effective(r.Configuration.Load().Snapshot, target).Cold)
	r.ColdExcess, r.ColdSlack = 1, 1
	require.Equal(t, 1.0, r.Admission(target).ColdBurst)
}

// TestBeforeTheFirstConfigurationSomeColdRateApplies guards against a node that has just started and floods a cold target until it has a
// configuration, and against one that takes a target for cold that does not say so.
func TestBeforeTheFirstConfigurationSomeColdRateApplies(t *testing.T) {
	cold := resolver(t, 0, nil).Admission(target).Cold
	require.Positive(t, cold.PerSecond)
	now := target.Started
	tracker := coldstart.NewTracker(now)
	require.Zero(t, tracker.Left(now, cold))
	tracker.Observe(coldstart.Reading{At: now, Left: time.Second})
	require.Equal(t, time.Second, tracker.Left(now, cold))
}
