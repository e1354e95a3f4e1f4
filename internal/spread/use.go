package spread

import "time"

const (
	// useSmoothing is the time constant of the use of a single target elsewhere. All nodes of a data centre hear of the
	// same use at about the same time, and see the effect of their calls up to a second later.
	useSmoothing = time.Second
	// AssumedUse is the use with which a target counts of which nothing was heard. It is not 0, since one that wasn't
	// heard of lately isn't idle for that.
	AssumedUse = 0.75
	// unheardSlowdown is how much more slowly the use of a target that doesn't report approaches the assumed one.
	unheardSlowdown = 4
	// weightTop is the use at which a target's weight would be 0, above what targets reach without a queue, and
	// minWeight the least weight. Steeper weights made nodes send their calls to the same targets by turns: with reports
	// that were a second old, 5.5 changes of direction in a period instead of 3.5 (1.05 and 0.05).
	weightTop = 1.1
	minWeight = 0.1
)

// TargetUse is the average use of the limit of a target in another data centre. The zero value stands for the assumed
// use. It is safe for concurrent use.
type TargetUse struct {
	// aboveAssumed is the difference to AssumedUse.
	aboveAssumed number
}

// Add includes the reported use after a time since the last call.
func (u *TargetUse) Add(elapsed time.Duration, use float64) {
	u.aboveAssumed.approach(gain(elapsed, useSmoothing), use-AssumedUse)
}

// AddUnheard includes that the target has not reported for a time.
func (u *TargetUse) AddUnheard(elapsed time.Duration) {
	u.aboveAssumed.approach(gain(elapsed, unheardSlowdown*useSmoothing), 0)
}

// Value returns the average use.
func (u *TargetUse) Value() float64 { return AssumedUse + u.aboveAssumed.get() }

// Weight returns the weight of one of the target's slots when calls that leave are divided.
func (u *TargetUse) Weight() float64 { return max(weightTop-u.Value(), minWeight) }
