package config

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"k8s.io/apimachinery/pkg/labels"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/homeregion"
)

// Labels that every node adds to the labels that its targets announce, so that
// selectors can choose targets by node, data centre or name.
const (
	// ReservedLabelPrefix starts the label keys that only nodes may set.
	ReservedLabelPrefix = "guavaford/"
	// LabelNode holds the name of the node on the target's host.
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
	// CallerLimits holds the limits on the connections of callers.
	CallerLimits CallerLimits

	// organisationByKeyDigest holds the organisations of keys that are part of the configuration.
	organisationByKeyDigest map[string]*Organisation

	// callerRoutes holds the routes that callers can reach, by host and then by path prefix.
	callerRoutes map[string]routeTable
	// serviceRoutes holds all routes by service and then by path prefix.
	serviceRoutes map[string]routeTable
	// targetDocuments holds the Target documents by service, each in the order in which they apply.
	targetDocuments map[string][]*targetDocument
	// drainedDataCentres holds the data centres that operators drain.
	drainedDataCentres map[string]bool
}

// Organisation is a tenant with the rate limit from its Rate document.
type Organisation struct {
	Name   string
	Labels labels.Set
	// Weight is the fair-queueing weight.
	Weight float64
	// Rate is the number of requests per second, summed over all hosts.
	Rate float64
	// Burst is the number of requests that may arrive at once.
	Burst float64
	// Unlimited is true when requests are not rate-limited; Rate and Burst are 0 then.
	Unlimited bool
	// Priority is 0 for the most important organisation; it is compared before that of the class.
	Priority int
	// Regions are the home regions of its requests; empty allows all.
	Regions []string
}

