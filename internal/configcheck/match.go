package configcheck

import (
	"net/http"
	"slices"
	"strings"

	"github.com/guavaford/guavaford/internal/config"
)

// unnamedHost is a host of requests that no configuration names.
const unnamedHost = "host.invalid"

// unnamedSegment is a path segment that no prefix has.
const unnamedSegment = "~guavaford-check~"

// anyMethods stands for the methods of a route that accepts all.
var anyMethods = []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions}

// checkRoutes reports routes that no request reaches. It asks the tables that nodes use, for requests that are as close
// to the route as any: with the prefix as the whole path, and with one more segment.
func (c *checker) checkRoutes() {
	for _, r := range c.snapshot.Routes {
		if r.Internal {
			c.checkInternalRoute(r)
			continue
		}
		if r.Host != strings.ToLower(r.Host) {
			c.unreached[r.Name] = true
			c.warn(CodeRouteShadowed, config.KindRoute, r.Name, "spec.host", "no request has host %s: hosts of requests are compared in lower case", r.Host)
			continue
		}
		if other, reached := c.reachedByCallers(r); !reached {
			c.unreached[r.Name] = true
			c.warn(CodeRouteShadowed, config.KindRoute, r.Name, "spec.pathPrefix", "no request of callers reaches it%s", inFavourOf(other))
		}
	}
}

// inFavourOf names the route that gets the requests of another.
func inFavourOf(other *config.Route) string {
	if other == nil {
		return ""
	}
	return ": Route " + other.Name + " gets them"
}

// witnesses returns paths that a prefix matches.
func witnesses(prefix string) []string {
	trimmed := strings.TrimSuffix(prefix, "/")
	return []string{prefix, trimmed + "/", trimmed + "/" + unnamedSegment}
}

// methodsOf returns the methods that a route accepts.
func methodsOf(r *config.Route) []string {
	if len(r.Methods) == 0 {
		return anyMethods
	}
	return r.Methods
}

// reachedByCallers reports whether a request of a caller reaches the route, and otherwise the route that gets it.
func (c *checker) reachedByCallers(r *config.Route) (other *config.Route, reached bool) {
	host := r.Host
	if host == "" {
		host = unnamedHost
	}
	for _, method := range methodsOf(r) {
		for _, path := range witnesses(r.PathPrefix) {
			found, _ := c.snapshot.Match(method, host, path)
			literal := c.snapshot.MatchLiteral(method, host, path)
			if found == r || literal == r {
				return nil, true
			}
			if found != nil {
				other = found
			}
		}
	}
	return other, false
}

// checkInternalRoute reports an internal route that sub-calls don't reach, for all or some of its services and methods.
// Sub-calls name a service and no host, so that routes which differ in their hosts alone hide each other.
func (c *checker) checkInternalRoute(r *config.Route) {
	if r.Host != "" {
		c.warn(CodeHostIgnored, config.KindRoute, r.Name, "spec.host", "sub-calls name a service and no host, so that the host has no effect")
	}
	var lost []string
	var other *config.Route
	total := 0
	for _, service := range r.Services() {
		for _, method := range methodsOf(r) {
			total++
			reached := false
			for _, path := range witnesses(r.PathPrefix) {
				found, _ := c.snapshot.ServiceRoute(service, method, path)
				if reached = found == r; reached {
					break
				}
				other = found
			}
			if !reached {
				lost = append(lost, method+" of "+service)
			}
		}
	}
	switch {
	case len(lost) == 0:
	case len(lost) == total:
		c.unreached[r.Name] = true
		c.warn(CodeRouteShadowed, config.KindRoute, r.Name, "spec.pathPrefix", "no sub-call reaches it%s", inFavourOf(other))
	default:
		c.warn(CodeRoutePartlyShadowed, config.KindRoute, r.Name, "spec.pathPrefix", "no sub-call reaches it by %s%s", strings.Join(lost, ", "), inFavourOf(other))
	}
}

// checkClasses reports classes all of whose routes are unreached. One that selects no route is an error, or says itself that
// this is meant.
func (c *checker) checkClasses() {
	routes, unreached := map[string]int{}, map[string]int{}
	for _, r := range c.snapshot.Routes {
		routes[r.Class.Name]++
		if c.unreached[r.Name] {
			unreached[r.Class.Name]++
		}
	}
	for _, class := range c.classes {
		if n := routes[class.name]; n > 0 && unreached[class.name] == n {
			c.warn(CodeClassUnused, config.KindClass, class.name, "spec.selector", "no request belongs to it: none reaches the routes that it selects")
		}
	}
}

// checkSelectors reports selectors that no labels can match.
func (c *checker) checkSelectors() {
	report := func(kind, name, field string, s config.Selector) {
		if key, impossible := contradiction(s.Labels()); impossible {
			c.warn(CodeSelectorContradiction, kind, name, field, "no labels match %q: its conditions on %s exclude each other", s, key)
		}
	}
	for _, r := range c.rates {
		report(config.KindRate, r.name, "spec.selector", r.spec.Selector)
	}
	for _, class := range c.classes {
		report(config.KindClass, class.name, "spec.selector", class.spec.Selector)
	}
	for _, r := range c.snapshot.Routes {
		report(config.KindRoute, r.Name, "spec.targets", c.routes[r.Name].Targets)
	}
	for _, t := range c.targets {
		report(config.KindTarget, t.name, "spec.selector", t.spec.Selector)
	}
}

// checkOrganisations reports organisations to which no request can belong, and those and routes whose regions exclude all
// of each other's requests.
func (c *checker) checkOrganisations() {
	var keyed []*config.Route
	for _, r := range c.snapshot.Routes {
		if !r.Open && !r.Internal {
			keyed = append(keyed, r)
		}
	}
	served := map[*config.Route]bool{}
	for _, o := range c.organisations {
		if c.KeysKnown && len(o.spec.KeyDigests) == 0 && !c.IssuedKeys[o.name] {
			c.warn(CodeOrganisationWithoutKey, config.KindOrganisation, o.name, keyField, "it has no valid key, so that no request belongs to it")
		}
		admitted := false
		for _, r := range keyed {
			if compatible(r.Regions, o.spec.Regions) {
				served[r], admitted = true, true
			}
		}
		if !admitted {
			c.warn(CodeOrganisationWithoutRoute, config.KindOrganisation, o.name, organisationField(keyed), "no route for callers with a key serves its requests")
		}
	}
	for _, r := range keyed {
		if len(c.organisations) > 0 && !served[r] {
			c.warn(CodeRouteWithoutOrganisation, config.KindRoute, r.Name, "spec.regions", "no organisation has a home region in common with it")
		}
	}
}

// organisationField is the field to blame for an organisation that no route serves.
func organisationField(keyed []*config.Route) string {
	if len(keyed) == 0 {
		return ""
	}
	return "spec.regions"
}

// compatible reports whether two lists of home regions allow a region together; an empty list allows all.
func compatible(a, b []string) bool {
	return len(a) == 0 || len(b) == 0 || slices.ContainsFunc(a, func(name string) bool { return slices.Contains(b, name) })
}
