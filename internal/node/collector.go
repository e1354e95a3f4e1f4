package node

import (
	"os"
	"runtime/debug"
)

const (
	// GCPercent is the growth of the heap in percent between two garbage collections. A node's heap is
	// small and each call allocates, so Go's default of 100 would collect very often.
	GCPercent = 300
	// LowMemoryGCPercent is the growth in percent on hosts where memory is scarcer than processor time.
	LowMemoryGCPercent = 100
	// collectorEnvVariable is the environment variable from which the Go runtime reads the same setting.
	collectorEnvVariable = "GOGC"
)

// SetGCPercent sets the garbage collector's heap growth in percent for the whole process, unless the environment
// sets it.
func SetGCPercent(percent int) {
	if _, set := os.LookupEnv(collectorEnvVariable); !set {
		debug.SetGCPercent(percent)
	}
}
