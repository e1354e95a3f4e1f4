// Package ratelab simulates the leasing of rate tokens in virtual time and measures what it admits and refuses.
//
// A Simulation is one simulation: nodes with their lessees, the owners of the shards, and links that delay,
// lose, repeat and reorder messages. It runs the same Lessee and Allocator as a node and a
// control replica, driven by an event queue with a fixed seed, so that each run gives the
// same figures. Every organisation's admissions are checked against an ideal bucket of the
// whole fleet: more than it allows is excess; a refusal of what it allows is wrongful.
//
// # Data flow
//
//	Flow -> Node.Request -> Lessee -> Link -> Allocator of the owner
//	Outcome of the request -> OutcomeCounter -> Result -> Print
package ratelab
