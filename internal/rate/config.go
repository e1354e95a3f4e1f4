package rate

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config holds the constants that nodes and owners must agree on. Zero fields get defaults.
type Config struct {
	// LeaseTTL is the validity of a lease, counted from the sending of the request.
	LeaseTTL time.Duration
	// OwnerLease bounds how long a former owner may still grant after its successor was appointed.
	OwnerLease time.Duration
	// DriftPPM bounds the drift of any clock against true time, in parts per million.
	DriftPPM int64
	// DriftSlack is added to the drift margin for the granularity of clocks.
	DriftSlack time.Duration
	// RequestInterval is the time between two requests in steady demand.
	RequestInterval time.Duration
	// ReportInterval is the time between two requests that only report.
	ReportInterval time.Duration
	// MinGap is the least time between two requests to one owner when tokens are short.
	MinGap time.Duration
	// PrefetchTime is how much expected demand, in time, a node holds tokens for in advance.
	PrefetchTime time.Duration
	// SingleTokenHoldTime is how long after a request a node holds one token in advance if the burst allows it.
	SingleTokenHoldTime time.Duration
	// MaxWait bounds how long a request waits for a token while the owner answers.
	MaxWait time.Duration
	// MaxSilentOwnerWait bounds how long a request waits while the owner does not answer, or grants nothing yet.
	MaxSilentOwnerWait time.Duration
	// OverloadWait replaces MaxWait for new requests whose wait can be estimated, once the waiting list
	// has not been empty for MaxWait.
	OverloadWait time.Duration
	// RequestTimeout is the time after which an unanswered request no longer holds up the next one.
	RequestTimeout time.Duration
	// StartCredit is how many tokens, as time at its rate, a bucket holds when a new owner begins with it. It
	// must stay within the excess over the limits that is tolerated.
	StartCredit time.Duration
	// OwnerRequestsPerSecond is the total request rate to which an owner limits its nodes.
	OwnerRequestsPerSecond float64
}

// WithDefaults returns the configuration with its zero fields filled in.
func (c Config) WithDefaults() Config {
	setDuration(&c.LeaseTTL, 600*time.Millisecond)
	setDuration(&c.OwnerLease, 300*time.Millisecond)
	setDuration(&c.DriftSlack, time.Millisecond)
	setDuration(&c.RequestInterval, 100*time.Millisecond)
	setDuration(&c.ReportInterval, 300*time.Millisecond)
	setDuration(&c.MinGap, 5*time.Millisecond)
	setDuration(&c.PrefetchTime, 150*time.Millisecond)
	setDuration(&c.SingleTokenHoldTime, 2*time.Second)
	setDuration(&c.MaxWait, 750*time.Millisecond)
	setDuration(&c.MaxSilentOwnerWait, 2*time.Second)
	setDuration(&c.OverloadWait, 100*time.Millisecond)
	setDuration(&c.RequestTimeout, 100*time.Millisecond)
	if c.DriftPPM == 0 {
		c.DriftPPM = 1000
	}
	if c.OwnerRequestsPerSecond == 0 {
		c.OwnerRequestsPerSecond = 25_000
	}
	return c
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// drift returns the drift bound as a share of elapsed time.
func (c Config) drift() float64 {
	return float64(c.DriftPPM) / 1e6
}

// withMargin returns the time to wait on one clock so that d has passed on any other.
func (c Config) withMargin(d time.Duration) time.Duration {
	return d + time.Duration(3*c.drift()*float64(d)) + c.DriftSlack
}

// ownerTTL returns the validity of a lease as its owner counts it.
func (c Config) ownerTTL() time.Duration {
	return c.withMargin(c.LeaseTTL)
}

// TakeoverWait returns how long a new owner waits before it grants anything.
func (c Config) TakeoverWait() time.Duration {
	return c.withMargin(c.OwnerLease) + c.ownerTTL()
}

// ShardOf returns the shard of an organisation among the given number of shards.
func ShardOf(organisation string, shards uint32) uint32 {
	if shards == 0 {
		return 0
	}
	return uint32(xxhash.Sum64String(organisation) % uint64(shards))
}
