package config

import (
	"cmp"
	"strings"
	"time"

	"k8s.io/apimachinery/pkg/labels"
)

// AnyService as the service of a Target document stands for every service.
const AnyService = "*"

// TargetPolicy is what applies to one target.
type TargetPolicy struct {
	// Labels are the announced labels and the operators'; the latter replace those of the same key.
	Labels labels.Set
	// Slots is the number of requests that may run at once; 0 if neither side names one.
	Slots int
	// ColdStart is the time over which a started target takes up its full share.
	ColdStart time.Duration
	// Draining is true while the target must take no new work.
	Draining bool
	// MaxConnections caps the connections to the target, and with them Slots; 0 means no cap.
	MaxConnections int
}

// targetDocument is one compiled Target document.
type targetDocument struct {
	name string
	spec *TargetSpec
}

func newTargetDocument(d document[*TargetSpec]) *targetDocument {
	return &targetDocument{name: d.name, spec: d.spec}
}

// compareTargetDocuments puts documents for a whole service first, then those by selector, then
// those by name, so that the narrower one has the last word, and orders each by document name.
func compareTargetDocuments(a, b *targetDocument) int {
	return cmp.Or(cmp.Compare(a.spec.narrowness(), b.spec.narrowness()), strings.Compare(a.name, b.name))
}

// narrowness grows from a whole service over a selector to a single target.
func (s *TargetSpec) narrowness() int {
	switch {
	case s.Target != "":
		return 2
	case !s.Selector.Empty():
		return 1
	default:
		return 0
	}
}

// Chooses returns true when the document applies to a target of a service with
// these announced labels.
func (s *TargetSpec) Chooses(service, name string, announced labels.Set) bool {
	if s.Service != AnyService && s.Service != service {
		return false
	}
	if s.Target != "" {
		return s.Target == name
	}
	return s.Selector.Matches(announced)
}

// WithReserved returns the announced labels of a target with those that its node adds.
func WithReserved(announced labels.Set, node, dataCentre, target string) labels.Set {
	return labels.Merge(announced, labels.Set{LabelNode: node, LabelDataCentre: dataCentre, LabelTarget: target})
}

// TargetPolicy returns what applies to a target. The announced labels must be
// those of WithReserved. Documents for every service apply first, then those
// of the service; within each, those for all targets, then those by selector, then those by
// name, each in order of their names. A later document replaces the fields that it sets; a
// drain by any document counts. Slots only lower what the target announced.
func (s *Snapshot) TargetPolicy(service, name string, announced labels.Set, announcedSlots int) TargetPolicy {
	policy := TargetPolicy{Labels: announced, Slots: announcedSlots}
	slots := 0
	for _, scope := range []string{AnyService, service} {
		for _, d := range s.targets[scope] {
			if !d.spec.Chooses(service, name, announced) {
				continue
			}
			policy.apply(d.spec)
			if d.spec.Slots != nil {
				slots = *d.spec.Slots
			}
		}
	}
	policy.Slots = lower(policy.Slots, slots)
	// A connection to a target carries one request at a time.
	policy.Slots = lower(policy.Slots, policy.MaxConnections)
	return policy
}

// lower returns the lower of two caps, of which 0 is none.
func lower(a, b int) int {
	if a <= 0 || (b > 0 && b < a) {
		return b
	}
	return a
}

// apply takes over the fields that a document sets, except the slots.
func (p *TargetPolicy) apply(spec *TargetSpec) {
	if len(spec.Labels) > 0 {
		p.Labels = labels.Merge(p.Labels, spec.Labels)
	}
	if spec.ColdStart != nil {
		p.ColdStart = time.Duration(*spec.ColdStart)
	}
	if spec.MaxConnections != nil {
		p.MaxConnections = *spec.MaxConnections
	}
	p.Draining = p.Draining || spec.Drain
}
