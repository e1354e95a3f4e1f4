package rate

import (
	"container/list"
	"time"
)

// bucket is the owner's token bucket of one organisation.
//
// level + outstanding never exceeds burst, except that tokens already out on lease
// stay out when the burst is lowered.
type bucket struct {
	organisation string
	perSecond    float64
	burst        float64
	drift        float64

	// level counts the tokens in the bucket as of updated, outstanding those out on lease.
	level       float64
	outstanding uint64
	updated     time.Time
	// fullSince is when level + outstanding reached burst; zero while below it.
	fullSince time.Time

	leases map[nodeKey]*lease
	// headroom is the recent history of burst - (level + outstanding).
	headroom headroom

	// waiting lists the leases whose node waits for tokens, the oldest report first.
	waiting *list.List
	// unmet counts the requests that wait at all nodes.
	unmet uint64
	// order holds the same leases, the one to serve next first.
	order serviceOrder
}

func newBucket(organisation string, perSecond, burst, drift float64, start time.Time) *bucket {
	return &bucket{
		organisation: organisation,
		perSecond:    perSecond,
		burst:        burst,
		drift:        drift,
		updated:      start,
		leases:       make(map[nodeKey]*lease),
		waiting:      list.New(),
	}
}

// accrual returns the tokens gained in d. It assumes that the owner's clock is fast by the drift bound.
func (b *bucket) accrual(d time.Duration) float64 {
	return b.perSecond * (1 - b.drift) * d.Seconds()
}

// occupied returns the part of the burst that is in the bucket or out on lease.
func (b *bucket) occupied() float64 {
	return b.level + float64(b.outstanding)
}

// accrue brings the level up to now. now must not run backwards.
func (b *bucket) accrue(now time.Time) {
	elapsed := now.Sub(b.updated)
	if elapsed <= 0 {
		return
	}
	defer b.noteHeadroom()
	began := b.updated
	b.updated = now
	room := b.burst - b.occupied()
	if room <= 0 {
		b.markFull(began)
		return
	}
	gain := b.accrual(elapsed)
	if gain < room {
		b.level += gain
		b.fullSince = time.Time{}
		return
	}
	b.level += room
	fillTime := time.Duration(room / gain * float64(elapsed))
	b.fullSince = time.Time{}
	b.markFull(began.Add(fillTime))
}

func (b *bucket) noteHeadroom() {
	b.headroom.note(b.updated, b.burst-b.occupied())
}

func (b *bucket) markFull(at time.Time) {
	if b.fullSince.IsZero() {
		b.fullSince = at
	}
}

// setLimits changes rate and burst from now on and clips the level to the new burst.
func (b *bucket) setLimits(now time.Time, perSecond, burst float64) {
	if perSecond == b.perSecond && burst == b.burst {
		return
	}
	b.accrue(now)
	b.perSecond = perSecond
	b.burst = burst
	b.fullSince = time.Time{}
	if room := max(0, burst-float64(b.outstanding)); b.level > room {
		b.level = room
		b.headroom.note(now, 0)
	}
}

// grant moves whole tokens from the level to outstanding.
func (b *bucket) grant(tokens uint64) {
	b.level -= float64(tokens)
	b.outstanding += tokens
}

// giveBack moves unused tokens from outstanding to the level.
func (b *bucket) giveBack(tokens uint64) {
	b.outstanding -= tokens
	b.level = min(b.level+float64(tokens), max(0, b.burst-float64(b.outstanding)))
}

// spend frees tokens that were spent at least age ago.
//
// While the bucket was full it gained nothing, although the spent tokens no longer
// occupied the burst. The gain of that time is credited, at most up to the tokens freed.
func (b *bucket) spend(now time.Time, tokens uint64, age time.Duration) {
	if tokens == 0 {
		return
	}
	credit := 0.0
	if !b.fullSince.IsZero() && b.occupied() <= b.burst {
		from := now.Add(-age)
		if from.Before(b.fullSince) {
			from = b.fullSince
		}
		credit = min(float64(tokens), b.accrual(now.Sub(from)))
	}
	b.outstanding -= tokens
	b.level += max(0, credit)
	b.fullSince = time.Time{}
	b.noteHeadroom()
}

// refund credits spent tokens of requests that were not run. Their spending was reported at or
// after since. Without that spending the bucket would have held that many tokens more, but never
// more than the burst; only what would still be there is credited.
func (b *bucket) refund(tokens uint64, since time.Time) {
	credit := min(float64(tokens), b.headroom.minSince(since), b.burst-b.occupied())
	if credit <= 0 {
		return
	}
	b.level += credit
	b.headroom.reduce(credit)
}

// forfeit frees tokens whose lease ended without a report. They may have been spent, so they are not credited.
func (b *bucket) forfeit(tokens uint64) {
	b.outstanding -= tokens
	b.fullSince = time.Time{}
}

// idle reports whether the bucket is full and has no leases, so that it can be forgotten.
func (b *bucket) idle() bool {
	return len(b.leases) == 0 && b.level >= b.burst
}
