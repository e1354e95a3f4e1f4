package config

import (
	"crypto/sha256"
	"encoding/hex"
	"math"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"k8s.io/apimachinery/pkg/util/validation"
)

// Document kinds.
const (
	KindOrganisation = "Organisation"
	KindRate         = "Rate"
	KindClass        = "Class"
	KindRoute        = "Route"
	KindTarget       = "Target"
	KindCallers      = "Callers"
	KindDataCentre   = "DataCentre"
)

// Limits on the values of spec fields.
const (
	// MaxPriority is the largest priority value, which is the least important one.
	MaxPriority = 15
	// MaxExtraAttempts bounds the retries of one request.
	MaxExtraAttempts = 10
	// MaxTimeout bounds the timeout of a route and other durations in documents.
	MaxTimeout = 10 * time.Minute
	// MaxBody bounds the body size limit of a route, in bytes.
	MaxBody = 1 << 30
	// MaxWeight bounds the fair-share weight of an organisation.
	MaxWeight = 1000
	// MinColdPerSecond is the lowest rate of a cold target: with less it would hardly get a request while it is cold.
	MinColdPerSecond = 0.5
	// MaxPerSecond bounds the rate and the burst of an organisation in requests, and the weights of a split.
	MaxPerSecond = 10_000_000
	// MinHeader and MaxHeader bound the size limit on request headers, in bytes.
	MinHeader = 1 << 10
	MaxHeader = 1 << 20
	// MaxSlots bounds the concurrent requests and the connections of a target.
	MaxSlots = 1_000_000
)

// Defaults of omitted fields.
const (
	DefaultWeight        = 1.0
	DefaultTimeout       = 10 * time.Second
	DefaultExtraAttempts = 3
	DefaultMaxBody       = 10 << 20
	DefaultMaxHeader     = 64 << 10
	DefaultHeaderTimeout = 10 * time.Second
	DefaultIdleTimeout   = 2 * time.Minute
)

// Kinds returns all document kinds in the order in which they are shown to operators.
func Kinds() []string {
	return []string{KindOrganisation, KindRate, KindClass, KindRoute, KindTarget, KindCallers, KindDataCentre}
}

// spec is the typed spec of a document.
type spec interface {
	// check validates each field by itself; the reported field paths are relative to the spec.
	check(report func(field, format string, args ...any))
}

// newSpec returns an empty spec of the kind, or nil if the kind is unknown.
func newSpec(kind string) spec {
	switch kind {
	case KindOrganisation:
		return &OrganisationSpec{}
	case KindRate:
		return &RateSpec{}
	case KindClass:
		return &ClassSpec{}
	case KindRoute:
		return &RouteSpec{}
	case KindTarget:
		return &TargetSpec{}
	case KindCallers:
		return &CallersSpec{}
	case KindDataCentre:
		return &DataCentreSpec{}
	default:
		return nil
	}
}

// OrganisationSpec describes a tenant.
type OrganisationSpec struct {
	// Weight is the fair-queueing weight of the organisation; default 1.
	Weight *float64 `json:"weight,omitempty" yaml:"weight"`
	// Priority is compared before the priority of the class: 0 is the most important organisation.
	Priority *int `json:"priority,omitempty" yaml:"priority"`
	// KeyDigests are the SHA-256 digests, in hexadecimal, of API keys that are part of the
	// configuration. Keys that the system issues are stored separately.
	KeyDigests []string `json:"keyDigests,omitempty" yaml:"keyDigests"`
	// Regions are the home regions: requests of the organisation reach only targets there; empty allows all regions.
	Regions []string `json:"regions,omitempty" yaml:"regions"`
}

