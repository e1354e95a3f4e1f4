package configcheck

import (
	"fmt"
	"slices"
	"time"

	"k8s.io/apimachinery/pkg/labels"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/config"
)

// Input is a whole configuration with what is known of the fleet for which it is meant.
type Input struct {
	Resources []*apiv1.Resource
	// Services are those that the source of the documents lists by itself; nil if it has no such list.
	Services []string
	// KeysKnown is true if IssuedKeys holds all organisations that have valid keys apart from the documents.
	KeysKnown  bool
	IssuedKeys map[string]bool
	// TargetsKnown is true if Targets holds all targets of the fleet.
	TargetsKnown bool
	Targets      []Target
	// Load holds what the operator states of services, by their names.
	Load map[string]ServiceLoad
	// Budget is the limit on repeats; nil for the default one, which any allowed number of attempts fits.
	Budget *Budget
}

// Target is a target that a node has announced.
type Target struct {
	Service, Name string
	// Labels are those of config.WithReservedLabels.
	Labels labels.Set
	// Slots is the number of concurrent requests that the target announced; 0 if it announced none.
	Slots int
}

// ServiceLoad is what an operator states of a service.
type ServiceLoad struct {
	// Targets is the number of targets; 0 if it is not stated.
	Targets int
	// Work is the time that a target usually needs for a request; 0 if it is not stated.
	Work time.Duration
}

// Budget limits the repeats of requests of all nodes together.
type Budget struct {
	// Ratio is the number of repeats for each request, and Reserve the number in each Window that is allowed beyond.
	Ratio   float64
	Reserve float64
	Window  time.Duration
}

// entry is a decoded document.
type entry[S any] struct {
	name string
	spec S
}

// checker holds a compiled configuration and collects findings.
type checker struct {
	Input
	snapshot      *config.Snapshot
	routes        map[string]*config.RouteSpec
	organisations []entry[*config.OrganisationSpec]
	rates         []entry[*config.RateSpec]
	classes       []entry[*config.ClassSpec]
	targets       []entry[*config.TargetSpec]
	// unreached holds the routes that no request reaches.
	unreached map[string]bool
	findings  []Finding
}

// Check returns the findings of a whole configuration, errors first. A configuration with errors can't be compiled, so that
// there are no warnings then.
func Check(in Input) []Finding {
	if problems := config.Check(in.Resources); len(problems) > 0 {
		return Sort(Errors(CodeConflict, problems))
	}
	c := &checker{Input: in, routes: map[string]*config.RouteSpec{}, unreached: map[string]bool{}}
	if err := c.compile(); err != nil {
		return []Finding{{Code: CodeInvalid, Severity: SeverityError, Message: err.Error()}}
	}
	for _, check := range []func(){c.checkRoutes, c.checkClasses, c.checkSelectors, c.checkOrganisations, c.checkServices, c.checkPolicies, c.checkLimits, c.checkAttempts, c.checkRates} {
		check()
	}
	return Sort(c.findings)
}

// compile decodes the documents, sorted by name, and builds their snapshot.
func (c *checker) compile() error {
	var err error
	if c.snapshot, err = config.Compile(0, c.Resources); err != nil {
		return err
	}
	for _, r := range sorted(c.Resources) {
		decoded, err := config.DecodeSpec(r)
		if err != nil {
			return err
		}
		switch spec := decoded.(type) {
		case *config.OrganisationSpec:
			c.organisations = append(c.organisations, entry[*config.OrganisationSpec]{r.GetName(), spec})
		case *config.RateSpec:
			c.rates = append(c.rates, entry[*config.RateSpec]{r.GetName(), spec})
		case *config.ClassSpec:
			c.classes = append(c.classes, entry[*config.ClassSpec]{r.GetName(), spec})
		case *config.RouteSpec:
			c.routes[r.GetName()] = spec
		case *config.TargetSpec:
			c.targets = append(c.targets, entry[*config.TargetSpec]{r.GetName(), spec})
		}
	}
	return nil
}

// warn adds a warning.
func (c *checker) warn(code Code, kind, name, field, format string, args ...any) {
	c.findings = append(c.findings, Finding{Code: code, Severity: SeverityWarning, Kind: kind, Name: name, Field: field, Message: fmt.Sprintf(format, args...)})
}

// shares returns the services that get requests of a route, which are those with a weight above 0.
func shares(r *config.Route) []string {
	if len(r.Split) == 0 {
		return []string{r.Service}
	}
	var services []string
	for _, share := range r.Split {
		if share.Weight > 0 && !slices.Contains(services, share.Service) {
			services = append(services, share.Service)
		}
	}
	return services
}

// serviceField is the field of a route that names its services.
func serviceField(r *config.Route) string {
	if len(r.Split) > 0 {
		return "spec.split"
	}
	return "spec.service"
}
