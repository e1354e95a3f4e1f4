// Package clocktest helps tests with clocks that are set while a process runs.
package clocktest

import (
	"time"
	"unsafe"
)

// Set returns a reading of the clock with the time of day moved by step and the same monotonic reading, as time.Now returns it after the
// clock of the host was set. The reading must come from time.Now.
func Set(now time.Time, step time.Duration) time.Time {
	moved := now.Add(step)
	// The second word of a time.Time with a monotonic reading holds that reading.
	(*[2]int64)(unsafe.Pointer(&moved))[1] = (*[2]int64)(unsafe.Pointer(&now))[1]
	return moved
}