func (s *OrganisationSpec) check(report func(field, format string, args ...any)) {
	if s.Weight != nil && !(*s.Weight > 0 && *s.Weight <= MaxWeight) {
		report("weight", "%v is out of range; allowed: above 0, at most %d", *s.Weight, MaxWeight)
	}
	if s.Priority != nil && (*s.Priority < 0 || *s.Priority > MaxPriority) {
		report("priority", "%d is out of range; allowed: 0 (most important) to %d", *s.Priority, MaxPriority)
	}
	checkRegions(s.Regions, report)
	for _, digest := range s.KeyDigests {
		if raw, err := hex.DecodeString(digest); err != nil || len(raw) != sha256.Size {
			report("keyDigests", "%q is not a SHA-256 digest in hexadecimal", digest)
		}
	}
}

// RateSpec sets the rate of each organisation that the selector matches.
type RateSpec struct {
	// Selector chooses organisations by their labels.
	Selector Selector `json:"selector" yaml:"selector"`
	// PerSecond is the number of requests per second, summed over all hosts.
	PerSecond float64 `json:"perSecond" yaml:"perSecond"`
	// Burst is the number of requests that may arrive at once.
	Burst float64 `json:"burst" yaml:"burst"`
	// Optional permits a selector that matches no organisation.
	Optional bool `json:"optional,omitempty" yaml:"optional"`
	// Unlimited replaces PerSecond and Burst: requests are not rate-limited.
	Unlimited bool `json:"unlimited,omitempty" yaml:"unlimited"`
}

func (s *RateSpec) check(report func(field, format string, args ...any)) {
	if s.Unlimited {
		if s.PerSecond != 0 || s.Burst != 0 {
			report("unlimited", "can't be combined with perSecond and burst")
		}
		return
	}
	if s.PerSecond == 0 {
		report("perSecond", "is required; allowed: above 0, at most %d", MaxPerSecond)
	} else if !(s.PerSecond > 0 && s.PerSecond <= MaxPerSecond) {
		report("perSecond", "%v is out of range; allowed: above 0, at most %d", s.PerSecond, MaxPerSecond)
	}
	if s.Burst == 0 {
		report("burst", "is required; allowed: a whole number from 1 to %d", MaxPerSecond)
	} else if !(s.Burst >= 1 && s.Burst <= MaxPerSecond) || s.Burst != math.Trunc(s.Burst) {
		report("burst", "%v is out of range; allowed: a whole number from 1 to %d", s.Burst, MaxPerSecond)
	}
}

// ClassSpec sets the priority of each route that the selector matches.
type ClassSpec struct {
	// Selector chooses routes by their labels.
	Selector Selector `json:"selector" yaml:"selector"`
	// Priority is 0 for the most important class and at most MaxPriority.
	Priority *int `json:"priority" yaml:"priority"`
	// Optional permits a selector that matches no route.
	Optional bool `json:"optional,omitempty" yaml:"optional"`
}

func (s *ClassSpec) check(report func(field, format string, args ...any)) {
	if s.Priority == nil {
		report("priority", "is required; allowed: 0 (most important) to %d", MaxPriority)
		return
	}
	if *s.Priority < 0 || *s.Priority > MaxPriority {
		report("priority", "%d is out of range; allowed: 0 (most important) to %d", *s.Priority, MaxPriority)
	}
}

