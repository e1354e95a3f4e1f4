package ratelab

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bucket is an ideal token bucket that sees every request of the fleet at once.
type Bucket struct {
	PerSecond, Burst float64
	level            float64
	updated          time.Duration
}

// NewBucket returns a full bucket.
func NewBucket(perSecond, burst float64) *Bucket {
	return &Bucket{PerSecond: perSecond, Burst: burst, level: burst}
}

// SetLimits changes rate and burst at a time and clips the level to the new burst.
func (b *Bucket) SetLimits(now time.Duration, perSecond, burst float64) {
	b.advance(now)
	b.PerSecond = perSecond
	b.Burst = burst
	b.level = min(b.level, burst)
}

func (b *Bucket) advance(now time.Duration) {
	b.level = min(b.Burst, b.level+b.PerSecond*(now-b.updated).Seconds())
	b.updated = now
}

// Take spends a token if there is a whole one.
func (b *Bucket) Take(now time.Duration) bool {
	b.advance(now)
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// TakeOverdrawn spends a token even if there is none and returns by how much the bucket is overdrawn.
func (b *Bucket) TakeOverdrawn(now time.Duration) float64 {
	b.advance(now)
	b.level--
	return max(0, -b.level)
}

// roundingTolerance absorbs floating-point error in the check for excess, in tokens.
const roundingTolerance = 1e-6

// OutcomeCounter counts the outcomes of one organisation's requests and compares them with an ideal bucket.
type OutcomeCounter struct {
	Demand   int
	Admitted int
	// Ideal counts the requests that the ideal bucket admits.
	Ideal int
	// WrongfulRefusals counts refusals of requests that the ideal bucket admits.
	WrongfulRefusals int
	// Excess is the greatest overdraft of a bucket charged with every admission, in tokens.
	Excess float64

	idealBucket    *Bucket
	admittedBucket *Bucket
	waits          *hdrhistogram.Histogram
	measured       bool
}

// NewOutcomeCounter returns a counter for the limits of an organisation.
func NewOutcomeCounter(perSecond, burst float64) *OutcomeCounter {
	return &OutcomeCounter{
		idealBucket:    NewBucket(perSecond, burst),
		admittedBucket: NewBucket(perSecond, burst),
		waits:          hdrhistogram.New(1, int64(10*time.Second/time.Microsecond), 3),
	}
}

// StartMeasuring starts the counting; earlier requests only change the buckets.
func (t *OutcomeCounter) StartMeasuring() {
	t.measured = true
}

// Arrive records the arrival of a request and returns the function to call with its outcome. now returns the
// virtual time.
func (t *OutcomeCounter) Arrive(now func() time.Duration) func(Outcome) {
	within := t.idealBucket.Take(now())
	measured := t.measured
	if measured {
		t.Demand++
		if within {
			t.Ideal++
		}
	}
	return func(o Outcome) {
		if o.Admitted {
			t.charge(now())
		}
		if measured {
			t.recordOutcome(within, o)
		}
	}
}

func (t *OutcomeCounter) charge(now time.Duration) {
	over := t.admittedBucket.TakeOverdrawn(now)
	if over > roundingTolerance {
		t.Excess = math.Max(t.Excess, over)
	}
}

func (t *OutcomeCounter) recordOutcome(within bool, o Outcome) {
	if !o.Admitted {
		if within {
			t.WrongfulRefusals++
		}
		return
	}
	t.Admitted++
	_ = t.waits.RecordValue(int64(o.Waited / time.Microsecond))
}

// WrongfulRefusalShare returns the share of the requests within rate that were refused.
func (t *OutcomeCounter) WrongfulRefusalShare() float64 {
	if t.Ideal == 0 {
		return 0
	}
	return float64(t.WrongfulRefusals) / float64(t.Ideal)
}

// Wait returns a percentile of the time that admitted requests waited for their token.
func (t *OutcomeCounter) Wait(percentile float64) time.Duration {
	return time.Duration(t.waits.ValueAtQuantile(percentile)) * time.Microsecond
}
