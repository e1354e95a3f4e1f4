// Package rate enforces the rate and burst of each organisation over the whole fleet.
//
// # Concepts
//
// Each organisation has one token bucket, kept by the owner of the shard that the
// organisation hashes to. A node spends tokens that it holds on a lease. Tokens out
// on lease occupy the burst: at the owner
//
//	level + outstanding <= burst
//
// always holds, and the bucket gains tokens only while the sum is below the burst.
// Outstanding tokens are freed by a report that they were spent or returned, or by the
// end of the lease at both ends. Hence the requests admitted in any window of length W
// are at most burst + rate*W, whatever messages are lost, repeated or delayed.
//
// There is one lease for each organisation and node. Its counters (granted, spent, returned)
// are totals since the lease began, so each message is complete by itself and any later
// message replaces an earlier one.
//
// While an owner is silent, a node may spend a share of the rate without a lease, if that is
// turned on (see SilentOwnerShare). These tokens are not covered by the bound above.
//
// # Time
//
// A node counts the validity of a lease from when it sent the request that renewed it; the
// owner counts from when it received the request and adds a margin for clock drift, so that
// the lease ends at the node first. The owner also accrues tokens at the rate less the
// drift bound. A new owner waits until the ownership lease of its predecessor and every
// lease granted under it have ended. Its buckets start with no tokens but Config.StartCredit.
//
// # Data flow
//
//	TryTake -> account (atomic counter of the lease, no lock)
//	Enqueue -> waiting list of the account, served by the next grant
//	Lessee.Requests -> one LeaseRequest a shard -> Allocator.Lease -> LeaseResponse -> Lessee.ApplyResponse
//
// Allocator and Lessee are free of I/O. Owner hosts allocators at a control replica; Client
// drives a Lessee at a node.
package rate
