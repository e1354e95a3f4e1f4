package store

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"sort"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// organisationKind is the kind of the resources to which keys belong.
const organisationKind = "Organisation"

// Digest returns a hash of a change. It distinguishes a resend of the change from another change with the same id.
func Digest(change *apiv1.Change) []byte {
	sum := sha256.Sum256(mustMarshal(change))
	return sum[:]
}

// RecordedOutcome returns the recorded outcome of a change that was sent before, or nil if there is none. If an earlier
// change had the same id but another content, the result is CHANGE_RESULT_ID_REUSED. Documents are identified by
// version and content instead of the id.
func (s *Store) RecordedOutcome(change *apiv1.Change) *apiv1.ChangeOutcome {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if change.Document != nil {
		return s.acceptedOutcome(change.Document)
	}
	return s.recorded(change.Id, Digest(change))
}

// Validate returns the command to propose for a change. It holds the change, the revision against which it
// was validated, and the problems that were found. The caller must propose it before it validates another
// change: if another change is applied first, Apply replies with StaleValidation.
func (s *Store) Validate(change *apiv1.Change) *apiv1.StoreCommand {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return &apiv1.StoreCommand{Change: &apiv1.ChangeCommand{
		Change:       change,
		BaseRevision: s.revision,
		Problems:     s.problems(change),
		Digest:       Digest(change),
	}}
}

// problems validates the change against the current state and returns the problems found. The caller holds mu.
func (s *Store) problems(change *apiv1.Change) []string {
	problems := duplicateProblems(change)
	if change.Document != nil {
		problems = append(problems, s.documentProblems(change)...)
		return append(problems, s.check(sortedResources(s.resourcesAfterDocument(change)))...)
	}
	if len(change.Upserts)+len(change.Deletes)+len(change.IssueKeys)+len(change.WithdrawKeys) == 0 {
		problems = append(problems, "the change is empty")
	}
	after, found := s.preview(change)
	problems = append(problems, found...)
	problems = append(problems, s.keyProblems(change, after)...)
	if len(problems) > 0 {
		return problems
	}
	return s.check(sortedResources(after))
}

// duplicateProblems returns a problem for each resource that a change sets or deletes twice: only one of the two would
// take effect.
func duplicateProblems(change *apiv1.Change) []string {
	var problems []string
	upserts := make(map[resourceID]int, len(change.Upserts))
	for i, resource := range change.Upserts {
		id := resourceID{resource.Kind, resource.Name}
		if j, found := upserts[id]; found {
			problems = append(problems, fmt.Sprintf("%s %q occurs twice, as resources %d and %d of the change", id.kind, id.name, j, i))
			continue
		}
		upserts[id] = i
	}
	deletes := make(map[resourceID]int, len(change.Deletes))
	for i, del := range change.Deletes {
		id := resourceID{del.Kind, del.Name}
		if j, found := deletes[id]; found {
			problems = append(problems, fmt.Sprintf("%s %q is deleted twice, in places %d and %d", id.kind, id.name, j, i))
			continue
		}
		deletes[id] = i
	}
	return problems
}

// preview returns the resources as they would be after the change.
func (s *Store) preview(change *apiv1.Change) (map[resourceID]*apiv1.Resource, []string) {
	after := make(map[resourceID]*apiv1.Resource, len(s.resources)+len(change.Upserts))
	for r, resource := range s.resources {
		after[r] = resource
	}
	var problems []string
	for _, del := range change.Deletes {
		r := resourceID{del.Kind, del.Name}
		if after[r] == nil {
			problems = append(problems, fmt.Sprintf("%s %q does not exist", del.Kind, del.Name))
		}
		delete(after, r)
	}
	for _, resource := range change.Upserts {
		if resource.Kind == "" || resource.Name == "" {
			problems = append(problems, "a resource lacks its kind or name")
			continue
		}
		after[resourceID{resource.Kind, resource.Name}] = resource
	}
	return after, problems
}

// keyProblems checks the keys that the change issues and withdraws, and that it deletes no organisation
// that still has valid keys.
func (s *Store) keyProblems(change *apiv1.Change, after map[resourceID]*apiv1.Resource) []string {
	var problems []string
	for _, key := range change.IssueKeys {
		if after[resourceID{organisationKind, key.Organisation}] == nil {
			problems = append(problems, fmt.Sprintf("a key names the unknown organisation %q", key.Organisation))
		}
		if len(key.Hash) == 0 {
			problems = append(problems, "a key lacks its hash")
		}
	}
	withdrawn := map[uint64]bool{}
	for _, number := range change.WithdrawKeys {
		if number == 0 || number > uint64(len(s.keys)) {
			problems = append(problems, fmt.Sprintf("key %d does not exist", number))
		}
		withdrawn[number] = true
	}
	for _, del := range change.Deletes {
		if del.Kind != organisationKind || after[resourceID{del.Kind, del.Name}] != nil {
			continue
		}
		if n := s.validKeys(del.Name, withdrawn); n > 0 {
			problems = append(problems, fmt.Sprintf("organisation %q still has %d valid keys", del.Name, n))
		}
	}
	return problems
}

