//go:build !race

package control

// followerCount is the number of nodes that follow the configuration when its propagation is measured.
const followerCount = 500
