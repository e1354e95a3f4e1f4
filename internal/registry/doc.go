// Package registry knows which targets exist, where, and in what state.
//
// # Concepts
//
// The registry is soft state: it is not in the replicated log, and after a loss
// of everything it is announced anew. It has three parts.
//
//   - Local holds the targets of this host. A target announces itself to the
//     node beside it and renews the announcement; without renewal it expires.
//   - Relay, at each control replica, holds the targets of all nodes. A node's
//     heartbeat brings its announced set to one replica, and replicas pass
//     changes and liveness on to each other.
//   - Directory, at each node, holds the targets of the services that the node
//     calls. It keeps its last view while control is away.
//
// # Order
//
// Each record carries the incarnation of the node that announced it and the
// value of that node's change counter. The higher pair wins, whatever order
// messages arrive in. A removed target leaves a tombstone with a higher pair,
// so that a late message can't bring it back. Incarnations of one node must
// increase from one process start to the next (peer.NewIncarnation).
//
// Liveness is kept apart from records: the targets of a node that was not heard
// for NodeTimeout are hidden, and they come back when the same incarnation is
// heard again. Heartbeats are counted and relayed ages are related to the
// receiver's own clock, so that late messages give no credit.
//
// # Data flow
//
//	target ──announce──▶ Local ──SyncRequest──▶ Relay ◀──RelayMessage──▶ Relay
//	                                              │
//	route ◀──View── Directory ◀──SyncResponse─────┘
package registry
