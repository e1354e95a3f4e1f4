// Package runrecord keeps the records of requests that carry an Idempotency-Key.
//
// # Concepts
//
// A record belongs to an organisation and a key. An attempt claims it before dispatch;
// the claim goes through the replicated log of the record's shard, so that among all nodes
// at most one attempt holds it. A later claim of another attempt learns that the run is
// under way and where to join it, or gets the recorded answer. The same key with another
// digest of method, path and body is a mismatch.
//
//	(none) --claim--> RUNNING --finish(yes)--> FINISHED
//	                     |----finish(unknown)--> LOST --finish(yes)--> FINISHED
//	                     |----no outcome in time--> LOST
//	                     `----finish(no)--> released, and may be claimed by another attempt
//
// A release that comes before its claim bars the attempt, so that a late claim holds nothing.
//
// # Bounds
//
// A record is kept for a stated time after its last change. The table is bounded by count
// and bytes; a claim beyond a bound is refused, and no record is forgotten early.
//
// # Time
//
// Applying an entry is deterministic: time comes only in the entries, and runs forward.
// Stamper gives the leader of the shard a time that advances with its monotonic clock, so
// that a jump of the wall clock does not end records early.
//
// # Data flow
//
//	Client.Claim -> control replica -> log of the shard -> Table.Apply -> RunResponse
package runrecord
