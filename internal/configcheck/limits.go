package configcheck

import (
	"cmp"
	"math"
	"slices"
	"time"

	"k8s.io/apimachinery/pkg/labels"

	"github.com/guavaford/guavaford/internal/config"
	"github.com/guavaford/guavaford/internal/dispatch"
	"github.com/guavaford/guavaford/internal/retry"
)

// checkLimits reports times of routes that contradict each other or the usual work of their services.
func (c *checker) checkLimits() {
	for _, r := range c.snapshot.Routes {
		if r.Goal > r.Timeout {
			c.warn(CodeGoalAboveTimeout, config.KindRoute, r.Name, "spec.goal", "the goal of %v is above the timeout of %v", r.Goal, r.Timeout)
		}
		for _, service := range shares(r) {
			work := c.Load[service].Work
			switch {
			case work > r.Timeout:
				c.warn(CodeTimeoutBelowWork, config.KindRoute, r.Name, "spec.timeout", "the timeout of %v is below the usual %v of a request at service %s", r.Timeout, work, service)
			case work > r.Goal:
				c.warn(CodeGoalBelowWork, config.KindRoute, r.Name, "spec.goal", "the goal of %v is below the usual %v of a request at service %s", r.Goal, work, service)
			}
		}
	}
}

// checkAttempts reports attempts that other limits never allow. Defaults are left out, as nobody chose them for the route.
func (c *checker) checkAttempts() {
	for _, r := range c.snapshot.Routes {
		spec := c.routes[r.Name]
		if spec.ExtraAttempts != nil {
			if n := retriesWithin(r.Timeout); n < *spec.ExtraAttempts {
				c.warn(CodeAttemptsBeyondTimeout, config.KindRoute, r.Name, "spec.extraAttempts",
					"the waits before %d extra attempts of one call are longer than the timeout of %v, which %d fit", *spec.ExtraAttempts, r.Timeout, n)
			}
		}
		if r.MaxTargets > 1 {
			c.checkMaxTargets(r)
		}
	}
}

// retriesWithin returns the number of retries of one call that fit a timeout if each attempt fails at once and each wait
// is the shortest possible, at most config.MaxExtraAttempts.
func retriesWithin(timeout time.Duration) int {
	shortest := func() float64 { return 0 }
	for n := range config.MaxExtraAttempts {
		wait, ok := retry.Backoff(n+1, timeout, 0, shortest)
		if !ok {
			return n
		}
		timeout -= wait
	}
	return config.MaxExtraAttempts
}

// checkMaxTargets reports a number of targets of one request that it can never reach.
func (c *checker) checkMaxTargets(r *config.Route) {
	const field = "spec.maxTargets"
	if r.MaxTargets > dispatch.MaxAttempts {
		c.warn(CodeAttemptsAboveLimit, config.KindRoute, r.Name, field, "%d targets can't be reached: a request makes at most %d attempts", r.MaxTargets, dispatch.MaxAttempts)
	}
	if r.Timeout < dispatch.MinAttemptTime {
		c.warn(CodeAttemptsBeyondTimeout, config.KindRoute, r.Name, field, "a further attempt is made while %v are left, but the timeout is %v", dispatch.MinAttemptTime, r.Timeout)
	}
	most, allKnown := 0, true
	for _, service := range shares(r) {
		count, known := c.targetCount(service)
		most, allKnown = max(most, count), allKnown && known
	}
	if allKnown && most > 0 && r.MaxTargets > most {
		c.warn(CodeAttemptsAboveTargets, config.KindRoute, r.Name, field, "%d targets can't be reached: its services have at most %d", r.MaxTargets, most)
	}
	if extra := r.MaxTargets - 1; c.Budget != nil && float64(extra) > c.Budget.repeats(c.allRates()) {
		c.warn(CodeAttemptsAboveBudget, config.KindRoute, r.Name, field,
			"one request may repeat %d times, but the budget allows %.3g repeats of all requests in %v at their full rates", extra, c.Budget.repeats(c.allRates()), c.Budget.Window)
	}
}

// repeats returns the number of repeats that are allowed in a window at a rate of requests.
func (b *Budget) repeats(perSecond float64) float64 {
	if b.Ratio == 0 {
		return b.Reserve
	}
	return b.Ratio*perSecond*b.Window.Seconds() + b.Reserve
}

// allRates returns the requests per second of all organisations together; it is infinite if those of one, or of a route
// that is open to all, are not limited.
func (c *checker) allRates() float64 {
	if slices.ContainsFunc(c.snapshot.Routes, func(r *config.Route) bool { return r.Open && !r.Internal }) {
		return math.Inf(1)
	}
	sum := 0.0
	for _, o := range c.snapshot.Organisations {
		if o.Unlimited {
			return math.Inf(1)
		}
		sum += o.Rate
	}
	return sum
}

// checkRates reports rates of single organisations above what all targets of the services for callers with a key can
// handle. The sum of all rates may well be above it, as they are rarely used at once.
func (c *checker) checkRates() {
	capacity, known := c.capacity()
	if !known {
		return
	}
	for _, rate := range c.rates {
		if rate.spec.Unlimited || rate.spec.PerSecond <= capacity {
			continue
		}
		if slices.ContainsFunc(c.organisations, func(o entry[*config.OrganisationSpec]) bool {
			return rate.spec.Selector.Matches(c.snapshot.Organisations[o.name].Labels)
		}) {
			c.warn(CodeRateAboveTargets, config.KindRate, rate.name, "spec.perSecond", "%v requests a second are above the %.4g that all targets can handle", rate.spec.PerSecond, capacity)
		}
	}
}

// capacity returns the requests per second that all targets of the services for callers with a key can handle. It is not
// known unless the slots and the usual work of each are, nor without any target.
func (c *checker) capacity() (perSecond float64, known bool) {
	counted := map[string]bool{}
	for _, r := range c.snapshot.Routes {
		if r.Open || r.Internal {
			continue
		}
		for _, service := range shares(r) {
			if counted[service] {
				continue
			}
			counted[service] = true
			slots, known := c.slots(service)
			work := c.Load[service].Work
			if !known || work <= 0 {
				return 0, false
			}
			perSecond += float64(slots) / work.Seconds()
		}
	}
	return perSecond, perSecond > 0
}

// slots returns the number of requests that all targets of a service handle at once.
func (c *checker) slots(service string) (slots int, known bool) {
	if n := c.Load[service].Targets; n > 0 {
		each := c.snapshot.TargetPolicy(service, "", labels.Set{}, 0).Slots
		return n * each, each > 0
	}
	if !c.TargetsKnown {
		return 0, false
	}
	for _, t := range c.targetsOf(service) {
		if t.policy.Draining {
			continue
		}
		if t.policy.Slots == 0 {
			return 0, false
		}
		slots += t.policy.Slots
	}
	return slots, true
}

// sorted returns elements with a kind and a name, sorted by both.
func sorted[R interface {
	GetKind() string
	GetName() string
}](all []R) []R {
	all = slices.Clone(all)
	slices.SortFunc(all, func(a, b R) int {
		return cmp.Or(cmp.Compare(a.GetKind(), b.GetKind()), cmp.Compare(a.GetName(), b.GetName()))
	})
	return all
}
