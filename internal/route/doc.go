// Package route chooses the target of a call at the caller's node.
//
// # Concepts
//
// A Picker serves one service at one node. It knows the registered targets and, for each,
// what this node has seen: calls in flight, smoothed latency, outcomes, and the last load
// report of the node beside the target. Reports are hints that may be late; what this node
// saw wins.
//
// # Data flow
//
//	registry view -> Update -> immutable table of targets; known ones keep their statistics
//	Pick -> shed by cutoff, or the better of two random targets -> Choice
//	Choice.Done(Observation) -> latency, outcomes, load, cutoff
//
// # Choice
//
// Two targets of the own data centre are drawn at random and the one with the lower score is
// taken; score is load times latency. When it is loaded, two targets of other data centres
// compete as well. A target that came up recently, or was ejected, has its score raised
// until its slow start is over. Targets that leave, drain or are excluded by the query are
// not drawn.
//
// # Slow targets
//
// With Config.SlowPace, latencies are kept for each route. A target whose calls take, or have gone without an answer
// for, a multiple of what the faster targets take gets calls only when no other has room. One call tries it again after a
// while. With Config.LookAround, all targets of the data centre are looked at before a call goes to one that is full or slow.
//
// # Ejection
//
// A target whose recent calls failed is left out for a while, longer each time. At most a
// fixed share of the targets is ejected at a time, so a fault that all targets have in
// common doesn't leave the service without any.
//
// # Early shedding
//
// Answers carry the cutoff that a request of their route and organisation met, at the target
// or further down. While a cutoff is fresh, requests whose level is at or above it are
// refused here. Without news the cutoff rises until a few requests pass, which bring news.
package route
