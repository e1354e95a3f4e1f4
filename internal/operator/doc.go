// Package operator is the HTTP/JSON interface for operators, and its client.
//
// # Routes
//
//	GET    /v1/configuration  documents at the current revision
//	GET    /v1/keys           keys, without hashes; ?organisation=NAME for one organisation
//	POST   /v1/changes        one change, which takes effect wholly or not at all
//	GET    /v1/status         control replicas, nodes, targets, and the answering node
//	DELETE /v1/replicas/{id}  remove a control replica that does not come back
//	GET    /debug/vars        metrics (expvar)
//
// Every request carries the operators' token as Authorization: Bearer. Errors are
// RFC 9457 problems with a stable code and, for changes, whether the change applied.
//
// # Changes
//
// A change has an id that the client chooses, and the revision that it was made
// against. A resend with the same id and contents returns the recorded outcome, so that the
// client resends over other nodes when an answer is lost. Of changes that race with
// the same expected revision one is accepted; the others get a conflict that names
// the current revision.
package operator
