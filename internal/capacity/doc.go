// Package capacity measures how the cost of each role grows with its size.
//
// A Slope holds one cost at three sizes or more, a straight line fitted to them, and the value
// of that line at the stated target size. The parts are measured through their exported
// functions, in one process, without network. docs/CAPACITY.md rests on these
// tables; `go run ./internal/capacity/cmd/slopes` regenerates them.
package capacity
