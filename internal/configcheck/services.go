package configcheck

import (
	"slices"

	"k8s.io/apimachinery/pkg/labels"

	"github.com/guavaford/guavaford/internal/config"
)

// fleetTarget is a known target with its settings in force.
type fleetTarget struct {
	Target
	policy config.TargetPolicy
}

// targetsOf returns the known targets of a service.
func (c *checker) targetsOf(service string) []fleetTarget {
	var found []fleetTarget
	for _, t := range c.Targets {
		if t.Service == service {
			found = append(found, fleetTarget{t, c.snapshot.TargetPolicy(t.Service, t.Name, t.Labels, t.Slots)})
		}
	}
	return found
}

// targetCount returns the number of targets of a service, and whether it is known. What the operator states goes first.
func (c *checker) targetCount(service string) (count int, known bool) {
	if n := c.Load[service].Targets; n > 0 {
		return n, true
	}
	return len(c.targetsOf(service)), c.TargetsKnown
}

// wholeService reports whether a document applies to all targets of its service.
func wholeService(s *config.TargetSpec) bool { return s.Target == "" && s.Selector.Empty() }

// drainedBy returns the document that drains all targets of a service, if there is one.
func (c *checker) drainedBy(service string) (name string, found bool) {
	for _, t := range c.targets {
		if t.spec.Drain && wholeService(t.spec) && (t.spec.Service == config.AnyService || t.spec.Service == service) {
			return t.name, true
		}
	}
	return "", false
}

// checkServices reports services that the source lists and to which no route leads, and routes whose requests no target
// can get.
func (c *checker) checkServices() {
	used := map[string]bool{}
	for _, r := range c.snapshot.Routes {
		for _, service := range r.Services() {
			used[service] = true
		}
		for _, service := range shares(r) {
			c.checkServiceOfRoute(r, service)
		}
	}
	for _, service := range c.Services {
		if !used[service] {
			c.warn(CodeServiceWithoutRoute, config.KindTarget, service, "spec.service", "no route leads to service %s", service)
		}
	}
}

// checkServiceOfRoute reports a share of a route that no target can serve. Such requests are refused, and don't go to
// the other services of a split.
func (c *checker) checkServiceOfRoute(r *config.Route, service string) {
	if name, drained := c.drainedBy(service); drained {
		c.warn(CodeServiceDrained, config.KindRoute, r.Name, serviceField(r), "Target %s drains all targets of service %s", name, service)
		return
	}
	if !c.TargetsKnown {
		return
	}
	targets := c.targetsOf(service)
	if len(targets) == 0 {
		if c.Load[service].Targets == 0 {
			c.warn(CodeServiceWithoutTargets, config.KindRoute, r.Name, serviceField(r), "service %s has no targets", service)
		}
		return
	}
	matching := slices.DeleteFunc(targets, func(t fleetTarget) bool { return !r.Selector.Matches(t.policy.Labels) })
	if len(matching) == 0 {
		c.warn(CodeRouteWithoutTargets, config.KindRoute, r.Name, "spec.targets", "%q matches none of the targets of service %s", r.Selector, service)
		return
	}
	if !slices.ContainsFunc(matching, func(t fleetTarget) bool { return !t.policy.Draining }) {
		c.warn(CodeServiceDrained, config.KindRoute, r.Name, serviceField(r), "all of its targets of service %s are drained", service)
	}
}

// checkPolicies reports Target documents, or fields of them, that have no effect.
func (c *checker) checkPolicies() {
	for _, t := range c.targets {
		if !wholeService(t.spec) && c.TargetsKnown && !slices.ContainsFunc(c.Targets, func(k Target) bool { return t.spec.Matches(k.Service, k.Name, k.Labels) }) {
			c.warn(CodePolicyWithoutTarget, config.KindTarget, t.name, chooserField(t.spec), "it applies to none of the targets that run")
		}
		if t.spec.Service == config.AnyService && wholeService(t.spec) {
			c.checkOverridden(t)
		}
		if t.spec.HealthPath != "" && !slices.ContainsFunc(c.targets, func(o entry[*config.TargetSpec]) bool {
			return o.spec.ColdPerSecond != nil && mayShareTargets(t.spec, o.spec)
		}) {
			c.warn(CodeHealthPathUnused, config.KindTarget, t.name, "spec.healthPath", "only targets with coldPerSecond are asked at it, and no document sets that")
		}
		c.checkSlots(t)
	}
}

// chooserField is the field that chooses the targets of a document.
func chooserField(s *config.TargetSpec) string {
	if s.Target != "" {
		return "spec.target"
	}
	return "spec.selector"
}

// mayShareTargets reports whether two documents may apply to the same target.
func mayShareTargets(a, b *config.TargetSpec) bool {
	return a.Service == b.Service || a.Service == config.AnyService || b.Service == config.AnyService
}

// fieldsOf returns the fields that a Target document sets and a later one may replace. A drain can't be replaced.
func fieldsOf(s *config.TargetSpec) []string {
	var fields []string
	for key := range s.Labels {
		fields = append(fields, "labels."+key)
	}
	for field, set := range map[string]bool{
		"slots": s.Slots != nil, "coldStart": s.ColdStart != nil, "coldPerSecond": s.ColdPerSecond != nil, "healthPath": s.HealthPath != "",
		"maxConnections": s.MaxConnections != nil,
	} {
		if set {
			fields = append(fields, field)
		}
	}
	return fields
}

// checkOverridden reports a document for every service all of whose fields the documents of each service replace.
func (c *checker) checkOverridden(t entry[*config.TargetSpec]) {
	fields := fieldsOf(t.spec)
	if len(fields) == 0 || t.spec.Drain || len(c.snapshot.Routes) == 0 {
		return
	}
	for _, r := range c.snapshot.Routes {
		for _, service := range r.Services() {
			replaced := map[string]bool{}
			for _, own := range c.targets {
				if own.spec.Service == service && wholeService(own.spec) {
					for _, field := range fieldsOf(own.spec) {
						replaced[field] = true
					}
				}
			}
			if slices.ContainsFunc(fields, func(field string) bool { return !replaced[field] }) {
				return
			}
		}
	}
	c.warn(CodePolicyOverridden, config.KindTarget, t.name, "spec.service", "it has no effect: each service has a document that replaces all of its fields")
}

// checkSlots reports slots that the connections to a target don't allow. The connections may be set by the document for
// every service.
func (c *checker) checkSlots(t entry[*config.TargetSpec]) {
	if t.spec.Slots == nil {
		return
	}
	connections := t.spec.MaxConnections
	if connections == nil && t.spec.Service != config.AnyService {
		policy := c.snapshot.TargetPolicy(t.spec.Service, "", labels.Set{}, 0)
		if policy.MaxConnections > 0 {
			connections = &policy.MaxConnections
		}
	}
	if connections != nil && *t.spec.Slots > *connections {
		c.warn(CodeSlotsAboveConnections, config.KindTarget, t.name, "spec.slots", "%d slots can't be used with at most %d connections, each of which carries one request", *t.spec.Slots, *connections)
	}
}
