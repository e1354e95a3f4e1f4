// Package retry bounds the retries of a request. A retry is any attempt after the first.
//
// # Concepts
//
// Each retry must be permitted by three bounds:
//
//   - Allowance: the retries of one request, shared by its whole call tree. A sub-call borrows a part of
//     it, and its response returns what was not spent, so the sum over the tree never exceeds the
//     allowance of the root, whatever the depth or parallelism. If a response is lost, the borrowed part
//     is not returned: the request then makes fewer retries than allowed, never more.
//   - Budget: a ratio of retries to first attempts, for each service at each node. It keeps a failing
//     service from receiving a multiple of its load when every request fails.
//   - Backoff: the wait before a retry, with jitter. The retry is abandoned if the deadline leaves no
//     time for it.
//
// Bucket is a fourth, optional bound at the node beside a target: it limits the retries that the target
// accepts, so that those of all targets of a service stay within one bound.
//
// A refusal whose Retried flag is set was already retried by a node further down the call path; see
// MayRetry.
package retry

import "sync/atomic"

// Allowance counts the retries that a call and all its sub-calls may still make. It is lock-free and safe
// for concurrent use.
type Allowance struct {
	left atomic.Int64
}

// closedAllowance is the value of left after Close.
const closedAllowance = -1

// NewAllowance returns an allowance of extra retries; a negative number counts as 0.
func NewAllowance(extra int) *Allowance {
	a := &Allowance{}
	a.left.Store(int64(max(extra, 0)))
	return a
}

// Take spends one retry. It returns false when none is left.
func (a *Allowance) Take() bool {
	return a.Lend(1) == 1
}

// Lend takes up to want retries for a sub-call and returns how many it took.
func (a *Allowance) Lend(want int) int {
	for {
		remaining := a.left.Load()
		lent := min(int64(want), remaining)
		if lent <= 0 {
			return 0
		}
		if a.left.CompareAndSwap(remaining, remaining-lent) {
			return int(lent)
		}
	}
}

// Return gives back n retries that a sub-call borrowed and did not spend. After Close it does nothing.
func (a *Allowance) Return(n int) {
	if n <= 0 {
		return
	}
	for {
		remaining := a.left.Load()
		if remaining == closedAllowance || a.left.CompareAndSwap(remaining, remaining+int64(n)) {
			return
		}
	}
}

// Left returns the retries that are neither spent nor lent.
func (a *Allowance) Left() int {
	return int(max(a.left.Load(), 0))
}

// Close returns the remaining retries and makes all later calls of Lend return 0. A node closes the
// allowance of a call when it reports the rest to its caller, so that a sub-call that is still running
// can't spend retries that the caller spends too.
func (a *Allowance) Close() int {
	return int(max(a.left.Swap(closedAllowance), 0))
}