// CallerLimits holds the limits on the connections of callers.
type CallerLimits struct {
	MaxHeader     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Class is a priority class of routes.
type Class struct {
	Name string
	// Priority is 0 for the most important class and at most MaxPriority.
	Priority int
}

// Route says which requests it matches and how they are handled.
type Route struct {
	Name   string
	Labels labels.Set
	// Open is true when requests need no API key.
	Open bool
	// Internal is true when only sub-calls, which targets send, can reach the route.
	Internal   bool
	Methods    []string
	Host       string
	PathPrefix string
	Service    string
	// Selector restricts the route to targets whose TargetPolicy.Labels match.
	Selector labels.Selector
	Class    *Class
	// Timeout is the time limit of a request.
	Timeout time.Duration
	// ExtraAttempts is the number of retries that a request and all its sub-calls may use together.
	ExtraAttempts int
	// MaxBody is the largest request body in bytes.
	MaxBody int64
	// MaxTargets is the largest number of targets to which one request may be sent; with 0 only
	// ExtraAttempts limits it.
	MaxTargets int
	// Goal is the latency objective: the time within which callers want their answer.
	Goal time.Duration
	// Split lists the services that share the requests by weight; empty when all go to Service.
	Split []Share
	// RequireSlash is true when the slash at the end of the prefix must be in the path.
	RequireSlash bool
	// Regions are the home regions of its requests; empty allows all.
	Regions []string

	idempotent *bool
}

// Idempotent reports whether a request with the method may run twice on this route.
// RFC 9110 decides which methods are idempotent unless the route overrides it.
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

// HomeRegions returns the regions in which the route and the organisation, which may be nil, let a request be served.
func (r *Route) HomeRegions(o *Organisation) homeregion.Regions {
	if o == nil {
		return homeregion.Combine(r.Regions, nil)
	}
	return homeregion.Combine(r.Regions, o.Regions)
}

// Services lists the services to which requests of the route may go.
func (r *Route) Services() []string {
	if len(r.Split) == 0 {
		return []string{r.Service}
	}
	names := make([]string, 0, len(r.Split))
	for _, share := range r.Split {
		names = append(names, share.Service)
	}
	return names
}

// Compile builds the snapshot of a configuration. When the configuration is not valid, it
// returns an error that lists every problem that Check finds.
func Compile(revision uint64, resources []*apiv1.Resource) (*Snapshot, error) {
	return new(Compiler).Compile(revision, resources)
}

// newSnapshot builds the snapshot of documents in which check found no problems.
func newSnapshot(revision uint64, docs *documents) *Snapshot {
	s := &Snapshot{
		Revision:                revision,
		Organisations:           make(map[string]*Organisation, len(docs.organisations)),
		Classes:                 make(map[string]*Class, len(docs.classes)),
		callerRoutes:            map[string]routeTable{},
		serviceRoutes:           map[string]routeTable{},
		targetDocuments:         map[string][]*targetDocument{},
		drainedDataCentres:      map[string]bool{},
		organisationByKeyDigest: map[string]*Organisation{},
		CallerLimits:            docs.callerLimits(),
	}
	for _, o := range docs.organisations {
		organisation := docs.resolveOrganisation(o)
		s.Organisations[o.name] = organisation
		for _, digest := range o.spec.KeyDigests {
			s.organisationByKeyDigest[strings.ToLower(digest)] = organisation
		}
	}
	for _, c := range docs.classes {
		s.Classes[c.name] = &Class{Name: c.name, Priority: *c.spec.Priority}
	}
	for _, r := range docs.routes {
		class := s.Classes[docs.classOf[r.name].name]
		s.addRoute(newRoute(r, class))
	}
	for _, t := range docs.targets {
		s.targetDocuments[t.spec.Service] = append(s.targetDocuments[t.spec.Service], newTargetDocument(t))
	}
	for _, d := range docs.dataCentres {
		if d.spec.Drain {
			s.drainedDataCentres[d.name] = true
		}
	}
	s.sort()
	return s
}

// resolveOrganisation combines an organisation with its rate limit. The documents must have no problems.
func (d *documents) resolveOrganisation(o document[*OrganisationSpec]) *Organisation {
	rate := d.rateOf[o.name].spec
	weight := DefaultWeight
	if o.spec.Weight != nil {
		weight = *o.spec.Weight
	}
	organisation := &Organisation{
		Name:      o.name,
		Labels:    o.labels,
		Weight:    weight,
		Rate:      rate.PerSecond,
		Burst:     rate.Burst,
		Unlimited: rate.Unlimited,
		Regions:   o.spec.Regions,
	}
	if o.spec.Priority != nil {
		organisation.Priority = *o.spec.Priority
	}
	return organisation
}

// callerLimits returns the limits on the connections of callers, with defaults for omitted fields.
func (d *documents) callerLimits() CallerLimits {
	limits := CallerLimits{MaxHeader: DefaultMaxHeader, HeaderTimeout: DefaultHeaderTimeout, IdleTimeout: DefaultIdleTimeout}
	for _, c := range d.callers {
		if c.spec.MaxHeader != nil {
			limits.MaxHeader = int(*c.spec.MaxHeader)
		}
		if c.spec.HeaderTimeout != nil {
			limits.HeaderTimeout = time.Duration(*c.spec.HeaderTimeout)
		}
		if c.spec.IdleTimeout != nil {
			limits.IdleTimeout = time.Duration(*c.spec.IdleTimeout)
		}
	}
	return limits
}

// OrganisationOfKey returns the organisation that owns the key, or nil if the key is not one of
// those in the configuration.
func (s *Snapshot) OrganisationOfKey(key string) *Organisation {
	sum := sha256.Sum256([]byte(key))
	return s.organisationByKeyDigest[hex.EncodeToString(sum[:])]
}

// newRoute builds a route from its spec, with defaults for omitted fields.
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
		Split:         r.spec.Split,
		RequireSlash:  r.spec.RequireSlash,
		Regions:       r.spec.Regions,
		idempotent:    r.spec.Idempotent,
	}
	if r.spec.MaxTargets != nil {
		route.MaxTargets = *r.spec.MaxTargets
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
	route.Goal = route.Timeout
	if r.spec.Goal != nil {
		route.Goal = time.Duration(*r.spec.Goal)
	}
	return route
}

// addRoute adds a route to the lookup tables.
func (s *Snapshot) addRoute(r *Route) {
	s.Routes = append(s.Routes, r)
	for _, service := range r.Services() {
		tableFor(s.serviceRoutes, service).add(r)
	}
	if !r.Internal {
		tableFor(s.callerRoutes, r.Host).add(r)
	}
}

// sort puts routes and Target documents into the order in which they are listed, tried and applied.
func (s *Snapshot) sort() {
	slices.SortFunc(s.Routes, func(a, b *Route) int { return strings.Compare(a.Name, b.Name) })
	for _, table := range s.serviceRoutes {
		table.sort()
	}
	for _, targets := range s.targetDocuments {
		slices.SortFunc(targets, compareTargetDocuments)
	}
}
