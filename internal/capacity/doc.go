// Package capacity measures how the cost of each role grows with its size.
//
// A role is a process or a part of one: node, control replica, registry relay, rate owner or
// run-record shard. A Slope holds one cost of a role, measured at three sizes or more, a straight
// line fitted to the measurements, and the value of that line at the planned size of a fleet.
//
// NodeSlopes, ControlSlopes and ConnectionSlopes measure through the exported functions of other packages, in one
// process; ConnectionSlopes alone uses the network, over loopback. WriteTable writes the result as a table.
// docs/CAPACITY.md contains these tables; `go run ./internal/capacity/cmd/slopes` regenerates them.
package capacity
