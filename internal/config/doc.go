// Package config turns configuration documents into the immutable snapshot that
// the data path reads.
//
// # Concepts
//
// A document (apiv1.Resource) has a kind, a name, labels and a spec. The kinds are:
//
//   - Organisation: a caller's tenant, with its fair-share weight.
//   - Rate: tokens a second and burst for each organisation that its selector matches.
//   - Class: the priority of each route that its selector matches.
//   - Route: which requests go to which service, with timeout, attempts and body limit.
//   - Target: what the operators set for targets, chosen by name or selector.
//
// Documents refer to each other by selectors over labels, never by position, so
// that operators move organisations, routes and targets by changing labels.
//
// # Data flow
//
//	YAML file --Parse--> documents --Check--> problems, or none
//	documents at a revision --Compile--> Snapshot --Match, ServiceRoute, TargetPolicy--> data path
//
// Parse looks at one file and reports file, line and field of each fault. Check looks
// at the whole configuration: selectors that match nothing, or that leave open
// which document applies. A Snapshot is built once for each revision and never
// modified, so any number of readers use it without a lock.
package config