// RouteSpec says which requests go to which service.
type RouteSpec struct {
	// Service names the service whose targets handle the requests.
	Service string `json:"service" yaml:"service"`
	// Host is the host name or IP number of the request; empty matches every host.
	Host string `json:"host,omitempty" yaml:"host"`
	// PathPrefix is matched against whole path segments; default /.
	PathPrefix string `json:"pathPrefix,omitempty" yaml:"pathPrefix"`
	// Methods lists the accepted methods; empty accepts every method. GET includes HEAD.
	Methods []string `json:"methods,omitempty" yaml:"methods"`
	// Open accepts requests without an API key.
	Open bool `json:"open,omitempty" yaml:"open"`
	// Internal restricts the route to sub-calls, the requests that targets send to other services.
	Internal bool `json:"internal,omitempty" yaml:"internal"`
	// Targets restricts the route to the targets of the service whose labels match.
	Targets Selector `json:"targets,omitzero" yaml:"targets"`
	// Timeout is the time limit of a request.
	Timeout *Duration `json:"timeout,omitempty" yaml:"timeout"`
	// ExtraAttempts is the number of retries that a request and all its sub-calls may use together.
	ExtraAttempts *int `json:"extraAttempts,omitempty" yaml:"extraAttempts"`
	// MaxBody is the largest request body.
	MaxBody *Size `json:"maxBody,omitempty" yaml:"maxBody"`
	// Idempotent overrides whether the method counts as idempotent, so that a request may run twice.
	Idempotent *bool `json:"idempotent,omitempty" yaml:"idempotent"`
	// RequireSlash makes a prefix that ends with a slash match only paths that have this slash: /a/ does not match /a.
	RequireSlash bool `json:"requireSlash,omitempty" yaml:"requireSlash"`
	// MaxTargets is the largest number of targets to which one request may be sent.
	MaxTargets *int `json:"maxTargets,omitempty" yaml:"maxTargets"`
	// Goal is the latency objective: the time within which callers want their answer.
	Goal *Duration `json:"goal,omitempty" yaml:"goal"`
	// Split replaces Service: requests are spread over several services by weight.
	Split []Share `json:"split,omitempty" yaml:"split"`
	// Regions are the home regions: requests reach only targets there; empty allows all regions.
	Regions []string `json:"regions,omitempty" yaml:"regions"`
}

// Share is a service that receives a weighted share of the requests of a route.
type Share struct {
	Service string `json:"service" yaml:"service"`
	// Weight is relative to the weights of the other shares; a share with weight 0 receives no requests.
	Weight float64 `json:"weight" yaml:"weight"`
}

// maxGoalExcess is how much the latency objective of a route may exceed its timeout.
const maxGoalExcess = time.Minute

func (s *RouteSpec) check(report func(field, format string, args ...any)) {
	switch {
	case s.Service == "" && len(s.Split) == 0:
		report("service", "is required, unless split names several")
	case s.Service != "" && len(s.Split) > 0:
		report("split", "can't be combined with service")
	case s.Service != "" && !validName(s.Service):
		report("service", "%q is not a name; allowed: %s", s.Service, nameRule)
	}
	s.checkSplit(report)
	s.checkHostAndPath(report)
	s.checkGoalAndMaxTargets(report)
	checkRegions(s.Regions, report)
	for _, method := range s.Methods {
		if !slices.Contains(methods, method) {
			report("methods", "%q is not a method; allowed: %s", method, strings.Join(methods, ", "))
		}
	}
	if s.Open && s.Internal {
		report("open", "a route can't be open and internal")
	}
	if s.Timeout != nil && (*s.Timeout <= 0 || time.Duration(*s.Timeout) > MaxTimeout) {
		report("timeout", "%v is out of range; allowed: above 0, at most %v", time.Duration(*s.Timeout), MaxTimeout)
	}
	if s.ExtraAttempts != nil && (*s.ExtraAttempts < 0 || *s.ExtraAttempts > MaxExtraAttempts) {
		report("extraAttempts", "%d is out of range; allowed: 0 to %d", *s.ExtraAttempts, MaxExtraAttempts)
	}
	if s.MaxBody != nil && *s.MaxBody > MaxBody {
		report("maxBody", "%d bytes is out of range; allowed: 0B to %d bytes", *s.MaxBody, int64(MaxBody))
	}
}

// checkSplit validates the names and weights of a split.
func (s *RouteSpec) checkSplit(report func(field, format string, args ...any)) {
	sum := 0.0
	for _, share := range s.Split {
		if !validName(share.Service) {
			report("split", "%q is not a name; allowed: %s", share.Service, nameRule)
		}
		if !(share.Weight >= 0 && share.Weight <= MaxPerSecond) {
			report("split", "the weight %v of %s is out of range; allowed: 0 to %d", share.Weight, share.Service, MaxPerSecond)
		}
		sum += share.Weight
	}
	if len(s.Split) > 0 && !(sum > 0) {
		report("split", "no service has a weight above 0")
	}
}

