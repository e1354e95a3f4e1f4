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
	// cutoffHold is how long a cutoff stands without news; within cutoffRamp after that it
	// rises until nothing is shed.
	cutoffHold = 250 * time.Millisecond
	cutoffRamp = time.Second
	// cutoffRise and cutoffFall are the weights of one answer, as divisors, when it carries
	// a higher or a lower level. Levels of the targets of a service differ, and a request is
	// to pass if one of them takes it, so the highest counts most.
	cutoffRise = 2
	cutoffFall = 8
	// ratioLife is how long the ratio of an organisation's cutoff counts.
	ratioLife = 10 * time.Second
	// classLevels is the number of levels of one class.
	classLevels = 1 << 24
	// investedMargin is how far a request that has had work done for it must be above a
	// cutoff to be shed: a quarter of a class.
	investedMargin = 1 << 22
	// maxLevel is above every shedding level.
	maxLevel = 1 << 28
	// maxCells bounds the routes, services and organisations that are remembered.
	maxCells = 4096
)

// Cutoffs remembers which service sheds requests of each route, and from which level.
//
// News about a service comes with every answer that passed it, whatever its route and
// organisation, so a level stays fresh while anything is answered. An organisation's own
// level is kept as a ratio to the common one, which changes slowly and may be older.
type Cutoffs struct {
	clock    clock.Clock
	origin   time.Time
	routes   cells[routeCell]
	services cells[serviceCell]
}

// routeCell names the service that last shed requests of a route.
type routeCell struct {
	service atomic.Pointer[serviceCell]
}

// serviceCell holds the common level of one service; times are nanoseconds since the memory
// was made.
type serviceCell struct {
	level  atomic.Uint32
	newNs  atomic.Int64
	name   string
	ratios cells[ratioCell]
}

// ratioCell holds the share of the marginal class that one organisation keeps, divided by
// the share that all together keep, as the bits of a float64. An organisation that keeps all
// of it has an infinite ratio, so that it keeps all when the common level moves within the
// class. It says nothing about other classes.
type ratioCell struct {
	bits  atomic.Uint64
	class atomic.Uint32
	newNs atomic.Int64
}

// NewCutoffs returns an empty memory.
func NewCutoffs(clk clock.Clock) *Cutoffs {
	return &Cutoffs{clock: clk, origin: clk.Now()}
}

// now returns the time since the memory was made.
func (c *Cutoffs) now() int64 {
	return int64(c.clock.Now().Sub(c.origin))
}

// at returns the cutoff in force for a route and organisation, and the service that set it;
// own is 0 when there is none.
func (c *Cutoffs) at(route, organisation string) (own, common uint32, service string) {
	via := c.routes.get(route)
	if via == nil {
		return 0, 0, ""
	}
	now := c.now()
	s := via.service.Load()
	common = agedCutoff(s.level.Load(), time.Duration(now-s.newNs.Load()))
	if common == 0 {
		return 0, 0, ""
	}
	ratio := 1.0
	r := s.ratios.get(organisation)
	if r != nil && r.class.Load() == marginal(common) && now-r.newNs.Load() <= int64(ratioLife) {
		ratio = math.Float64frombits(r.bits.Load())
	}
	return applyRatio(common, ratio), common, s.name
}

// marginal returns the first level of the class that a cutoff falls into. A cutoff at the
// end of a class belongs to that class.
func marginal(common uint32) uint32 {
	return (max(common, 1) - 1) / classLevels * classLevels
}

// ratioOf returns the ratio of an organisation's cutoff to the common one.
func ratioOf(common, own uint32) float64 {
	base := marginal(common)
	if own >= base+classLevels {
		return math.Inf(1)
	}
	return float64(max(own, base)-base) / float64(max(common, base+1)-base)
}

// applyRatio returns an organisation's cutoff, at least 1.
func applyRatio(common uint32, ratio float64) uint32 {
	base := marginal(common)
	share := min(float64(common-base)*ratio, classLevels)
	return max(base+uint32(share), 1)
}

// observe takes the cutoff that an answer carried.
func (c *Cutoffs) observe(route, organisation string, cutoff *apiv1.Cutoff) {
	if cutoff == nil {
		return
	}
	now := c.now()
	name := cutoff.GetService()
	s := c.services.getOrAdd(name, func() *serviceCell { return &serviceCell{name: name} })
	s.observe(now, cutoff.GetCommon())
	r := c.routes.getOrAdd(route, func() *routeCell {
		r := &routeCell{}
		r.service.Store(s)
		return r
	})
	r.service.Store(s)
	own := s.ratios.getOrAdd(organisation, func() *ratioCell { return &ratioCell{} })
	own.bits.Store(math.Float64bits(ratioOf(cutoff.GetCommon(), cutoff.GetOwn())))
	own.class.Store(marginal(cutoff.GetCommon()))
	own.newNs.Store(now)
}

// observe smooths the common level. Concurrent updates may lose one.
func (s *serviceCell) observe(now int64, level uint32) {
	old := s.level.Load()
	if old != 0 && now-s.newNs.Load() <= int64(cutoffHold) {
		weight := int64(cutoffFall)
		if level > old {
			weight = cutoffRise
		}
		level = uint32(int64(old) + (int64(level)-int64(old))/weight)
	}
	s.level.Store(level)
	s.newNs.Store(now)
}

// agedCutoff returns a cutoff whose last news is age old.
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

// cells is a map that is read without a lock and copied when a name is added.
type cells[T any] struct {
	current atomic.Pointer[map[string]*T]
	mu      sync.Mutex
}

// get returns the cell of a name, or nil.
func (c *cells[T]) get(name string) *T {
	if m := c.current.Load(); m != nil {
		return (*m)[name]
	}
	return nil
}

// getOrAdd returns the cell of a name, made by init if missing. A full map starts anew.
func (c *cells[T]) getOrAdd(name string, init func() *T) *T {
	if cell := c.get(name); cell != nil {
		return cell
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if cell := c.get(name); cell != nil {
		return cell
	}
	next := make(map[string]*T)
	if old := c.current.Load(); old != nil && len(*old) < maxCells {
		for k, cell := range *old {
			next[k] = cell
		}
	}
	cell := init()
	next[name] = cell
	c.current.Store(&next)
	return cell
}
