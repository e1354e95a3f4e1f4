// Package lab is a discrete-event simulation of load balancing, admission control and retries
// under load and faults.
//
// # Concepts
//
//   - Sim runs events in order of their virtual time, so a run repeats exactly.
//   - Deployment describes services, chains of calls, classes and organisations.
//   - run connects simulated callers and targets with the real decision code: admission.StateMachine
//     beside each target, route.Picker, retry.Allowance and retry.Budget at each node.
//   - Policy says which decisions are made by the product and which by a baseline.
//   - Scenario describes how load changes over time and which faults occur; Measure simulates it
//     and returns a Result.
//
// # Data flow
//
//	caller -> entry node -> Pick -> gate beside the target -> target -> sub-call -> ... -> answer
//
// A target holds one of its slots from the start of a request to its end, sub-calls included.
// A caller gives up after its timeout, which cancels the whole call tree, and may then retry.
//
// The simulation models neither threads nor bytes. It shows how the decisions share capacity, shed
// load and recover, not how fast the code is; benchmarks measure that.
package lab
