// Package spread decides which share of a node's calls of a service leaves the node's data centre while the targets there
// are short.
//
// # Load
//
// Demand moves between data centres in waves, and each data centre has a few targets. All nodes of a data centre act on
// the same reports, which are up to a second old, so a node that sends calls to wherever there is room right now does
// what all others do at the same time.
//
// # Decision
//
// Each node estimates the use of its data centre that would result if no call left: the reported use divided by the share of the calls that
// stayed. The share is kept for as long as the reports are averaged, so that both belong to the same time, and a report that doesn't show
// the effect of the last change yet changes nothing. The share that leaves is what brings the use down to a goal. The goal rises with the
// use of the other data centres, so that calls don't move between data centres that are equally short; with the share itself, so that calls
// which two data centres exchange return; and with the additional time that a call takes elsewhere. Calls with large bodies leave less
// often than others.
//
// Where the calls go is drawn in proportion to the room of each target by its use averaged over a second (TargetUse), which
// doesn't react to a single report.
//
// # Data flow
//
//	load reports -> route.Picker -> Controller.Update (every 20 ms) -> Controller.Share (for each call)
//	             -> TargetUse.Add -> TargetUse.Weight (for each call that leaves)
//
// The package takes the time from its callers and uses no network. A Controller is a few numbers for each service.
package spread
