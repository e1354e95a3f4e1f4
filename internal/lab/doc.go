// Package lab measures the decisions of a node under load and faults, in virtual time.
//
// # Parts
//
//   - Sim runs events in order of their virtual time, so a run repeats exactly.
//   - Deployment describes services, chains of calls, classes and organisations.
//   - run puts fakes of callers and targets around the product's own cores: admission.Core
//     beside each target, route.Picker, retry.Allowance and retry.Budget at each node.
//   - Policy says which decisions are made by the product and which by a baseline.
//   - Scenario is a course of load and faults; Measure runs it and returns a Result.
//
// # Course of a request
//
//	caller -> entry node -> Pick -> gate beside the target -> target -> sub-call -> ... -> answer
//
// A target holds one of its slots from the start of a request to its end, sub-calls included.
// Callers give up after their timeout, which cancels the tree, and send again.
//
// The lab models neither threads nor bytes. It answers how the decisions share, shed and
// recover, not how fast the code is; benchmarks do that.
package lab
