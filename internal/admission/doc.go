// Package admission decides, at the node beside a target, which requests run there and when.
//
// # Concepts
//
// A Controller admits requests to one target. It holds
//
//   - a limit: how many requests may run at once. It never exceeds the slots that the target
//     announces, and adapts to the observed service time because that number may be wrong.
//     With Config.FixedLimit it is a share of the announced slots, and with Config.LearnLimit less if the target was
//     learned to handle fewer requests well (servicerate);
//   - a rate limit, if the target names one in its responses: how many requests may start in a second;
//   - a queue: requests that may run soon, ordered by class, then depth in the call tree
//     (deeper first, since more work has been spent on them already), then organisation by
//     weighted fair sharing, then deadline. It is bounded in length and in time;
//   - cutoffs: shedding levels, one for each organisation, from which requests are refused.
//     Answers carry them to callers, which shed by them early, before services higher up in
//     the call tree spend work on requests that this controller would refuse.
//
// # Data flow
//
//	Acquire -> StateMachine.Arrive -> started | queued | refused
//	Release -> StateMachine.Finish -> limiter sample, next requests out of the queue
//	ctx done -> StateMachine.Cancel -> removed from the queue
//	timer -> StateMachine.Expire -> refused
//	timer -> StateMachine.Wake -> started, once the rate limit allows it
//
// StateMachine is pure: it takes the time and an event, and returns the immediate decision; later
// decisions on queued requests are collected by StateMachine.TakeDecisions. Controller adds a mutex,
// a wake-up channel for each queued request, and the clock. Controllers share no state.
//
// # Refusals
//
// This package refuses a request only before it is started, so every refusal reports "not
// run". A request is refused when the target drains, when its level is at or above the
// cutoff while no slot is free, when the estimated wait and service time exceed its
// deadline, when the queue is full of requests at least as important, when a more important
// one takes its place in the queue, and when it has queued for longer than MaxQueueTime. The
// last bound avoids work for callers that have already timed out and retried.
package admission
