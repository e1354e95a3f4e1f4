// Package faultsoak runs the real programs, injects faults and checks the guarantees of the system.
//
// # Concepts
//
//   - The fleet is a set of node processes on loopback addresses, some of them with a control replica. A Proxy in
//     front of each node and each target delays, holds, resets or cuts connections.
//   - The plan is the list of Faults for a seed: signals that stop, kill, pause and resume processes, lost disks, and
//     faults of proxies, and loss of the power of all hosts. Faults overlap, but at most one host with a control
//     replica is impaired at a time otherwise, since three replicas tolerate the loss of one.
//   - Callers send bookings, uploads, lookups, requests with a home region, requests to targets that are cold at times,
//     and requests of an organisation far above its rate limit, over connections that they keep open. An operator
//     applies changes, and evacuates data centres (Evacuation). Targets record which requests they run.
//   - The Recorder collects what callers, targets and the operator observed, and lists the guarantees that were
//     violated (the broken promises in a report). It reads no clock and no network: all times are passed in.
//
// # Sequence of a run
//
//	start -> warm up -> faults of the plan -> all faults end -> recovery -> quiet time -> stop -> report
//
// In quiet time one target leaves and nearly all bookings must be served.
//
// The clocks of processes are not changed, as that needs privileges that the soak test doesn't have.
package faultsoak
