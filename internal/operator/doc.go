// Package operator implements the HTTP/JSON API for operators, and its client.
//
// # Concepts
//
// Every node serves this API at its operators' address. The node forwards requests for the
// configuration to the control plane, the replicas that store the configuration and know the nodes
// and targets of the fleet. Every request must have the operators' token as Authorization: Bearer.
// Errors are RFC 9457 problem documents with a stable code and, for changes, whether the change
// was applied.
//
// # Changes
//
// A change has an id that the client chooses, and the revision of the configuration that it was
// made against. A resend with the same id and contents returns the recorded outcome, so that the
// client can resend a change through another node when the answer is lost. Of concurrent changes
// with the same expected revision, one is accepted; the others get a conflict with the current
// revision.
//
// # Routes
//
//	GET    /v1/configuration  all documents at the current revision
//	GET    /v1/keys           keys, without hashes; ?organisation=NAME for one organisation
//	POST   /v1/changes        make one atomic change
//	GET    /v1/status         state of the control replicas, nodes, targets, and the answering node
//	DELETE /v1/replicas/{id}  remove a control replica that will not return
//	GET    /debug/vars        metrics (expvar)
//
// # Data flow
//
//	Client.Change -> handler -> Control.Propose -> AcceptedChange or Problem
//	Client.Configuration, Client.Keys -> handler -> Control.Sync -> Configuration, KeyList
//	Client.Status -> handler -> Control.Status, LocalSource -> Status
package operator
