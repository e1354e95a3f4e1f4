package admission

import (
	"math"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/servicerate"
)

const (
	// MaxQueueTime is the longest time that a request may queue, unless the request sets its
	// own bound or twice the drain time of a full queue is longer.
	MaxQueueTime = 400 * time.Millisecond
	// queueDrainTime is the time in which a full queue should drain; it determines the bound
	// of the queue's length.
	queueDrainTime = 200 * time.Millisecond
	// defaultSlots is the highest limit of a target that announces no slots.
	defaultSlots = 256
	// coldStartShare is the share of the limit that applies when a target has just started.
	coldStartShare = 0.1
	// quickQuantile is the quantile of the service time that must fit before the deadline of
	// a request. It is low so that the quick requests of a mixed load are not refused.
	quickQuantile = 0.1
	// quickQuantileGain is the step of the quantile's estimate, as a share of the mean service time.
	quickQuantileGain = 0.05
	// fixedLimitShare is the share of the announced slots that a fixed limit uses: targets slow
	// down when they are nearly full, and a new connection may hold a slot.
	fixedLimitShare = 0.95
	// minRetryAfter and maxRetryAfter bound the time that a refused caller is told to wait before a retry. The shorter one is also that
	// of a target which drains: the refusal itself tells the node that sent the request to choose other targets.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// ArrivalDecision is the immediate decision on an arrival.
type ArrivalDecision int

// The verdicts: the request runs, waits in the queue, or was refused.
const (
	Started ArrivalDecision = iota
	Queued
	Refused
)

// Decision says whether a request runs, waits or is refused.
type Decision struct {
	Verdict ArrivalDecision
	// Refusal is set when the verdict is Refused.
	Refusal *outcome.Refusal
	// epoch is the cold epoch in which the request started.
	epoch uint64
	// Ticket is to be returned with the Result when the verdict is Started.
	Ticket servicerate.Ticket
}

// QueuedDecision is the final decision on a request that was queued: Started or Refused.
type QueuedDecision struct {
	Waiter *Waiter
	Decision
}

// StateMachine is the state machine behind a Controller. It is not safe for concurrent use.
type StateMachine struct {
	config  Config
	limiter *limiter
	shedder *shedder
	queue   queue
	// serviceTime is the smoothed time that a request holds its slot.
	serviceTime latency
	// quickTime is a low quantile of the service time.
	quickTime time.Duration
	inFlight  int
	draining  bool
	// namedRate is the number of requests per second that the target asks for in its responses; 0 for no limit.
	namedRate float64
	cold      coldState
	// rate bounds the requests that start, by namedRate and the cold rate.
	rate rateLimit
	// learned is nil unless the limit is learned.
	learned *servicerate.Estimator
	// decisions on queued requests that TakeDecisions has not returned yet.
	decisions []QueuedDecision
}

// NewStateMachine returns the state machine for the target that c describes.
func NewStateMachine(c Config) *StateMachine {
	m := &StateMachine{limiter: newLimiter(), shedder: newShedder()}
	m.setConfig(c)
	return m
}

func (c *StateMachine) setConfig(config Config) {
	c.config = config
	switch {
	case !config.LearnLimit:
		c.learned = nil
	case c.learned == nil:
		c.learned = servicerate.New()
	}
}

// Configure replaces the description of the target.
func (c *StateMachine) Configure(now time.Time, config Config) {
	c.setConfig(config)
	c.dispatch(now)
}

// SetDraining makes the state machine refuse all requests, queued ones included, or accept them again. It returns the number of requests
// that left the queue. They have not run, so their callers can send them to another target at once.
func (c *StateMachine) SetDraining(draining bool) (left int) {
	c.draining = draining
	if !draining {
		return 0
	}
	for w := c.queue.pop(); w != nil; w = c.queue.pop() {
		c.recordDecision(w, refuse(outcome.TargetLeaving, minRetryAfter, "the target takes no new work; the request was queued there"))
		left++
	}
	return left
}

// SetRateLimit sets how many requests may start in a second; 0 ends the limit.
func (c *StateMachine) SetRateLimit(now time.Time, perSecond float64) {
	c.namedRate = perSecond
	c.updateRate(now)
	c.dispatch(now)
}

// Wake starts queued requests that had to wait for the rate limit.
func (c *StateMachine) Wake(now time.Time) {
	c.dispatch(now)
}

// NextWake returns the time until Wake can start a queued request. It returns false if no queued request waits for the rate limit
// alone.
func (c *StateMachine) NextWake(now time.Time) (time.Duration, bool) {
	if c.queue.length == 0 || c.inFlight >= c.slotLimit(now) {
		return 0, false
	}
	wait := c.rate.untilNext(now)
	return wait, wait > 0
}

// mayStart reports whether a slot is free and the rate limit allows another request.
func (c *StateMachine) mayStart(now time.Time) bool {
	return c.inFlight < c.slotLimit(now) && c.rate.untilNext(now) == 0
}

// start counts a request that starts now, and returns the decision on it.
func (c *StateMachine) start(now time.Time) Decision {
	c.inFlight++
	c.rate.take()
	d := Decision{Verdict: Started, epoch: c.cold.epoch}
	if c.learned != nil {
		d.Ticket = c.learned.Started(now, c.inFlight, c.slots())
	}
	return d
}

// Arrive decides on a new request. The final decision on a queued one is returned by TakeDecisions later.
func (c *StateMachine) Arrive(now time.Time, w *Waiter) Decision {
	if c.draining {
		return refuse(outcome.TargetLeaving, minRetryAfter, "the target takes no new work")
	}
	if !c.config.NoShedding {
		c.shedder.countArrival(now, &w.Request)
		c.updateShedder(now)
	}
	if c.queue.length > 0 {
		c.dispatch(now)
	}
	if c.deadlineTooShort(now, &w.Request) {
		return refuse(c.noTimeCode(), 0, "less time is left than the service takes")
	}
	if c.queue.length == 0 && c.mayStart(now) {
		return c.start(now)
	}
	return c.enqueue(now, w)
}

// enqueue queues a request. If the queue is full, it refuses the least important request.
func (c *StateMachine) enqueue(now time.Time, w *Waiter) Decision {
	if c.reachesCutoff(&w.Request) {
		return refuse(outcome.Overloaded, c.retryAfter(now), "the target sheds requests of this level")
	}
	wait := c.drainTime(now, c.queue.ahead(w.Priority)+1)
	if w.MaxWait > 0 && wait > w.MaxWait {
		c.shedder.refused++
		return refuse(outcome.QueueFull, c.retryAfter(now), "the expected queueing time exceeds the longest wait of the request")
	}
	if !w.Deadline.IsZero() && now.Add(wait+c.serviceTime.estimate(now)).After(w.Deadline) {
		c.shedder.refused++
		return refuse(c.noTimeCode(), c.retryAfter(now), "the expected queueing and service time exceeds the time left")
	}
	w.queuedAt = now
	w.QueueDeadline = c.queueDeadline(now, w)
	c.queue.push(w)
	if c.queue.length <= c.queueCap(now) {
		return Decision{Verdict: Queued}
	}
	c.shedder.refused++
	least := c.queue.leastImportant()
	c.queue.remove(least)
	if least == w {
		return refuse(outcome.QueueFull, c.retryAfter(now), "the queue of the target is full")
	}
	c.recordDecision(least, refuse(outcome.Evicted, c.retryAfter(now), "a more important request took the place"))
	return Decision{Verdict: Queued}
}

// queueDeadline returns the time at which a request queued now is refused if it has not started.
func (c *StateMachine) queueDeadline(now time.Time, w *Waiter) time.Time {
	at := now.Add(max(MaxQueueTime, 2*c.drainTime(now, c.queueCap(now))))
	if w.MaxWait > 0 {
		at = now.Add(w.MaxWait)
	}
	if latest := now.Add(coldQueueTime); c.cold.perSecond > 0 && latest.Before(at) {
		at = latest
	}
	if w.Deadline.IsZero() {
		return at
	}
	if latest := w.Deadline.Add(-c.serviceTime.estimate(now)); latest.Before(at) {
		return latest
	}
	return at
}

// Cancel removes a queued request that its caller has cancelled. It returns false when the request
// has left the queue already.
func (c *StateMachine) Cancel(w *Waiter) bool {
	return c.queue.remove(w)
}

// Expire refuses a queued request that has reached its QueueDeadline.
func (c *StateMachine) Expire(now time.Time, w *Waiter) {
	if !c.queue.remove(w) {
		return
	}
	c.shedder.refused++
	c.recordDecision(w, refuse(c.noTimeCode(), c.retryAfter(now), "queued for too long"))
}

// Finish frees the slot of a request that was started at the given time.
func (c *StateMachine) Finish(now, started time.Time, res Result) {
	if c.saysOfPresent(started) {
		c.observe(now, now.Sub(started), res)
	}
	c.shedder.finished++
	if !c.config.NoShedding {
		c.updateShedder(now)
	}
	c.inFlight--
	c.dispatch(now)
}

// observe updates the service time and the limit by the time that a request held its slot.
func (c *StateMachine) observe(now time.Time, slotTime time.Duration, res Result) {
	switch res.Kind {
	case Success:
		c.serviceTime.add(now, slotTime)
		c.updateQuickTime(slotTime)
		if c.learned != nil {
			c.learned.Finished(now, res.Ticket, res.Route, max(slotTime-res.Downstream, 0))
		}
	case TimedOut, Cancelled:
		c.serviceTime.addLowerBound(now, slotTime)
	case Rejected:
		if res.Downstream > 0 {
			// The target is taken to pass on the rejection of a sub-call.
			res.Kind = Failure
		}
	}
	if c.cold.perSecond > 0 {
		// The latency of a cold target says nothing about its limit once it is warm.
		return
	}
	c.limiter.sample(limitSample{
		now:      now,
		ownTime:  max(slotTime-res.Downstream, 0),
		inFlight: c.inFlight,
		slots:    c.slots(),
		kind:     res.Kind,
	})
}

// updateQuickTime updates the estimate of the low quantile of the service time by one sample.
func (c *StateMachine) updateQuickTime(slotTime time.Duration) {
	if c.serviceTime.samples == 1 || slotTime < c.quickTime/2 {
		c.quickTime = slotTime
		return
	}
	step := quickQuantileGain * float64(c.serviceTime.mean)
	if slotTime < c.quickTime {
		c.quickTime -= time.Duration(step * (1 - quickQuantile))
	} else {
		c.quickTime += time.Duration(step * quickQuantile)
	}
}

// TakeDecisions returns the decisions made on queued requests since the last call. The slice is valid
// until the next event.
func (c *StateMachine) TakeDecisions() []QueuedDecision {
	decisions := c.decisions
	c.decisions = c.decisions[:0]
	return decisions
}

// Load returns the state that is reported to callers of an organisation.
func (c *StateMachine) Load(now time.Time, organisation string) Load {
	return Load{
		InFlight: c.inFlight,
		Queued:   c.queue.length,
		Limit:    c.limit(now),
		Cutoff:   c.cutoff(organisation),
		Latency:  c.serviceTime.estimate(now),
		Draining: c.draining,

		RateLimit: c.namedRate,
		ColdRate:  c.cold.perSecond,
	}
}

// LoadForRoute returns the state that is reported to callers of an organisation that made a request of a route.
func (c *StateMachine) LoadForRoute(now time.Time, organisation, route string) Load {
	l := c.Load(now, organisation)
	if c.learned != nil {
		l.ExpectedTime, l.Slowdown = c.learned.ExpectedTime(now, route), c.learned.Slowdown(now)
		l.LearnedLimit = c.fixedLimit(now)
	}
	return l
}

// cutoff returns the cutoff that answers to an organisation carry; nil without shedding.
func (c *StateMachine) cutoff(organisation string) *apiv1.Cutoff {
	if c.config.NoShedding {
		return nil
	}
	own, common := c.shedder.cutoffs(organisation)
	return &apiv1.Cutoff{Service: c.config.Service, Common: common, Own: own}
}

// reachesCutoff reports whether the cutoff refuses a request. It spares sub-calls, since work
// has been done for them already: for these the order of the queue decides.
func (c *StateMachine) reachesCutoff(r *Request) bool {
	if c.config.NoShedding {
		return false
	}
	own, _ := c.shedder.cutoffs(r.Organisation)
	return r.Depth == 0 && r.Level >= own
}

// dispatch starts queued requests while slots are free and the rate limit allows it.
func (c *StateMachine) dispatch(now time.Time) {
	for c.queue.length > 0 && c.mayStart(now) {
		w := c.queue.pop()
		if w == nil {
			return
		}
		if !w.Deadline.IsZero() && now.Add(c.serviceTime.estimate(now)).After(w.Deadline) {
			c.shedder.refused++
			c.recordDecision(w, refuse(c.noTimeCode(), c.retryAfter(now), "queued until less time is left than the service takes"))
			continue
		}
		c.recordDecision(w, c.start(now))
	}
}

// decide records the decision on a request that has left the queue.
func (c *StateMachine) recordDecision(w *Waiter, d Decision) {
	c.decisions = append(c.decisions, QueuedDecision{Waiter: w, Decision: d})
}

// updateShedder ends the shedder's window when it is complete.
func (c *StateMachine) updateShedder(now time.Time) {
	if !c.shedder.windowComplete(now) {
		return
	}
	c.shedder.endWindow(now, gateState{
		inFlight: c.inFlight,
		limit:    c.limit(now),
		queued:   c.queue.length,
		queueCap: c.queueCap(now),
	})
}

// limit returns how many requests are to run at once: as many as slots allow, or as a rate limit keeps busy.
func (c *StateMachine) limit(now time.Time) int {
	slots := c.slotLimit(now)
	if c.rate.perSecond == 0 || c.serviceTime.samples == 0 && c.cold.perSecond == 0 {
		return slots
	}
	hold := c.serviceTime.estimate(now)
	if c.serviceTime.samples == 0 {
		hold = coldServiceTime
	}
	busy := int(math.Ceil(c.rate.perSecond * hold.Seconds()))
	return min(slots, max(busy, 1))
}

// slotLimit returns how many requests may run now. It rises linearly during the cold start.
func (c *StateMachine) slotLimit(now time.Time) int {
	limit := 0
	if c.config.FixedLimit {
		limit = c.fixedLimit(now)
	} else {
		limit = c.limiter.limit(c.slots())
	}
	age := now.Sub(c.config.Started)
	if c.config.ColdStart <= 0 || age >= c.config.ColdStart {
		return limit
	}
	warm := max(float64(age)/float64(c.config.ColdStart), 0)
	share := coldStartShare + (1-coldStartShare)*warm
	return max(int(math.Ceil(share*float64(limit))), 1)
}

// fixedLimit returns a fixed share of the slots, or less if the target was learned to handle fewer requests well.
func (c *StateMachine) fixedLimit(now time.Time) int {
	limit := max(int(fixedLimitShare*float64(c.slots())), 1)
	if c.learned != nil {
		limit = c.learned.Limit(now, limit, c.slots())
	}
	return limit
}

// slots returns the highest limit.
func (c *StateMachine) slots() int {
	if c.config.Slots <= 0 {
		return defaultSlots
	}
	return c.config.Slots
}

// queueCap returns how many requests may queue: as many as drain within queueDrainTime, but
// enough for the random fluctuation of the arrivals, which grows with the root of the limit.
func (c *StateMachine) queueCap(now time.Time) int {
	if c.cold.perSecond > 0 {
		return c.coldQueueCap()
	}
	limit := float64(c.limit(now))
	fluctuation := 2 + 4*math.Sqrt(limit)
	hold := c.serviceTime.estimate(now)
	if hold <= 0 {
		return int(max(limit, fluctuation))
	}
	return int(max(limit*float64(queueDrainTime)/float64(hold), fluctuation))
}

// drainTime returns the expected time until n queued requests have started.
func (c *StateMachine) drainTime(now time.Time, n int) time.Duration {
	drain := time.Duration(float64(n) * float64(c.serviceTime.estimate(now)) / float64(c.limit(now)))
	if c.rate.perSecond > 0 {
		drain = max(drain, time.Duration(float64(n)/c.rate.perSecond*float64(time.Second)))
	}
	return drain
}

// deadlineTooShort reports whether less time is left than even a quick request takes.
func (c *StateMachine) deadlineTooShort(now time.Time, r *Request) bool {
	if r.Deadline.IsZero() {
		return false
	}
	quick := min(c.quickTime, c.serviceTime.estimate(now))
	return now.Add(quick).After(r.Deadline) || !now.Before(r.Deadline)
}

// retryAfter returns the time after which a refused caller should retry.
func (c *StateMachine) retryAfter(now time.Time) time.Duration {
	return min(max(2*c.drainTime(now, c.queue.length), minRetryAfter), maxRetryAfter)
}

// refuse returns the decision to refuse a request, which was not run.
func refuse(code outcome.Code, retryAfter time.Duration, detail string) Decision {
	return Decision{
		Verdict: Refused,
		Refusal: &outcome.Refusal{Code: code, Ran: outcome.RanNo, RetryAfter: retryAfter, Detail: detail},
	}
}
