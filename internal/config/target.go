package config

import (
	"cmp"
	"strings"
	"time"

	"k8s.io/apimachinery/pkg/labels"
)

// AnyService as the service of a Target document means every service.
const AnyService = "*"

// TargetPolicy holds the settings of one target: what it announced, combined with the Target
// documents that apply to it.
type TargetPolicy struct {
	// Labels are the announced labels and those of the documents, which override announced ones
	// with the same key.
	Labels labels.Set
	// Slots is the number of concurrent requests; 0 if neither the target nor a document sets one.
	Slots int
	// ColdStart is the warm-up time over which a new target's share of the traffic grows to its full size.
	ColdStart time.Duration
	// ColdPerSecond is the number of requests per second that a cold target gets; 0 for no limit.
	ColdPerSecond float64
	// HealthPath is where a target tells in its responses whether it is cold; empty for none.
	HealthPath string
	// Draining is true while the target must receive no new requests.
	Draining bool
	// MaxConnections caps the connections to the target, and thereby Slots; 0 means no cap.
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

// compareTargetDocuments sorts documents for a whole service first, then those by selector, then
// those for a single target, so that the more specific one applies last and overrides the others.
// Equally specific documents are sorted by their names.
func compareTargetDocuments(a, b *targetDocument) int {
	return cmp.Or(cmp.Compare(a.spec.specificity(), b.spec.specificity()), strings.Compare(a.name, b.name))
}

// specificity is lowest for a whole service, higher for a selector and highest for a single target.
func (s *TargetSpec) specificity() int {
	switch {
	case s.Target != "":
		return 2
	case !s.Selector.Empty():
		return 1
	default:
		return 0
	}
}

// Matches reports whether the document applies to the named target of the service with
// these announced labels.
func (s *TargetSpec) Matches(service, name string, announced labels.Set) bool {
	if s.Service != AnyService && s.Service != service {
		return false
	}
	if s.Target != "" {
		return s.Target == name
	}
	return s.Selector.Matches(announced)
}

// WithReservedLabels returns the announced labels of a target together with the reserved ones that its node adds.
func WithReservedLabels(announced labels.Set, node, dataCentre, target string) labels.Set {
	return labels.Merge(announced, labels.Set{LabelNode: node, LabelDataCentre: dataCentre, LabelTarget: target})
}

// TargetPolicy returns the settings of a target. The announced labels must be
// those of WithReservedLabels. Documents for every service apply first, then those
// of the service; within each, those for all targets, then those by selector, then those for
// a single target, each sorted by document name. A later document overrides the fields that it
// sets, except that a drain by any document takes effect, that of its data centre included. Slots of documents can only lower
// the number that the target announced.
func (s *Snapshot) TargetPolicy(service, name string, announced labels.Set, announcedSlots int) TargetPolicy {
	policy := TargetPolicy{Labels: announced, Slots: announcedSlots, Draining: s.IsDrained(announced[LabelDataCentre])}
	slots := 0
	for _, scope := range []string{AnyService, service} {
		for _, d := range s.targetDocuments[scope] {
			if !d.spec.Matches(service, name, announced) {
				continue
			}
			policy.apply(d.spec)
			if d.spec.Slots != nil {
				slots = *d.spec.Slots
			}
		}
	}
	policy.Slots = lowerLimit(policy.Slots, slots)
	// A connection to a target carries one request at a time.
	policy.Slots = lowerLimit(policy.Slots, policy.MaxConnections)
	return policy
}

// lowerLimit returns the lower of two limits; 0 means no limit.
func lowerLimit(a, b int) int {
	if a <= 0 || (b > 0 && b < a) {
		return b
	}
	return a
}

// apply overrides the fields that a document sets, except the slots.
func (p *TargetPolicy) apply(spec *TargetSpec) {
	if len(spec.Labels) > 0 {
		p.Labels = labels.Merge(p.Labels, spec.Labels)
	}
	if spec.ColdStart != nil {
		p.ColdStart = time.Duration(*spec.ColdStart)
	}
	if spec.ColdPerSecond != nil {
		p.ColdPerSecond = *spec.ColdPerSecond
	}
	if spec.HealthPath != "" {
		p.HealthPath = spec.HealthPath
	}
	if spec.MaxConnections != nil {
		p.MaxConnections = *spec.MaxConnections
	}
	p.Draining = p.Draining || spec.Drain
}
