// Package quarantine keeps a request that crashes targets from crashing more of them. It does no I/O: callers pass the time and exchange
// records.
//
// # Concepts
//
//   - A Fingerprint identifies requests that are the same to their target: service, method, host, path, caller and body.
//   - A Crash is the evidence against a request: it was in flight at a target whose process ended. All requests in flight at
//     that moment get the evidence, since nothing tells which of them caused the crash.
//   - A suspect is a request with a crash and without a completed run since. It runs on trial only: at one target of the fleet, with few other
//     suspects. A suspect in two crashes, or in one with few others, runs alone: the target runs nothing else meanwhile.
//   - A completed run clears a request of all evidence. A request that a node has seen complete a short time before its first crash is no suspect yet.
//   - A request is quarantined, and refused without being run, when a target crashed that it had to itself on trial, after
//     another crash. Quarantine ends after a time that doubles with each further crash; then the request is a suspect again.
//     A second crash on trial beside others proves nothing and quarantines for a short time, so that the next trial does not take the last target.
//
// All of this is derived from the crashes in a Record, so nodes that know the same crashes decide the same. Records merge by the union of their crashes and
// the latest clearing, in any order and any number of times.
//
// # Data flow
//
//	gate: target crashed -> Table.Crashed -> Record -> all nodes with targets of the service -> Table.Merge
//	gate: call -> Table.Check -> run, trial at a target, or refusal
//	gate: call completed -> Table.Completed -> Record -> other nodes
package quarantine
