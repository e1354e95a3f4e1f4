package config

import (
	"net"
	"net/http"
	"slices"
	"strings"

	"github.com/guavaford/guavaford/internal/outcome"
)

// routeTable maps path prefixes without their trailing slash to routes; the key of prefix / is "".
type routeTable map[string][]*Route

// tableFor returns the table of a key, which it creates when it is missing.
func tableFor(tables map[string]routeTable, key string) routeTable {
	table, found := tables[key]
	if !found {
		table = routeTable{}
		tables[key] = table
	}
	return table
}

func (t routeTable) add(r *Route) {
	key := strings.TrimSuffix(r.PathPrefix, "/")
	t[key] = append(t[key], r)
}

// sort orders the routes of each prefix: internal routes first, then routes for any host, then by name.
func (t routeTable) sort() {
	for _, routes := range t {
		slices.SortFunc(routes, func(a, b *Route) int {
			if a.Internal != b.Internal {
				return boolOrder(a.Internal)
			}
			if (a.Host == "") != (b.Host == "") {
				return boolOrder(a.Host == "")
			}
			return strings.Compare(a.Name, b.Name)
		})
	}
}

// boolOrder compares two elements of which exactly one has a property. The one that has it sorts
// first: the result is -1 if that is the first element.
func boolOrder(first bool) int {
	if first {
		return -1
	}
	return 1
}

// longestPrefix returns the routes of the longest prefix that matches whole segments of the path, or nil.
func (t routeTable) longestPrefix(path string) []*Route {
	key := strings.TrimSuffix(path, "/")
	for {
		if routes, found := t[key]; found {
			return routes
		}
		cut := strings.LastIndexByte(key, '/')
		if cut < 0 {
			return nil
		}
		key = key[:cut]
	}
}

// Match finds the route of a caller's request. Path is the decoded path; host may
// include a port. A route for the request's host takes precedence over one for any host, then
// the longest path prefix decides, then the method. The code is empty when a
// route was found, else RouteUnknown, MethodNotAllowed, or BadRequest for a path
// that a target might resolve differently (one with // . .. or \).
func (s *Snapshot) Match(method, host, path string) (*Route, outcome.Code) {
	if !strings.HasPrefix(path, "/") || !cleanPath(path) {
		return nil, outcome.BadRequest
	}
	routes := s.callerRoutes[hostName(host)].longestPrefix(path)
	if routes == nil {
		routes = s.callerRoutes[""].longestPrefix(path)
	}
	return byMethod(routes, method)
}

// MatchLiteral finds the route of a request by the path as it was sent, neither decoded nor
// normalised. A route for the request's host takes precedence over one for any host, then the
// longest path prefix that has a route for the method. It returns nil when no route matches.
func (s *Snapshot) MatchLiteral(method, host, path string) *Route {
	for _, name := range []string{hostName(host), ""} {
		if r := s.callerRoutes[name].longestLiteralPrefix(method, path); r != nil {
			return r
		}
	}
	return nil
}

// longestLiteralPrefix returns the route of the longest prefix of the path that accepts the method, or nil.
func (t routeTable) longestLiteralPrefix(method, path string) *Route {
	for end := len(path); ; {
		for _, r := range t[path[:end]] {
			if (end < len(path) || !r.RequireSlash) && r.accepts(method) {
				return r
			}
		}
		end = strings.LastIndexByte(path[:end], '/')
		if end < 0 {
			return nil
		}
	}
}

// ServiceRoute finds the route of a sub-call: a request from a target, which names the service
// instead of a host. Internal routes take precedence over the others.
func (s *Snapshot) ServiceRoute(service, method, path string) (*Route, outcome.Code) {
	if !strings.HasPrefix(path, "/") || !cleanPath(path) {
		return nil, outcome.BadRequest
	}
	return byMethod(s.serviceRoutes[service].longestPrefix(path), method)
}

// byMethod returns the first route that accepts the method.
func byMethod(routes []*Route, method string) (*Route, outcome.Code) {
	if len(routes) == 0 {
		return nil, outcome.RouteUnknown
	}
	for _, r := range routes {
		if r.accepts(method) {
			return r, ""
		}
	}
	return nil, outcome.MethodNotAllowed
}

// accepts reports whether the route accepts the method. GET includes HEAD.
func (r *Route) accepts(method string) bool {
	if len(r.Methods) == 0 || slices.Contains(r.Methods, method) {
		return true
	}
	return method == http.MethodHead && slices.Contains(r.Methods, http.MethodGet)
}

// hostName returns the host of a request in lower case, without port, brackets and trailing dot.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	host = strings.TrimSuffix(strings.TrimPrefix(host, "["), "]")
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// cleanPath reports whether a path has no empty, "." or ".." segment and no backslash.
// A target might resolve these to another path than the one that was matched.
func cleanPath(path string) bool {
	if strings.IndexByte(path, '\\') >= 0 || strings.Contains(path, "//") {
		return false
	}
	for from := 0; from < len(path); {
		start := strings.Index(path[from:], "/.")
		if start < 0 {
			return true
		}
		segment := path[from+start+1:]
		if end := strings.IndexByte(segment, '/'); end >= 0 {
			segment = segment[:end]
		}
		if segment == "." || segment == ".." {
			return false
		}
		from += start + 1 + len(segment)
	}
	return true
}
