package store

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// maxAccepted is the number of accepted documents that are remembered to recognise resends.
const maxAccepted = 16384

// dataCentreKind is the kind of the resources that say which data centres are drained. Documents neither carry nor
// remove them: a drain ends only when an operator takes it back, whichever documents are submitted meanwhile.
const dataCentreKind = "DataCentre"

// A document replaces the whole configuration, except for the resources of dataCentreKind. It carries a version chosen by the operator and the
// base version that it was derived from, so that only one of two documents with the same base is accepted.
// Unlike those of other changes, its refusals are not recorded: a refused document may be valid later.

// Document returns the latest accepted document, or nil if there is none. The caller must not modify it.
func (s *Store) Document() *apiv1.Document {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.document
}

// documentDigest returns a hash that distinguishes a resend of a document from another one with the same version.
func documentDigest(d *apiv1.Document) []byte {
	sum := sha256.Sum256(mustMarshal(d))
	return sum[:]
}

// acceptedOutcome returns the outcome for a resend of an accepted document, or nil if it was not accepted before.
func (s *Store) acceptedOutcome(d *apiv1.Document) *apiv1.ChangeOutcome {
	digest := documentDigest(d)
	for _, a := range slices.Backward(s.accepted) {
		if a.Version == d.Version && bytes.Equal(a.Digest, digest) {
			return &apiv1.ChangeOutcome{Result: apiv1.ChangeResult_CHANGE_RESULT_ACCEPTED, Revision: s.revision}
		}
	}
	return nil
}

// documentProblems checks that the version of a document is above the current one, and that its change has no
// deletes, keys or data centres.
func (s *Store) documentProblems(change *apiv1.Change) []string {
	var problems []string
	if len(change.Deletes)+len(change.IssueKeys)+len(change.WithdrawKeys) > 0 {
		problems = append(problems, "a change with a whole document can't also delete resources, issue keys or withdraw keys")
	}
	for _, r := range change.Upserts {
		if r.Kind == dataCentreKind {
			problems = append(problems, fmt.Sprintf("a document can't carry %s %q; it has a change of its own", r.Kind, r.Name))
		}
	}
	if current := s.document.GetVersion(); change.Document.Version <= current {
		problems = append(problems, fmt.Sprintf("version %d is not above the current version %d", change.Document.Version, current))
	}
	return problems
}

// resourcesAfterDocument returns the resources as they would be after a document: its own and the data centres.
func (s *Store) resourcesAfterDocument(change *apiv1.Change) map[resourceID]*apiv1.Resource {
	after := resourcesByID(change.Upserts)
	for id, r := range s.resources {
		if id.kind == dataCentreKind {
			after[id] = r
		}
	}
	return after
}

// resourcesByID returns the resources by kind and name.
func resourcesByID(resources []*apiv1.Resource) map[resourceID]*apiv1.Resource {
	all := make(map[resourceID]*apiv1.Resource, len(resources))
	for _, r := range resources {
		all[resourceID{r.Kind, r.Name}] = r
	}
	return all
}

// applyDocument determines the outcome of a document and executes its change if it is accepted.
func (s *Store) applyDocument(command *apiv1.ChangeCommand) *apiv1.StoreReply {
	document := command.Change.Document
	if outcome := s.acceptedOutcome(document); outcome != nil {
		return &apiv1.StoreReply{Outcome: outcome}
	}
	outcome := &apiv1.ChangeOutcome{Revision: s.revision}
	switch {
	case document.Base != s.document.GetVersion():
		outcome.Result = apiv1.ChangeResult_CHANGE_RESULT_CONFLICT
	case command.BaseRevision != s.revision:
		return &apiv1.StoreReply{StaleValidation: true}
	case len(command.Problems) > 0:
		outcome.Result = apiv1.ChangeResult_CHANGE_RESULT_INVALID
		outcome.Problems = command.Problems
	default:
		outcome.Result = apiv1.ChangeResult_CHANGE_RESULT_ACCEPTED
		s.execute(s.documentChange(command.Change))
		outcome.Revision = s.revision
		s.accept(document)
	}
	return &apiv1.StoreReply{Outcome: outcome}
}

// accept makes a document the current one and remembers it for resends.
func (s *Store) accept(document *apiv1.Document) {
	s.document = document
	s.accepted = append(s.accepted, &apiv1.AcceptedDocument{Version: document.Version, Digest: documentDigest(document)})
	if surplus := len(s.accepted) - maxAccepted; surplus > 0 {
		s.accepted = slices.Delete(s.accepted, 0, surplus)
	}
}

// documentChange returns the change that turns the current resources into those of a document, so that nodes
// receive only what differs. It leaves the data centres as they are.
func (s *Store) documentChange(whole *apiv1.Change) *apiv1.Change {
	change := &apiv1.Change{}
	wanted := resourcesByID(whole.Upserts)
	for _, r := range sortedResources(wanted) {
		if !sameResource(s.resources[resourceID{r.Kind, r.Name}], r) {
			change.Upserts = append(change.Upserts, r)
		}
	}
	for _, r := range sortedResources(s.resources) {
		if r.Kind != dataCentreKind && wanted[resourceID{r.Kind, r.Name}] == nil {
			change.Deletes = append(change.Deletes, &apiv1.ResourceRef{Kind: r.Kind, Name: r.Name})
		}
	}
	return change
}

// sameResource reports whether two resources are equal apart from their revisions.
func sameResource(stored, wanted *apiv1.Resource) bool {
	if stored == nil || stored.Revision == wanted.Revision {
		return proto.Equal(stored, wanted)
	}
	copied := proto.CloneOf(stored)
	copied.Revision = wanted.Revision
	return proto.Equal(copied, wanted)
}
