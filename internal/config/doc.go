// Package config turns configuration documents into the immutable snapshot that
// the data path reads.
//
// # Concepts
//
// A document (apiv1.Resource) has a kind, a name, labels and a spec. The kinds are:
//
//   - Organisation: a tenant to which callers belong, with its fair-share weight.
//   - Rate: the rate limit (requests per second and burst) of each organisation that its selector matches.
//   - Class: the priority of each route that its selector matches.
//   - Route: which requests go to which service, with timeout, retries and body limit.
//   - Target: operator settings for targets, the instances of a service, chosen by name or label selector.
//   - Callers: limits on the connections of callers; at most one document.
//
// Rate, Class and Target documents choose what they apply to by label selectors, so
// that operators regroup organisations, routes and targets by changing labels.
//
// # Data flow
//
//	YAML file --Parse--> documents --Check--> problems, or none
//	documents at a revision --Compile--> Snapshot --Match, ServiceRoute, TargetPolicy--> data path
//
// Parse validates the documents of one file and reports file, line and field of each problem.
// Check validates the whole configuration: it reports selectors that match nothing and
// labels that several documents select where only one may apply. A Snapshot is built once for
// each revision and never modified, so any number of readers use it without a lock.
package config
