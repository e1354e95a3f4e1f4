package config

import (
	"slices"
	"strings"
	"time"

	"k8s.io/apimachinery/pkg/labels"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// Labels that every node adds to the announced labels of its targets, so that
// selectors can choose targets by place.
const (
	// ReservedLabelPrefix is the prefix that only nodes may use.
	ReservedLabelPrefix = "guavaford/"
	// LabelNode holds the name of the node beside the target.
	LabelNode = ReservedLabelPrefix + "node"
	// LabelDataCentre holds the data centre of that node.
	LabelDataCentre = ReservedLabelPrefix + "data-centre"
	// LabelTarget holds the name of the target.
	LabelTarget = ReservedLabelPrefix + "target"
)

// Snapshot is the whole configuration at one revision. It is immutable.
type Snapshot struct {
	Revision      uint64
	Organisations map[string]*Organisation
	Classes       map[string]*Class
	// Routes is ordered by name.
	Routes []*Route

	// callers holds the routes that callers reach, by host and then by path prefix.
	callers map[string]routeTable
	// services holds all routes by service and then by path prefix.
	services map[string]routeTable
	// targets holds the target policies by service, each in the order of application.
	targets map[string][]*targetDocument
}

// Organisation is a tenant with the rate that its Rate document gives it.
type Organisation struct {
	Name   string
	Labels labels.Set
	// Weight is the fair share in queues.
	Weight float64
	// Rate is the number of requests a second over all hosts together.
	Rate float64
	// Burst is the number of requests that may come at once.
	Burst float64
}

// Class is a priority class.
type Class struct {
	Name string
	// Priority is 0 for the most important class and at most MaxPriority.
	Priority int
}

// Route says how requests of one kind are handled.
type Route struct {
	Name   string
	Labels labels.Set
	// Open is true when requests need no key.
	Open bool
	// Internal is true when only sub-calls of targets reach the route.
	Internal   bool
	Methods    []string
	Host       string
	PathPrefix string
	Service    string
	// Selector chooses among the service's targets by TargetPolicy.Labels.
	Selector labels.Selector
	Class    *Class
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// ExtraAttempts is the retry allowance of a request and everything below it.
	ExtraAttempts int
	// MaxBody is the longest body of a request in bytes.
	MaxBody int64

	idempotent *bool
}

// Idempotent returns true when a request of the method may run twice on this route.
// Methods count as RFC 9110 says unless the route overrides it.
func (r *Route) Idempotent(method string) bool {
	if r.idempotent != nil {
		return *r.idempotent
	}
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE":
		return true
	default:
		return false
	}
}

// Compile builds the snapshot of a configuration. It returns an error that lists
// every problem of Check when the configuration is not valid.
func Compile(revision uint64, resources []*apiv1.Resource) (*Snapshot, error) {
	return new(Compiler).Compile(revision, resources)
}

// newSnapshot builds the snapshot of documents that check found to be free of problems.
func newSnapshot(revision uint64, all *documents) *Snapshot {
	s := &Snapshot{
		Revision:      revision,
		Organisations: make(map[string]*Organisation, len(all.organisations)),
		Classes:       make(map[string]*Class, len(all.classes)),
		callers:       map[string]routeTable{},
		services:      map[string]routeTable{},
		targets:       map[string][]*targetDocument{},
	}
	for _, o := range all.organisations {
		s.Organisations[o.name] = all.organisation(o)
	}
	for _, c := range all.classes {
		s.Classes[c.name] = &Class{Name: c.name, Priority: *c.spec.Priority}
	}
	for _, r := range all.routes {
		class := s.Classes[all.classOf[r.name].name]
		s.addRoute(newRoute(r, class))
	}
	for _, t := range all.targets {
		s.targets[t.spec.Service] = append(s.targets[t.spec.Service], newTargetDocument(t))
	}
	s.sort()
	return s
}

// organisation resolves the rate of an organisation. The set must be free of problems.
func (d *documents) organisation(o document[*OrganisationSpec]) *Organisation {
	rate := d.rateOf[o.name].spec
	weight := DefaultWeight
	if o.spec.Weight != nil {
		weight = *o.spec.Weight
	}
	return &Organisation{Name: o.name, Labels: o.labels, Weight: weight, Rate: rate.PerSecond, Burst: rate.Burst}
}

// newRoute fills in the defaults of a route.
func newRoute(r document[*RouteSpec], class *Class) *Route {
	route := &Route{
		Name:          r.name,
		Labels:        r.labels,
		Open:          r.spec.Open,
		Internal:      r.spec.Internal,
		Methods:       r.spec.Methods,
		Host:          r.spec.Host,
		PathPrefix:    r.spec.prefix(),
		Service:       r.spec.Service,
		Selector:      r.spec.Targets.Labels(),
		Class:         class,
		Timeout:       DefaultTimeout,
		ExtraAttempts: DefaultExtraAttempts,
		MaxBody:       DefaultMaxBody,
		idempotent:    r.spec.Idempotent,
	}
	if r.spec.Timeout != nil {
		route.Timeout = time.Duration(*r.spec.Timeout)
	}
	if r.spec.ExtraAttempts != nil {
		route.ExtraAttempts = *r.spec.ExtraAttempts
	}
	if r.spec.MaxBody != nil {
		route.MaxBody = int64(*r.spec.MaxBody)
	}
	return route
}

// addRoute enters a route into the tables that lead to it.
func (s *Snapshot) addRoute(r *Route) {
	s.Routes = append(s.Routes, r)
	tableFor(s.services, r.Service).add(r)
	if !r.Internal {
		tableFor(s.callers, r.Host).add(r)
	}
}

// sort puts routes and target policies into their fixed order.
func (s *Snapshot) sort() {
	slices.SortFunc(s.Routes, func(a, b *Route) int { return strings.Compare(a.Name, b.Name) })
	for _, table := range s.services {
		table.sort()
	}
	for _, policies := range s.targets {
		slices.SortFunc(policies, compareTargetDocuments)
	}
}