// checkGoalAndMaxTargets validates the latency objective and the number of targets.
func (s *RouteSpec) checkGoalAndMaxTargets(report func(field, format string, args ...any)) {
	if s.MaxTargets != nil && (*s.MaxTargets < 1 || *s.MaxTargets > MaxExtraAttempts+1) {
		report("maxTargets", "%d is out of range; allowed: 1 to %d", *s.MaxTargets, MaxExtraAttempts+1)
	}
	if s.Goal == nil {
		return
	}
	timeout := DefaultTimeout
	if s.Timeout != nil {
		timeout = time.Duration(*s.Timeout)
	}
	if goal := time.Duration(*s.Goal); goal <= 0 || goal >= timeout+maxGoalExcess {
		report("goal", "%v is out of range; allowed: above 0, less than %v beyond the timeout of %v", goal, maxGoalExcess, timeout)
	}
}

// services lists the services to which requests of the route may go.
func (s *RouteSpec) services() []string {
	if len(s.Split) == 0 {
		return []string{s.Service}
	}
	names := make([]string, 0, len(s.Split))
	for _, share := range s.Split {
		names = append(names, share.Service)
	}
	return names
}

// checkHostAndPath validates the host and the path prefix.
func (s *RouteSpec) checkHostAndPath(report func(field, format string, args ...any)) {
	if s.Host != "" && !validHost(s.Host) {
		report("host", "%q is not a host; allowed: a lower-case host name or an IP number, without a port", s.Host)
	}
	if s.PathPrefix == "" {
		return
	}
	if !strings.HasPrefix(s.PathPrefix, "/") || !cleanPath(s.PathPrefix) || strings.ContainsAny(s.PathPrefix, "?#%*") {
		report("pathPrefix", "%q is not a path prefix; allowed: / followed by segments, without // . .. ? # %% or *", s.PathPrefix)
	}
}

// methods lists the HTTP methods that a route may accept.
var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
	http.MethodOptions,
}

// TargetSpec holds operator settings for targets of a service.
type TargetSpec struct {
	// Service names the service of the targets.
	Service string `json:"service" yaml:"service"`
	// Target is the name of one target. Without Target and Selector, the document applies to all
	// targets of the service.
	Target string `json:"target,omitempty" yaml:"target"`
	// Selector chooses targets by the labels that they announced when they registered.
	Selector Selector `json:"selector,omitzero" yaml:"selector"`
	// Labels are added to the announced labels and override announced ones with the same key.
	Labels map[string]string `json:"labels,omitempty" yaml:"labels"`
	// Slots caps the concurrent requests on each target.
	Slots *int `json:"slots,omitempty" yaml:"slots"`
	// ColdStart is the warm-up time over which a new target's share of the traffic grows to its full size.
	ColdStart *Duration `json:"coldStart,omitempty" yaml:"coldStart"`
	// ColdPerSecond caps the requests per second to a cold target: for ColdStart after its start, or as long as it says.
	ColdPerSecond *float64 `json:"coldPerSecond,omitempty" yaml:"coldPerSecond"`
	// HealthPath is a path at which warm targets with a cold rate are asked whether they have become cold.
	HealthPath string `json:"healthPath,omitempty" yaml:"healthPath"`
	// Drain stops sending new requests to the targets.
	Drain bool `json:"drain,omitempty" yaml:"drain"`
	// MaxConnections caps the connections to each target.
	MaxConnections *int `json:"maxConnections,omitempty" yaml:"maxConnections"`
}