// validKeys counts the keys of an organisation that are still valid after the given ones are withdrawn.
func (s *Store) validKeys(organisation string, withdrawn map[uint64]bool) int {
	count := 0
	for _, key := range s.keys {
		if key.Organisation == organisation && !key.Withdrawn && !withdrawn[key.Number] {
			count++
		}
	}
	return count
}

// recorded returns the outcome that is recorded under a change id, ID_REUSED if its digest differs, or nil. The
// caller holds mu.
func (s *Store) recorded(id string, digest []byte) *apiv1.ChangeOutcome {
	earlier := s.outcomes.get(id)
	if earlier == nil {
		return nil
	}
	if !bytes.Equal(earlier.Digest, digest) {
		return &apiv1.ChangeOutcome{Result: apiv1.ChangeResult_CHANGE_RESULT_ID_REUSED, Revision: s.revision}
	}
	return earlier.Outcome
}

// applyChange determines the outcome of a change and executes the change if it is accepted.
func (s *Store) applyChange(command *apiv1.ChangeCommand) *apiv1.StoreReply {
	change := command.Change
	if change.Document != nil {
		return s.applyDocument(command)
	}
	if outcome := s.recorded(change.Id, command.Digest); outcome != nil {
		return &apiv1.StoreReply{Outcome: outcome}
	}
	outcome := &apiv1.ChangeOutcome{Revision: s.revision}
	switch {
	case !change.AnyRevision && change.ExpectedRevision != s.revision:
		outcome.Result = apiv1.ChangeResult_CHANGE_RESULT_CONFLICT
	case command.BaseRevision != s.revision:
		return &apiv1.StoreReply{StaleValidation: true}
	case len(command.Problems) > 0:
		outcome.Result = apiv1.ChangeResult_CHANGE_RESULT_INVALID
		outcome.Problems = command.Problems
	default:
		outcome.Result = apiv1.ChangeResult_CHANGE_RESULT_ACCEPTED
		outcome.KeyNumbers = s.execute(change)
		outcome.Revision = s.revision
	}
	s.outcomes.add(&apiv1.RecordedOutcome{Id: change.Id, Digest: command.Digest, Outcome: outcome})
	return &apiv1.StoreReply{Outcome: outcome}
}

// execute applies an accepted change under the next revision, records its delta, and returns the numbers of the
// issued keys.
func (s *Store) execute(change *apiv1.Change) []uint64 {
	s.revision++
	s.snapshot = nil
	delta := &apiv1.ConfigDelta{Revision: s.revision, Deletes: change.Deletes}
	for _, del := range change.Deletes {
		s.configBytes -= proto.Size(s.resources[resourceID{del.Kind, del.Name}])
		delete(s.resources, resourceID{del.Kind, del.Name})
	}
	for _, resource := range change.Upserts {
		stored := proto.CloneOf(resource)
		stored.Revision = s.revision
		s.configBytes += proto.Size(stored) - proto.Size(s.resources[resourceID{stored.Kind, stored.Name}])
		s.resources[resourceID{stored.Kind, stored.Name}] = stored
		delta.Upserts = append(delta.Upserts, stored)
	}
	var numbers []uint64
	for _, key := range change.IssueKeys {
		stored := &apiv1.KeyRecord{
			Number:       uint64(len(s.keys)) + 1,
			Organisation: key.Organisation,
			Hash:         key.Hash,
			Revision:     s.revision,
		}
		s.keys = append(s.keys, stored)
		s.configBytes += proto.Size(stored)
		delta.Issued = append(delta.Issued, stored)
		numbers = append(numbers, stored.Number)
	}
	for _, number := range change.WithdrawKeys {
		stored := proto.CloneOf(s.keys[number-1])
		stored.Withdrawn = true
		stored.Revision = s.revision
		s.keys[number-1] = stored
		delta.Withdrawn = append(delta.Withdrawn, number)
	}
	s.deltas.add(delta)
	return numbers
}

// sortedResources returns the resources sorted by kind and name.
func sortedResources(resources map[resourceID]*apiv1.Resource) []*apiv1.Resource {
	list := make([]*apiv1.Resource, 0, len(resources))
	for _, resource := range resources {
		list = append(list, resource)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Kind != list[j].Kind {
			return list[i].Kind < list[j].Kind
		}
		return list[i].Name < list[j].Name
	})
	return list
}
