// Package runrecord keeps the records that make requests with an Idempotency-Key run at most once.
//
// # Concepts
//
// A record belongs to an organisation and an idempotency key. The execution of the request at a
// target is its run. An attempt to run the request is identified by node, incarnation of the node's
// process, and number. It must claim the record before the request is dispatched. The claim goes
// through the replicated log of the record's shard, so that at most one attempt among all nodes
// holds the record. A claim by another attempt returns that the request is running, with the
// address of the node at which to wait for its answer, or returns the recorded answer. A claim with
// the same key but another digest of method, path and body is a mismatch.
//
//	(none) --claim--> RUNNING --finish(yes)--> FINISHED
//	                     |----finish(unknown)--> LOST --finish(yes)--> FINISHED
//	                     |----no outcome in time--> LOST
//	                     `----finish(no)--> released, and may be claimed by another attempt
//
// The argument of finish says whether the request ran. A release that arrives before the claim of
// the same attempt is recorded, so that the late claim is refused.
//
// # Bounds
//
// A record is kept for a configured time after its last change. The table is bounded by number of
// records and by bytes. A claim beyond a bound is refused; no record is evicted early.
//
// # Time
//
// Applying a log entry is deterministic: the table takes the time only from the entries, and its
// time never goes back. The leader of the shard sets the time of an entry with a Stamper, which
// advances with the monotonic clock, so that a jump of the wall clock does not expire records early.
//
// # Data flow
//
//	Client.Claim, Client.Finish -> control replica -> log of the shard -> Table.Apply -> RunResponse
package runrecord
