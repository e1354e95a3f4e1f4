// Package policy applies the operators' configuration to announced targets: it combines the labels and slots
// that a target announces with the labels, slot limits, cold starts and drains that operators configure.
package policy

import (
	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/admission"
	"github.com/guavaford/guavaford/internal/blackboard"
	"github.com/guavaford/guavaford/internal/board"
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
	// LearnLimit lowers that fixed limit to what a target handles well.
	LearnLimit bool
}

// Admission returns the admission settings of a target.
func (a AdmissionResolver) Admission(t *registry.Target) admission.Config {
	settings := Resolve(a.Configuration.Load().Snapshot, t)
	return admission.Config{
		Service:    t.Service,
		Slots:      settings.Slots,
		ColdStart:  settings.ColdStart,
		Started:    t.Started,
		FixedLimit: a.EntryShedding,
		NoShedding: a.EntryShedding,
		LearnLimit: a.EntryShedding && a.LearnLimit,
	}
}

// Draining reports whether an operator drains the target.
func (a AdmissionResolver) Draining(t *registry.Target) bool {
	return Resolve(a.Configuration.Load().Snapshot, t).Draining
}
