package config

import (
	"fmt"
	"slices"
	"strings"

	"k8s.io/apimachinery/pkg/labels"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// document is a decoded document of one kind.
type document[S any] struct {
	name   string
	labels labels.Set
	spec   S
}

// documents holds the decoded documents of a configuration by kind.
type documents struct {
	organisations []document[*OrganisationSpec]
	rates         []document[*RateSpec]
	classes       []document[*ClassSpec]
	routes        []document[*RouteSpec]
	targets       []document[*TargetSpec]
	callers       []document[*CallersSpec]
	dataCentres   []document[*DataCentreSpec]

	// rateOf holds the Rate of each organisation and classOf the Class of each route, by their
	// names. check fills them in.
	rateOf  map[string]document[*RateSpec]
	classOf map[string]document[*ClassSpec]
}

// Check validates a whole configuration. It reports invalid documents, selectors that
// match nothing, and labels that several documents select where only one may apply.
func Check(resources []*apiv1.Resource) Problems {
	return new(Compiler).Check(resources)
}

// collect decodes every document and leaves out the invalid ones.
func collect(resources []*apiv1.Resource, decode func(*apiv1.Resource) (spec, Problems)) (*documents, Problems) {
	docs := &documents{rateOf: map[string]document[*RateSpec]{}, classOf: map[string]document[*ClassSpec]{}}
	var problems Problems
	seen := make(map[fieldKey]bool, len(resources))
	for _, r := range resources {
		key := fieldKey{kind: r.GetKind(), name: r.GetName()}
		if seen[key] {
			problems = append(problems, Problem{Kind: key.kind, Name: key.name, Field: "name", Message: "is defined twice"})
			continue
		}
		seen[key] = true
		decoded, found := decode(r)
		problems = append(problems, found...)
		if len(found) == 0 {
			docs.add(r, decoded)
		}
	}
	return docs, problems
}

// add appends a decoded document to the list of its kind.
func (d *documents) add(r *apiv1.Resource, decoded spec) {
	switch s := decoded.(type) {
	case *OrganisationSpec:
		d.organisations = append(d.organisations, document[*OrganisationSpec]{r.GetName(), r.GetLabels(), s})
	case *RateSpec:
		d.rates = append(d.rates, document[*RateSpec]{r.GetName(), r.GetLabels(), s})
	case *ClassSpec:
		d.classes = append(d.classes, document[*ClassSpec]{r.GetName(), r.GetLabels(), s})
	case *RouteSpec:
		d.routes = append(d.routes, document[*RouteSpec]{r.GetName(), r.GetLabels(), s})
	case *TargetSpec:
		d.targets = append(d.targets, document[*TargetSpec]{r.GetName(), r.GetLabels(), s})
	case *CallersSpec:
		d.callers = append(d.callers, document[*CallersSpec]{r.GetName(), r.GetLabels(), s})
	case *DataCentreSpec:
		d.dataCentres = append(d.dataCentres, document[*DataCentreSpec]{r.GetName(), r.GetLabels(), s})
	}
}

// filter returns the elements that satisfy the condition.
func filter[T any](all []T, condition func(T) bool) []T {
	var found []T
	for _, element := range all {
		if condition(element) {
			found = append(found, element)
		}
	}
	return found
}

// check reports problems that concern several documents, and fills in rateOf and classOf.
func (d *documents) check() Problems {
	var problems Problems
	problems = append(problems, d.checkRates()...)
	problems = append(problems, d.checkKeys()...)
	problems = append(problems, d.checkCallers()...)
	problems = append(problems, d.checkClasses()...)
	problems = append(problems, d.checkRoutes()...)
	return append(problems, d.checkTargets()...)
}

// checkRates requires exactly one Rate for each organisation, and at least one organisation for each
// Rate that is not optional.
func (d *documents) checkRates() Problems {
	var problems Problems
	used := map[string]bool{}
	for _, o := range d.organisations {
		rates := filter(d.rates, func(r document[*RateSpec]) bool { return r.spec.Selector.Matches(o.labels) })
		for _, r := range rates {
			used[r.name] = true
			d.rateOf[o.name] = r
		}
		if message := exactlyOne(KindRate, documentNames(rates)); message != "" {
			problems = append(problems, Problem{Kind: KindOrganisation, Name: o.name, Field: "labels", Message: message})
		}
	}
	for _, r := range d.rates {
		if !used[r.name] && !r.spec.Optional {
			problems = append(problems, unmatchedSelector(KindRate, r.name, "organisation"))
		}
	}
	return problems
}

// checkKeys reports API keys that belong to more than one organisation.
func (d *documents) checkKeys() Problems {
	var problems Problems
	owners := map[string]string{}
	for _, o := range d.organisations {
		for _, digest := range o.spec.KeyDigests {
			digest = strings.ToLower(digest)
			if owner, found := owners[digest]; found && owner != o.name {
				problems = append(problems, Problem{Kind: KindOrganisation, Name: o.name, Field: "spec.keyDigests",
					Message: fmt.Sprintf("Organisation %s has the same key", owner)})
			}
			owners[digest] = o.name
		}
	}
	return problems
}

// checkCallers requires at most one Callers document.
func (d *documents) checkCallers() Problems {
	if len(d.callers) < 2 {
		return nil
	}
	return Problems{{Kind: KindCallers, Name: d.callers[1].name, Field: "name", Message: "there may be only one document of this kind"}}
}

// checkClasses requires exactly one Class for each route, and at least one route for each Class
// that is not optional.
func (d *documents) checkClasses() Problems {
	var problems Problems
	used := map[string]bool{}
	for _, r := range d.routes {
		classes := filter(d.classes, func(c document[*ClassSpec]) bool { return c.spec.Selector.Matches(r.labels) })
		for _, c := range classes {
			used[c.name] = true
			d.classOf[r.name] = c
		}
		if message := exactlyOne(KindClass, documentNames(classes)); message != "" {
			problems = append(problems, Problem{Kind: KindRoute, Name: r.name, Field: "labels", Message: message})
		}
	}
	for _, c := range d.classes {
		if !used[c.name] && !c.spec.Optional {
			problems = append(problems, unmatchedSelector(KindClass, c.name, "route"))
		}
	}
	return problems
}

// exactlyOne returns an error message unless exactly one document matches.
func exactlyOne(kind string, names []string) string {
	switch len(names) {
	case 0:
		return fmt.Sprintf("no %s selects these labels; exactly one must", kind)
	case 1:
		return ""
	default:
		return fmt.Sprintf("ambiguous: %s %s all select these labels; exactly one must", kind, strings.Join(names, ", "))
	}
}

// unmatchedSelector returns the problem of a selector that matches nothing.
func unmatchedSelector(kind, name, what string) Problem {
	return Problem{Kind: kind, Name: name, Field: "spec.selector",
		Message: fmt.Sprintf("matches no %s; write optional: true if that is meant", what)}
}

// documentNames returns the sorted names of documents.
func documentNames[S any](all []document[S]) []string {
	names := make([]string, 0, len(all))
	for _, d := range all {
		names = append(names, d.name)
	}
	slices.Sort(names)
	return names
}

// routeMatchKey identifies the requests that routes match apart from the method. Routes with the
// same key must not accept the same method.
type routeMatchKey struct {
	internal     bool
	host, prefix string
	service      string
}

// matchKey returns the key of a route. A route for callers conflicts with those of all services,
// an internal route only with those of the same service.
func (s *RouteSpec) matchKey() routeMatchKey {
	key := routeMatchKey{internal: s.Internal, host: s.Host, prefix: strings.TrimSuffix(s.prefix(), "/")}
	if s.Internal {
		key.service = s.Service
	}
	return key
}

// prefix returns the path prefix, or / if it is omitted.
func (s *RouteSpec) prefix() string {
	if s.PathPrefix == "" {
		return "/"
	}
	return s.PathPrefix
}

// checkRoutes reports routes that accept the same requests.
func (d *documents) checkRoutes() Problems {
	var problems Problems
	byKey := map[routeMatchKey][]document[*RouteSpec]{}
	for _, r := range d.routes {
		key := r.spec.matchKey()
		for _, other := range byKey[key] {
			if method, overlap := sharedMethod(r.spec.Methods, other.spec.Methods); overlap {
				problems = append(problems, Problem{Kind: KindRoute, Name: r.name, Field: "spec.pathPrefix",
					Message: fmt.Sprintf("ambiguous: Route %s accepts the same requests (%s %s%s)", other.name, method, r.spec.Host, r.spec.prefix())})
			}
		}
		byKey[key] = append(byKey[key], r)
	}
	return problems
}

// sharedMethod returns a method that both lists accept. An empty list accepts all.
func sharedMethod(a, b []string) (string, bool) {
	for _, method := range methods {
		acceptsBoth := (&Route{Methods: a}).accepts(method) && (&Route{Methods: b}).accepts(method)
		if acceptsBoth {
			return method, true
		}
	}
	return "", false
}

// checkTargets reports Target documents for services without a route, and documents that
// choose targets by the same service, name and selector.
func (d *documents) checkTargets() Problems {
	services := map[string]bool{AnyService: true}
	for _, r := range d.routes {
		for _, service := range r.spec.services() {
			services[service] = true
		}
	}
	type choice struct{ service, target, selector string }
	seen := map[choice]string{}
	var problems Problems
	for _, t := range d.targets {
		if !services[t.spec.Service] {
			problems = append(problems, Problem{Kind: KindTarget, Name: t.name, Field: "spec.service",
				Message: fmt.Sprintf("no Route leads to service %q", t.spec.Service)})
		}
		c := choice{t.spec.Service, t.spec.Target, t.spec.Selector.text}
		if other, found := seen[c]; found && !t.spec.onlyDrains() {
			problems = append(problems, Problem{Kind: KindTarget, Name: t.name, Field: "spec.selector",
				Message: fmt.Sprintf("ambiguous: Target %s chooses the same targets", other)})
		}
		if !t.spec.onlyDrains() {
			seen[c] = t.name
		}
	}
	return problems
}

// onlyDrains reports whether the document sets nothing but a drain, which can't
// contradict another document.
func (s *TargetSpec) onlyDrains() bool {
	return len(s.Labels) == 0 && s.Slots == nil && s.ColdStart == nil && s.ColdPerSecond == nil && s.HealthPath == "" && s.MaxConnections == nil
}
