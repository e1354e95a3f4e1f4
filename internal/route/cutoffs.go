package route

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/clock"
)

const (
	// cutoffHold is how long a cutoff applies unchanged after its last update; within cutoffRamp
	// after that it rises until nothing is shed.
	cutoffHold = 250 * time.Millisecond
	cutoffRamp = time.Second
	// cutoffRiseDivisor and cutoffFallDivisor divide the difference by which one answer moves
	// the smoothed level up or down. The targets of a service have different levels, and a
	// request should pass if one of them accepts it, so higher levels are followed faster.
	cutoffRiseDivisor = 2
	cutoffFallDivisor = 8
	// ratioTTL is how long the ratio of an organisation's cutoff is used.
	ratioTTL = 10 * time.Second
	// levelsPerClass is the number of levels of one class.
	levelsPerClass = 1 << 24
	// subCallMargin is how far the level of a sub-call must be above a cutoff to be shed: a
	// quarter of a class. Shedding a sub-call wastes the work already done for its request.
	subCallMargin = 1 << 22
	// maxLevel is above every shedding level.
	maxLevel = 1 << 28
	// maxMapEntries bounds the routes, the services, and the organisations of each service.
	maxMapEntries = 4096
)

// CutoffCache caches which service sheds requests of each route, and from which level.
//
// Every answer to a request that used a service updates the service's common level, whatever
// the request's route and organisation, so the level stays fresh while anything is answered. An
// organisation's own level is kept as a ratio to the common one, which changes slowly and may
// be older. It is safe for concurrent use.
type CutoffCache struct {
	clock    clock.Clock
	origin   time.Time
	routes   copyOnWriteMap[routeEntry]
	services copyOnWriteMap[serviceCutoff]
}

// routeEntry points to the service from which the last cutoff for a route came.
type routeEntry struct {
	service atomic.Pointer[serviceCutoff]
}

// serviceCutoff holds the common level of one service; times are nanoseconds since the CutoffCache
// was created.
type serviceCutoff struct {
	level     atomic.Uint32
	updatedNs atomic.Int64
	name      string
	ratios    copyOnWriteMap[organisationRatio]
}

// organisationRatio holds the share of the partly shed class that is admitted for one
// organisation, divided by the share that is admitted overall, as the bits of a float64. An
// organisation of which the whole class is admitted has an infinite ratio, so that this stays so
// when the common level moves within the class. The ratio doesn't apply to other classes.
type organisationRatio struct {
	bits      atomic.Uint64
	class     atomic.Uint32
	updatedNs atomic.Int64
}

// NewCutoffCache returns an empty cache.
func NewCutoffCache(clk clock.Clock) *CutoffCache {
	return &CutoffCache{clock: clk, origin: clk.Now()}
}

// now returns the nanoseconds since the cache was created.
func (c *CutoffCache) now() int64 {
	return int64(c.clock.Now().Sub(c.origin))
}

// lookup returns the cutoff in force for a route and organisation, and the service that set it;
// own is 0 when there is none.
func (c *CutoffCache) lookup(route, organisation string) (own, common uint32, service string) {
	entry := c.routes.get(route)
	if entry == nil {
		return 0, 0, ""
	}
	now := c.now()
	s := entry.service.Load()
	common = agedCutoff(s.level.Load(), time.Duration(now-s.updatedNs.Load()))
	if common == 0 {
		return 0, 0, ""
	}
	ratio := 1.0
	r := s.ratios.get(organisation)
	if r != nil && r.class.Load() == classBase(common) && now-r.updatedNs.Load() <= int64(ratioTTL) {
		ratio = math.Float64frombits(r.bits.Load())
	}
	return applyRatio(common, ratio), common, s.name
}

// classBase returns the first level of the class that a cutoff falls into. A cutoff at the
// end of a class belongs to that class.
func classBase(common uint32) uint32 {
	return (max(common, 1) - 1) / levelsPerClass * levelsPerClass
}

// ratioOf returns the ratio of an organisation's cutoff to the common one.
func ratioOf(common, own uint32) float64 {
	base := classBase(common)
	if own >= base+levelsPerClass {
		return math.Inf(1)
	}
	return float64(max(own, base)-base) / float64(max(common, base+1)-base)
}

// applyRatio returns an organisation's cutoff from the common one and its ratio; at least 1.
func applyRatio(common uint32, ratio float64) uint32 {
	base := classBase(common)
	share := min(float64(common-base)*ratio, levelsPerClass)
	return max(base+uint32(share), 1)
}

// observe records the cutoff that an answer carried; nil changes nothing.
func (c *CutoffCache) observe(route, organisation string, cutoff *apiv1.Cutoff) {
	if cutoff == nil {
		return
	}
	now := c.now()
	name := cutoff.GetService()
	s := c.services.getOrAdd(name, func() *serviceCutoff { return &serviceCutoff{name: name} })
	s.observe(now, cutoff.GetCommon())
	r := c.routes.getOrAdd(route, func() *routeEntry {
		r := &routeEntry{}
		r.service.Store(s)
		return r
	})
	r.service.Store(s)
	own := s.ratios.getOrAdd(organisation, func() *organisationRatio { return &organisationRatio{} })
	own.bits.Store(math.Float64bits(ratioOf(cutoff.GetCommon(), cutoff.GetOwn())))
	own.class.Store(classBase(cutoff.GetCommon()))
	own.updatedNs.Store(now)
}

// observe adds a sample to the smoothed common level. Concurrent updates may lose one.
func (s *serviceCutoff) observe(now int64, level uint32) {
	old := s.level.Load()
	if old != 0 && now-s.updatedNs.Load() <= int64(cutoffHold) {
		weight := int64(cutoffFallDivisor)
		if level > old {
			weight = cutoffRiseDivisor
		}
		level = uint32(int64(old) + (int64(level)-int64(old))/weight)
	}
	s.level.Store(level)
	s.updatedNs.Store(now)
}

// agedCutoff returns the level in force when the last update is age old; 0 means that nothing is shed.
func agedCutoff(level uint32, age time.Duration) uint32 {
	if level == 0 || age <= cutoffHold {
		return level
	}
	ramp := float64(age-cutoffHold) / float64(cutoffRamp)
	if ramp >= 1 {
		return 0
	}
	return level + uint32(ramp*ramp*float64(maxLevel-min(level, maxLevel)))
}

// copyOnWriteMap is a map that is read without a lock and copied when a name is added.
type copyOnWriteMap[T any] struct {
	current atomic.Pointer[map[string]*T]
	mu      sync.Mutex
}

// get returns the value of a name, or nil.
func (c *copyOnWriteMap[T]) get(name string) *T {
	if m := c.current.Load(); m != nil {
		return (*m)[name]
	}
	return nil
}

// getOrAdd returns the value of a name, made by init if missing. A full map is cleared first.
func (c *copyOnWriteMap[T]) getOrAdd(name string, init func() *T) *T {
	if value := c.get(name); value != nil {
		return value
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if value := c.get(name); value != nil {
		return value
	}
	next := make(map[string]*T)
	if old := c.current.Load(); old != nil && len(*old) < maxMapEntries {
		for k, value := range *old {
			next[k] = value
		}
	}
	value := init()
	next[name] = value
	c.current.Store(&next)
	return value
}