func (s *TargetSpec) check(report func(field, format string, args ...any)) {
	if s.Service == "" {
		report("service", "is required; use * for every service")
	}
	if s.Target != "" && !s.Selector.Empty() {
		report("selector", "give at most one of target and selector")
	}
	for _, message := range labelProblems(s.Labels) {
		report("labels", "%s", message)
	}
	if s.Slots != nil && (*s.Slots < 1 || *s.Slots > MaxSlots) {
		report("slots", "%d is out of range; allowed: 1 to %d", *s.Slots, MaxSlots)
	}
	if s.MaxConnections != nil && (*s.MaxConnections < 1 || *s.MaxConnections > MaxSlots) {
		report("maxConnections", "%d is out of range; allowed: 1 to %d", *s.MaxConnections, MaxSlots)
	}
	if s.ColdStart != nil && (*s.ColdStart < 0 || time.Duration(*s.ColdStart) > MaxTimeout) {
		report("coldStart", "%v is out of range; allowed: 0s to %v", time.Duration(*s.ColdStart), MaxTimeout)
	}
	if s.HealthPath != "" && (!strings.HasPrefix(s.HealthPath, "/") || strings.ContainsAny(s.HealthPath, " #\r\n")) {
		report("healthPath", "%q is not a path that begins with a slash", s.HealthPath)
	}
	if s.ColdPerSecond != nil && !(*s.ColdPerSecond >= MinColdPerSecond && *s.ColdPerSecond <= MaxPerSecond) {
		report("coldPerSecond", "%v is out of range; allowed: %v to %d", *s.ColdPerSecond, MinColdPerSecond, MaxPerSecond)
	}
}

// CallersSpec sets limits on the connections of callers.
type CallersSpec struct {
	// MaxHeader is the largest total size of request headers.
	MaxHeader *Size `json:"maxHeader,omitempty" yaml:"maxHeader"`
	// HeaderTimeout is the time limit for receiving the request headers.
	HeaderTimeout *Duration `json:"headerTimeout,omitempty" yaml:"headerTimeout"`
	// IdleTimeout is how long a connection may stay open without a request.
	IdleTimeout *Duration `json:"idleTimeout,omitempty" yaml:"idleTimeout"`
}

func (s *CallersSpec) check(report func(field, format string, args ...any)) {
	if s.MaxHeader != nil && (*s.MaxHeader < MinHeader || *s.MaxHeader > MaxHeader) {
		report("maxHeader", "%d bytes is out of range; allowed: %d to %d bytes", *s.MaxHeader, MinHeader, MaxHeader)
	}
	for field, value := range map[string]*Duration{"headerTimeout": s.HeaderTimeout, "idleTimeout": s.IdleTimeout} {
		if value != nil && (*value <= 0 || time.Duration(*value) > MaxTimeout) {
			report(field, "%v is out of range; allowed: above 0, at most %v", time.Duration(*value), MaxTimeout)
		}
	}
}

// nameRule describes to operators the names that validName accepts.
const nameRule = "at most 63 lower-case letters, digits and -, starting and ending with a letter or digit"

// validName reports whether name is allowed for documents and services.
func validName(name string) bool {
	return len(validation.IsDNS1123Label(name)) == 0
}

// validHost reports whether host is a host name in lower case or an IP address, without a port.
func validHost(host string) bool {
	if _, err := netip.ParseAddr(host); err == nil {
		return true
	}
	return len(validation.IsDNS1123Subdomain(host)) == 0
}

// labelProblems returns a message for each invalid label key or value.
func labelProblems(set map[string]string) []string {
	var messages []string
	for _, key := range sortedKeys(set) {
		if strings.HasPrefix(key, ReservedLabelPrefix) {
			messages = append(messages, "key "+key+": the prefix "+ReservedLabelPrefix+" is reserved for labels that nodes set")
		}
		for _, message := range validation.IsQualifiedName(key) {
			messages = append(messages, "key "+key+": "+message)
		}
		for _, message := range validation.IsValidLabelValue(set[key]) {
			messages = append(messages, "value of "+key+": "+message)
		}
	}
	return messages
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
