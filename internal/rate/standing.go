package rate

import (
	"math"
	"sync"
	"time"
)

const (
	// silentAfter is how long a request waits for its owner's answer before the owner counts as silent.
	// It is enough for several exchanges between data centres of a region.
	silentAfter = 100 * time.Millisecond
	// silentFor is how long an owner then counts as silent before it is asked again. It is below the time in which
	// another replica takes over.
	silentFor = 300 * time.Millisecond
	// spentAverageTime is the time constant of the average of the tokens spent at this node.
	spentAverageTime = 3 * time.Second
	// fallbackGrowth times its average spending here is what an organisation that was below its rate may spend.
	fallbackGrowth = 1.1
	// fallbackMinShare is the part of its share that a node may spend in any case, and isolatedShare that of a
	// node that reaches no replica at all: the other nodes may then get the whole rate. With a third of the
	// nodes isolated for five seconds, all their spending stays below six tenths of a second's rate.
	fallbackMinShare = 0.6
	isolatedShare    = 0.2
	// fallbackBurstTime is how much of the fallback rate, in time, an organisation that was below its rate may
	// spend at once, and fallbackBurstTokens a number of tokens on top.
	fallbackBurstTime   = 400 * time.Millisecond
	fallbackBurstTokens = 1.0
	// startBurstTime is how much of its share, in time, a node may spend at once for an organisation for which it has
	// spent nothing since it started. After a stop of the whole fleet the requests of about a second arrive at once,
	// while no owner grants yet; the tokens left unspent during the stop are more than this.
	startBurstTime = time.Second
)

// SilentOwnerShare returns a node's share of an organisation's rate, in tokens a second, and whether the node reaches
// no replica at all. From these follows what the node may spend without a lease while the owner of the
// organisation is silent.
//
// What was spent here lately was granted by the owner, so continuing at that rate adds nothing to the rate of
// the fleet. The share covers a node that has spent little so far. An organisation that is at its rate gets no
// more than it spent or its minimum share; one below it gets some room for random variation.
type SilentOwnerShare func(organisation string) (share float64, isolated bool)

// fallbackLimiter keeps what the node spends of each organisation while owners answer, and limits what it
// spends without a lease while they don't.
type fallbackLimiter struct {
	shareOf SilentOwnerShare

	mu      sync.Mutex
	buckets map[string]*fallbackBucket
}

// fallbackBucket is the state of one organisation.
type fallbackBucket struct {
	// spentPerSecond is the exponentially averaged rate of tokens spent on lease, as of spentAt. It counts from 0 at
	// startedAt.
	spentPerSecond float64
	spentAt        time.Time
	startedAt      time.Time
	// scarce is true when the organisation was at its rate.
	scarce bool
	// ownerSilent is true while the owner is silent; level is then the number of tokens that may be spent, as of levelAt.
	ownerSilent bool
	level       float64
	levelAt     time.Time
}

func newFallbackLimiter(share SilentOwnerShare) *fallbackLimiter {
	return &fallbackLimiter{shareOf: share, buckets: map[string]*fallbackBucket{}}
}

// findOrCreate returns the state of an organisation. The caller holds mu.
func (s *fallbackLimiter) findOrCreate(now time.Time, organisation string) *fallbackBucket {
	b := s.buckets[organisation]
	if b == nil {
		b = &fallbackBucket{spentAt: now, startedAt: now}
		s.buckets[organisation] = b
	}
	return b
}

// recordSpent counts a token that was spent on lease.
func (s *fallbackLimiter) recordSpent(now time.Time, organisation string, scarce bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.findOrCreate(now, organisation)
	b.ownerSilent, b.scarce = false, scarce
	if elapsed := now.Sub(b.spentAt); elapsed > 0 {
		b.spentPerSecond *= math.Exp(-elapsed.Seconds() / spentAverageTime.Seconds())
		b.spentAt = now
	}
	b.spentPerSecond += 1 / spentAverageTime.Seconds()
}

// minAverageTime is the least time over which spending is averaged.
const minAverageTime = time.Second

// average returns the tokens spent a second until the owner became silent.
func (b *fallbackBucket) average() float64 {
	window := 1 - math.Exp(-b.spentAt.Sub(b.startedAt).Seconds()/spentAverageTime.Seconds())
	return b.spentPerSecond / max(window, minAverageTime.Seconds()/spentAverageTime.Seconds())
}

// rate returns how many tokens a second may be spent while the owner is silent.
func (b *fallbackBucket) rate(share float64, isolated bool) float64 {
	switch {
	case isolated:
		return isolatedShare * share
	case b.scarce:
		return max(b.average(), fallbackMinShare*share)
	default:
		return max(fallbackGrowth*b.average(), fallbackMinShare*share)
	}
}

// burst returns how many tokens may be spent at once while the owner is silent.
func (b *fallbackBucket) burst(rate, share float64, isolated bool) float64 {
	burst := rate * fallbackBurstTime.Seconds()
	if b.spentPerSecond == 0 && !isolated {
		burst = max(burst, share*startBurstTime.Seconds())
	}
	return burst + fallbackBurstTokens
}

// take spends a token without a lease if the fallback rate allows it.
func (s *fallbackLimiter) take(now time.Time, organisation string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.findOrCreate(now, organisation)
	share, isolated := s.shareOf(organisation)
	rate := b.rate(share, isolated)
	burst := b.burst(rate, share, isolated)
	if !b.ownerSilent {
		b.ownerSilent, b.level, b.levelAt = true, burst, now
		if b.scarce {
			b.level = 0
		}
	}
	b.level = min(b.level+rate*max(now.Sub(b.levelAt), 0).Seconds(), burst)
	b.levelAt = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// TokensScarce reports whether the organisation's tokens are short according to its owner's latest answer.
func (l *Lessee) TokensScarce(organisation string) bool {
	a := l.account(organisation)
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.scarce
}

// OwnerSilent reports whether the owner of an organisation does not answer, or grants nothing yet.
func (l *Lessee) OwnerSilent(now time.Time, organisation string) bool {
	a := l.account(organisation)
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.silent(l.nanos(now))
}

// silent reports whether the owner left a request waiting for silentAfter without an answer, and has not answered
// since. This ends after silentFor: a request without a lease asks nothing of the owner, so one must ask it from
// time to time whether it is back. The caller holds the mutex.
func (a *account) silent(now int64) bool {
	if a.ownerStarting {
		return now < a.nextAt
	}
	if len(a.waiting) > 0 && now-a.waiting[0].since >= int64(silentAfter) && a.forecastAt < a.waiting[0].since {
		a.unansweredSince, a.silentUntil = a.forecastAt+1, now+int64(silentFor)
	}
	return a.unansweredSince == a.forecastAt+1 && now < a.silentUntil
}
