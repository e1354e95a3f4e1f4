// Package shed refuses new requests at their entry node when a service that they call, directly or
// through other services, is overloaded or fails too many calls.
//
// # Concepts
//
// A downstream service of a request is one that is called while the request is served, at any depth of
// the call tree. An overloaded service that refuses a call wastes the work already done for the request
// by the services above it. Calls of requests that have begun are therefore let through, and the entry
// admits only as many new requests as the most loaded downstream service can finish.
//
//   - A Meter belongs to one target. It compares the offered work with the target's capacity; a load of
//     1 is full.
//   - A LoadTracker holds, on each node, the latest load readings of each service's targets, and the number
//     of calls to each service that one request makes, by route where the route for which a target
//     makes a call is known. The load of a service is the mean over its targets: entries prefer the
//     targets of their own data centre, and one full target there must not shed requests that others
//     could serve. Readings travel in responses: the node beside a target adds the readings of the
//     services that its target called, so an entry learns of services that it never calls itself. A
//     node does not forward what it learned as an entry, so that readings can't circulate. Nodes with
//     targets of the same service exchange their readings, so that all entries act on the same load.
//   - A Shedder is the admission controller of an entry. For each service it holds the share of the
//     demand that is admitted, and adjusts the share by the reported load. The share goes to the most
//     important requests first; within one rank, requests are admitted at random.
//   - A service may refuse calls although it is not overloaded. A call that ends without a response from
//     the service is lost. Load trackers count the results of the calls that the host's target makes, and
//     forward the share that is lost. A Shedder refuses requests that are unlikely to finish, given the
//     loss on all calls of their call tree (chance.go).
//
// # Data flow
//
//	Meter.Load -> LoadTracker.Observe -> response -> LoadTracker.Learn -> Shedder.Admit
//	LoadTracker.CallEnded ----------------/
//	              LoadTracker.Readings <-> LoadTracker.Merge (between nodes with targets of one service)
//
// The package takes the time from its callers and uses no network.
package shed
