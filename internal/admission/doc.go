// Package admission decides, at the node beside a target, which requests run there and when.
//
// # Concepts
//
// A Gate stands before one target. It holds
//
//   - a limit: how many requests may run at once. It adapts to the observed service time and
//     stays at or under the slots that the target announces, which may mislead;
//   - a queue: requests that may run soon, ordered by class, then depth in the call tree
//     (deeper first, since more work is already invested), then organisation by weighted
//     fair sharing, then deadline. It is bounded in length and in time;
//   - cutoffs: shedding levels, one for each organisation, that travel on answers. Callers
//     shed early by them, before services above this one spend work on requests that this
//     gate would refuse.
//
// # Data flow
//
//	Acquire -> Core.Arrive -> started | queued | refused
//	Release -> Core.Finish -> limiter sample, next requests out of the queue
//	ctx end -> Core.Cancel -> removed from the queue
//	timer   -> Core.Expire -> refused
//
// Core is a pure state machine: it takes the time and an event, and returns what was decided
// at once; decisions on queued requests appear in Ready. Gate adds a mutex of its own, a
// wake-up channel for each queued request, and the clock. No state is shared between gates.
//
// # Refusals
//
// Every refusal of this package is made before the request is started, so all of them are
// "not run". A request is refused when the target drains, when its level is at or above the
// cutoff while no slot is free, when the estimated wait and service time exceed its
// deadline, when the queue is full of requests at least as important, when a more important
// one takes its place, and when it has queued for longer than MaxQueueTime. The last bound
// keeps the gate from working for callers that have already timed out and sent again.
package admission
