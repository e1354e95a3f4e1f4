// Package retry bounds the extra attempts of a request.
//
// Three bounds apply to each extra attempt, and all must agree:
//
//   - Allowance: extra attempts of one request, shared by its whole call tree. A sub-call
//     borrows a part and its answer brings the rest back, so the sum over the tree never
//     exceeds the allowance of the root, whatever the depth or parallelism. What is lent
//     and not returned, because an answer was lost, stays lent: the bound errs downwards.
//   - Budget: a ratio of extra to first attempts, for each service at each node. It keeps a
//     failing service from being hit with a multiple of its load when every request fails.
//   - Backoff: the wait before an attempt, with jitter, given up when the deadline leaves no
//     room for the attempt.
//
// A refusal whose Retried flag is set was already tried again further down; see MayRepeat.
package retry

import "sync/atomic"

// Allowance counts the extra attempts that a call and everything below it may still make.
// It is safe for concurrent use and takes no locks.
type Allowance struct {
	left atomic.Int64
}

// closedAllowance marks an allowance whose rest was handed back.
const closedAllowance = -1

// NewAllowance returns an allowance of extra attempts; a negative number counts as 0.
func NewAllowance(extra int) *Allowance {
	a := &Allowance{}
	a.left.Store(int64(max(extra, 0)))
	return a
}

// Take spends one extra attempt. It returns false when none is left.
func (a *Allowance) Take() bool {
	return a.Lend(1) == 1
}

// Lend takes up to want extra attempts for a sub-call and returns how many it took.
func (a *Allowance) Lend(want int) int {
	for {
		left := a.left.Load()
		lent := min(int64(want), left)
		if lent <= 0 {
			return 0
		}
		if a.left.CompareAndSwap(left, left-lent) {
			return int(lent)
		}
	}
}

// Return gives back what a sub-call was lent and did not spend. After Close it does nothing.
func (a *Allowance) Return(n int) {
	if n <= 0 {
		return
	}
	for {
		left := a.left.Load()
		if left == closedAllowance || a.left.CompareAndSwap(left, left+int64(n)) {
			return
		}
	}
}

// Left returns the extra attempts that are neither spent nor lent.
func (a *Allowance) Left() int {
	return int(max(a.left.Load(), 0))
}

// Close returns the extra attempts left and makes all later calls of Lend return 0. A node
// closes the allowance of a call when it reports the rest upwards, so that a straggling
// sub-call can't spend what the level above spends too.
func (a *Allowance) Close() int {
	return int(max(a.left.Swap(closedAllowance), 0))
}
