// Package registry tracks which targets exist, at which address, and in which state.
//
// # Concepts
//
// A target is a server process that handles requests for a service. A node is the
// proxy process on a host; it handles the targets of that host. Control replicas
// form the control plane.
//
// The registry is soft state: it is not part of the replicated log, and after a
// total loss it is rebuilt from new announcements. It has three parts.
//
//   - Local holds the targets of this host. A target announces itself to the
//     node on its host and renews the announcement; without renewal it expires.
//   - Relay, at each control replica, holds the targets of all nodes. A node
//     sends its announced set to one replica with its heartbeats, and replicas
//     forward changes and node liveness to each other.
//   - Directory, at each node, holds the targets of the services to which the
//     node subscribes. It keeps its last view while no control replica is reachable.
//
// # Ordering
//
// Each record carries the incarnation of the node that announced it and the
// value of that node's change counter. The higher pair wins, regardless of the
// order in which messages arrive. A removed target leaves a tombstone with a
// higher pair, so that a delayed message can't restore it. Incarnations of one node must
// increase from one process start to the next (peer.NewIncarnation).
//
// Liveness is tracked separately from records. The targets of a node without a
// heartbeat for NodeTimeout are hidden; they become visible again with the next
// heartbeat of the same incarnation. Heartbeats carry sequence numbers, and ages
// in messages between replicas are converted to the receiver's own clock, so that
// delayed messages don't make a node appear alive.
//
// # Data flow
//
//	target ──announce──▶ Local ──SyncRequest──▶ Relay ◀──RelayMessage──▶ Relay
//	                                              │
//	route ◀──View── Directory ◀──SyncResponse─────┘
package registry
