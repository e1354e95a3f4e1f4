//go:build race

package control

// followerCount is lower under the race detector, whose runtime fails an internal check beyond some
// thousand goroutines.
const followerCount = 20
