// Package servicerate learns how much one target handles well from the requests that it has served: how long requests
// of each route take there now, and above how many concurrent requests it slows down.
//
// # Concepts
//
//   - The usual time of a route is the mean time over several seconds for which its requests hold a slot.
//   - The slowdown of a target is the mean, over the last few requests of all routes, of their time divided by the usual
//     time of their route. It is about 1; a target that stalls has more. All routes share it, so a route with few
//     requests is estimated as quickly as one with many.
//   - The expected time of a route is its usual time times the slowdown.
//   - The knee is the number of concurrent requests above which each takes longer, so that more of them finish no more.
//     A rise of latency alone doesn't show a knee: a target that merely became slower has more requests in flight as
//     well. So only requests that started one right after the other are compared, of which one found more
//     in flight. Whatever changes the speed of the target for a time affects both of them alike.
//
// # Data flow
//
//	Estimator.Started, Finished (at the gate) -> Limit -> admission, load reports, meter of the offered load
//	                                          -> ExpectedTime -> load reports -> shares of traffic at callers
//
// The package takes the time from its callers and uses no network. It needs no more state than a few numbers for each
// route and the last requests that started.
package servicerate
