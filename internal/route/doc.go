// Package route chooses the target of a call at the caller's node.
//
// # Concepts
//
// A Picker serves one service at one node. It knows the registered targets and keeps statistics
// for each: calls in flight, smoothed latency, outcomes, and the last load report of the node
// that runs on the target's host. Reports may be stale, so what this node observed itself takes
// precedence.
//
// # Data flow
//
//	registry view -> Update -> immutable table of targets; known ones keep their statistics
//	Pick -> shed by cutoff, or the better of two random targets -> Choice
//	Choice.Done(Observation) -> latency, outcomes, load, cutoff
//
// # Choice of a target
//
// Two targets of this node's data centre are drawn at random and the one with the lower score is
// taken (power of two choices); the score is load times latency. When it is loaded, two targets
// of other data centres compete as well. A target that came up recently, or was ejected, has its
// score raised until its slow start is over. Targets that leave, drain or are excluded by the
// query are not drawn.
//
// With Config.LearnedCapacity, calls are divided among the targets of the data centre by their free capacity instead, as
// the gates beside them have learned it, and leave the data centre gradually (learned.go).
//
// # Slow targets
//
// With Config.SlowRatio, latencies are kept for each route. A target is slow when its calls take, or have been
// unanswered for, a multiple of what the faster targets take. A slow target gets calls only when no other has room;
// after a while one call probes it. With Config.ScanAllTargets, all targets of the data centre are considered before a
// call goes to one that is full or slow.
//
// # Ejection
//
// A target whose recent calls failed is not picked for a while, longer each time. At most a
// fixed share of the targets is ejected at a time, so a fault that all targets have in
// common doesn't leave the service without any.
//
// # Early shedding
//
// A cutoff is the level from which a service sheds requests. Answers carry the cutoff that a
// request of their route and organisation met, at the target or at a service that it called.
// While a cutoff is fresh, requests whose level is at or above it are refused here. Without new
// answers the cutoff rises until a few requests pass, whose answers update it.
package route
