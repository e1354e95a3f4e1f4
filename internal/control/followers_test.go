//go:build !race

package control

// followerCount is the number of nodes that follow in the measurement of changes in force.
const followerCount = 500
