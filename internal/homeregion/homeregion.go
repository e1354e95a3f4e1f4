// Package homeregion decides which targets may serve requests that must not leave their home regions.
//
// A route and an organisation may each name regions. A request is sent only to targets in data centres of regions that
// both of them allow. A data centre whose region is not known is in none. The package uses no network and needs no time.
package homeregion

import (
	"slices"
	"strings"
)

// Regions are the regions in which a request may be served. The zero value allows all; Combine tells it from a list
// that allows none.
type Regions struct {
	restricted bool
	names      []string
}

// Combine returns the regions that two lists both allow. An empty list allows all regions.
func Combine(route, organisation []string) Regions {
	switch {
	case len(route) == 0 && len(organisation) == 0:
		return Regions{}
	case len(route) == 0:
		return Regions{restricted: true, names: organisation}
	case len(organisation) == 0:
		return Regions{restricted: true, names: route}
	}
	both := Regions{restricted: true}
	for _, name := range route {
		if slices.Contains(organisation, name) {
			both.names = append(both.names, name)
		}
	}
	return both
}

// Restricted reports whether not all regions are allowed.
func (r Regions) Restricted() bool { return r.restricted }

// String returns the names of the regions, separated by commas.
func (r Regions) String() string { return strings.Join(r.names, ",") }

// Map holds the region of each data centre.
type Map map[string]string

// With returns the map with the region of one more data centre, unless the map has it.
func (m Map) With(dataCentre, region string) Map {
	if _, known := m[dataCentre]; known {
		return m
	}
	larger := Map{dataCentre: region}
	for name, of := range m {
		larger[name] = of
	}
	return larger
}

// Allows reports whether requests with these home regions may be sent to a data centre.
func (m Map) Allows(r Regions, dataCentre string) bool {
	if !r.restricted {
		return true
	}
	region, known := m[dataCentre]
	return known && slices.Contains(r.names, region)
}
