// Package policy applies the operators' configuration to announced targets: it combines the labels and slots
// that a target announces with the labels, slot limits, cold starts and drains that operators configure.
package policy

import (
	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/admission"
	"github.com/guavaford/guavaford/internal/blackboard"
	"github.com/guavaford/guavaford/internal/board"
	"github.com/guavaford/guavaford/internal/coldstart"
	"github.com/guavaford/guavaford/internal/config"
	"github.com/guavaford/guavaford/internal/registry"
)

// Resolve returns the settings that the configuration in a snapshot gives to a target.
func Resolve(s *config.Snapshot, t *registry.Target) config.TargetPolicy {
	announced := config.WithReservedLabels(t.Labels, t.Node, t.DataCentre, t.Name)
	return s.TargetPolicy(t.Service, t.Name, announced, t.Slots)
}

// Effective returns a copy of the target for routing, with the configured labels and slots, and in state
// leaving while an operator drains it.
func Effective(s *config.Snapshot, t *registry.Target) *registry.Target {
	settings := Resolve(s, t)
	effective := *t
	effective.Labels = settings.Labels
	effective.Slots = settings.Slots
	effective.Cold = coldPolicy(settings)
	if settings.Draining {
		effective.State = apiv1.TargetState_TARGET_STATE_LEAVING
	}
	return &effective
}

// AdmissionResolver computes the admission settings of the targets of a host from the current configuration.
type AdmissionResolver struct {
	Configuration *blackboard.Section[board.Configuration]
	// EntryShedding is true if entries refuse new requests by the load of downstream services. Gates then use
	// the announced slots as a fixed limit and do not shed requests themselves.
	EntryShedding bool
	// ColdExcess and ColdSlack bound the requests to a cold target in any second: its rate times ColdExcess, and ColdSlack
	// more. 0 stands for the defaults.
	ColdExcess, ColdSlack float64
	// LearnLimit lowers that fixed limit to what a target handles well.
	LearnLimit bool
}

const (
	// DefaultColdExcess and DefaultColdSlack are the defaults of the bound on requests to a cold target.
	DefaultColdExcess = 1.5
	DefaultColdSlack  = 8
	// unconfiguredColdPerSecond is the rate of a target that says that it is cold to a process that has no configuration yet. Some rate
	// must apply until then, and it is low so that it is hardly above any configured one.
	unconfiguredColdPerSecond = 5
)

// coldPolicy returns the policy for the time in which a target is cold.
func coldPolicy(settings config.TargetPolicy) coldstart.Policy {
	if settings.ColdPerSecond == 0 {
		return coldstart.Policy{}
	}
	return coldstart.Policy{Duration: settings.ColdStart, PerSecond: settings.ColdPerSecond, HealthPath: settings.HealthPath}
}

// coldBurst returns how many requests may start at once at a cold target, so that no second is above the bound.
func (a AdmissionResolver) coldBurst(perSecond float64) float64 {
	excess, slack := a.ColdExcess, a.ColdSlack
	if excess == 0 && slack == 0 {
		excess, slack = DefaultColdExcess, DefaultColdSlack
	}
	// Less than one would leave the burst to the rate limit.
	return max((excess-1)*perSecond+slack, 1)
}

// Admission returns the admission settings of a target.
func (a AdmissionResolver) Admission(t *registry.Target) admission.Config {
	configuration := a.Configuration.Load()
	settings := Resolve(configuration.Snapshot, t)
	cold := coldPolicy(settings)
	if configuration.Revision == 0 {
		cold.PerSecond = unconfiguredColdPerSecond
	}
	if cold.PerSecond > 0 {
		// The rate replaces the ramp: it bounds the cold target, which takes its full load once it is warm.
		settings.ColdStart = 0
	}
	return admission.Config{
		Service:    t.Service,
		Slots:      settings.Slots,
		ColdStart:  settings.ColdStart,
		Started:    t.Started,
		Cold:       cold,
		ColdBurst:  a.coldBurst(cold.PerSecond),
		FixedLimit: a.EntryShedding,
		NoShedding: a.EntryShedding,
		LearnLimit: a.EntryShedding && a.LearnLimit,
	}
}

// Draining reports whether an operator drains the target.
func (a AdmissionResolver) Draining(t *registry.Target) bool {
	return Resolve(a.Configuration.Load().Snapshot, t).Draining
}
