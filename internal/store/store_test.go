package store

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

func apply(t *testing.T, s *Store, command *apiv1.StoreCommand) *apiv1.StoreReply {
	data, err := proto.Marshal(command)
	require.NoError(t, err)
	reply := &apiv1.StoreReply{}
	require.NoError(t, proto.Unmarshal(s.Apply(1, data), reply))
	return reply
}

func submit(t *testing.T, s *Store, change *apiv1.Change) *apiv1.ChangeOutcome {
	return apply(t, s, s.Validate(change)).Outcome
}

func upsert(id string, names ...string) *apiv1.Change {
	change := &apiv1.Change{Id: id, AnyRevision: true}
	for _, name := range names {
		change.Upserts = append(change.Upserts, &apiv1.Resource{Kind: organisationKind, Name: name, Spec: []byte("{}")})
	}
	return change
}

func issue(id, organisation string, n int) *apiv1.Change {
	change := &apiv1.Change{Id: id, AnyRevision: true}
	for range n {
		change.IssueKeys = append(change.IssueKeys, &apiv1.KeyRecord{Organisation: organisation, Hash: []byte("hash")})
	}
	return change
}

// A refused change must leave no part of it behind, and a resend must get the recorded refusal.
func TestChangeTakesEffectAsAWholeOrNotAtAll(t *testing.T) {
	s := New(func(resources []*apiv1.Resource) []string {
		if len(resources) > 2 {
			return []string{"too many"}
		}
		return nil
	})
	require.Equal(t, apiv1.ChangeResult_CHANGE_RESULT_ACCEPTED, submit(t, s, upsert("a", "one", "two")).Result)
	refused := submit(t, s, upsert("b", "one", "three"))
	require.Equal(t, apiv1.ChangeResult_CHANGE_RESULT_INVALID, refused.Result)
	require.Equal(t, []string{"too many"}, refused.Problems)
	require.Len(t, s.ConfigSnapshot().Resources, 2)
	require.Equal(t, uint64(1), s.ConfigSnapshot().Resources[0].Revision)
	require.Equal(t, refused.Problems, submit(t, s, upsert("b", "one", "three")).Problems, "a resend returns the recorded refusal")
}

// The problems found in a validation against an earlier revision must not decide about a change: the configuration may
// be another one by then.
func TestResultOfAStaleValidationIsNotUsed(t *testing.T) {
	s := New(nil)
	early := s.Validate(upsert("a", "one"))
	submit(t, s, upsert("b", "two"))
	require.True(t, apply(t, s, early).StaleValidation)
	require.Equal(t, uint64(2), submit(t, s, upsert("a", "one")).Revision)
	expected := upsert("c", "three")
	expected.AnyRevision, expected.ExpectedRevision = false, 1
	conflict := submit(t, s, expected)
	require.Equal(t, apiv1.ChangeResult_CHANGE_RESULT_CONFLICT, conflict.Result)
	require.Equal(t, uint64(2), conflict.Revision)
}

// Key numbers must be unique also when a change is resent, and an organisation with valid keys must not be deleted.
func TestKeysGetSequentialNumbersAndAreWithdrawn(t *testing.T) {
	s := New(nil)
	require.Equal(t, apiv1.ChangeResult_CHANGE_RESULT_INVALID, submit(t, s, issue("early", "one", 1)).Result)
	submit(t, s, upsert("a", "one"))
	require.Equal(t, []uint64{1, 2, 3}, submit(t, s, issue("k", "one", 3)).KeyNumbers)
	require.Equal(t, []uint64{1, 2, 3}, submit(t, s, issue("k", "one", 3)).KeyNumbers, "a resend issues nothing")
	require.Equal(t, []uint64{4}, submit(t, s, issue("l", "one", 1)).KeyNumbers)
	withdraw := &apiv1.Change{Id: "w", AnyRevision: true, WithdrawKeys: []uint64{2}}
	submit(t, s, withdraw)
	news := s.UpdateSince(s.ConfigSnapshot().Revision - 1)
	require.Equal(t, []uint64{2}, news.Deltas[0].Withdrawn)
	unknown := &apiv1.Change{Id: "x", AnyRevision: true, WithdrawKeys: []uint64{9}}
	require.Equal(t, []string{"key 9 does not exist"}, submit(t, s, unknown).Problems)
	remove := &apiv1.Change{Id: "r", AnyRevision: true, Deletes: []*apiv1.ResourceRef{{Kind: organisationKind, Name: "one"}}}
	require.Equal(t, []string{`organisation "one" still has 3 valid keys`}, submit(t, s, remove).Problems)
	remove.Id, remove.WithdrawKeys = "r2", []uint64{1, 3, 4}
	require.Equal(t, apiv1.ChangeResult_CHANGE_RESULT_ACCEPTED, submit(t, s, remove).Result)
}

// TestNodesCatchUpFromEveryRevision applies the result of UpdateSince to the state of every earlier revision. A node
// must reach the current state from each, by deltas or by a snapshot. Also checks that a restored store is equal.
func TestNodesCatchUpFromEveryRevision(t *testing.T) {
	s := New(nil)
	states := []map[string]uint64{{}}
	for i := range 200 {
		change := upsert(fmt.Sprint(i), fmt.Sprint("org-", i%60))
		if i%7 == 6 {
			change.Deletes = append(change.Deletes, &apiv1.ResourceRef{Kind: organisationKind, Name: fmt.Sprint("org-", (i-3)%60)})
		}
		submit(t, s, change)
		states = append(states, revisionsByName(s.ConfigSnapshot()))
	}
	latest := s.ConfigSnapshot()
	snapshots, deltas := 0, 0
	for revision := range latest.Revision {
		news := s.UpdateSince(revision)
		if news.Snapshot != nil {
			snapshots++
			require.Equal(t, latest.Revision, news.Snapshot.Revision)
			continue
		}
		deltas++
		state := states[revision]
		for i, delta := range news.Deltas {
			require.Equal(t, revision+uint64(i)+1, delta.Revision)
			for _, del := range delta.Deletes {
				delete(state, del.Name)
			}
			for _, resource := range delta.Upserts {
				state[resource.Name] = resource.Revision
			}
		}
		require.Equal(t, revisionsByName(latest), state)
	}
	require.Positive(t, snapshots, "for a node far behind the snapshot is smaller")
	require.Positive(t, deltas)
	require.Empty(t, s.UpdateSince(latest.Revision+5).Deltas, "a node that is ahead gets nothing")

	restored := New(nil)
	data, err := s.Snapshot()
	require.NoError(t, err)
	require.NoError(t, restored.Restore(data))
	again, err := restored.Snapshot()
	require.NoError(t, err)
	require.Equal(t, data, again)
	require.Equal(t, s.configBytes, restored.configBytes)
	require.Equal(t, uint64(1), submit(t, restored, upsert("0", "org-0")).Revision, "a restored store returns the recorded outcome")
}

// revisionsByName returns the revisions of the resources by name.
func revisionsByName(snapshot *apiv1.ConfigSnapshot) map[string]uint64 {
	state := map[string]uint64{}
	for _, resource := range snapshot.Resources {
		state[resource.Name] = resource.Revision
	}
	return state
}

// The outcomes and deltas must not grow without limit, and a node that needs a dropped delta must get a snapshot.
func TestHistoryIsBounded(t *testing.T) {
	s := New(nil)
	for i := range maxOutcomes + 10 {
		submit(t, s, upsert(fmt.Sprint(i), fmt.Sprint("org-", i%5)))
	}
	require.Len(t, s.outcomes.byID, maxOutcomes)
	require.Len(t, s.deltas.deltas, maxDeltas)
	require.NotNil(t, s.UpdateSince(1).Snapshot, "a node that needs a dropped delta must get a snapshot")
}

// An assignment that was made without knowledge of the previous one must not take a shard from its new owner.
func TestAssignmentsAreFencedByEpoch(t *testing.T) {
	s := New(nil)
	apply(t, s, &apiv1.StoreCommand{Setup: &apiv1.ClusterSetup{RateShards: 2, RunShards: 3}})
	assign := func(epoch, replica uint64) {
		apply(t, s, &apiv1.StoreCommand{Assignment: &apiv1.ShardAssignment{
			Owners: []*apiv1.ShardOwner{{Shard: 1, Epoch: epoch, Replica: replica}, {Shard: 9}},
		}})
	}
	assign(0, 7)
	assign(0, 8) // made without knowledge of the first assignment
	owner := s.PublishedState().Load().Owners[1]
	require.Equal(t, uint64(7), owner.Replica)
	require.Equal(t, uint64(1), owner.Epoch)
	assign(1, 8)
	require.Equal(t, uint64(2), s.PublishedState().Load().Owners[1].Epoch)
	apply(t, s, &apiv1.StoreCommand{Setup: &apiv1.ClusterSetup{RateShards: 5, RunShards: 5}})
	require.Len(t, s.PublishedState().Load().Owners, 2, "a second setup must not change the numbers of shards")
}

// Guards against a change that sets or deletes a resource twice, of which one would be dropped, whoever proposes it.
func TestChangeThatNamesAResourceTwiceIsRefused(t *testing.T) {
	s := New(func([]*apiv1.Resource) []string { return nil })
	require.Equal(t, apiv1.ChangeResult_CHANGE_RESULT_ACCEPTED, submit(t, s, upsert("a", "one")).Result)
	deletes := &apiv1.Change{Id: "c", AnyRevision: true, Deletes: []*apiv1.ResourceRef{{Kind: organisationKind, Name: "one"}, {Kind: organisationKind, Name: "one"}}}
	whole := upsert("d", "two", "two")
	whole.Document = &apiv1.Document{Version: 1}
	for change, want := range map[*apiv1.Change]string{
		upsert("b", "two", "three", "two"): `Organisation "two" occurs twice, as resources 0 and 2 of the change`,
		deletes:                            `Organisation "one" is deleted twice, in places 0 and 1`,
		whole:                              `Organisation "two" occurs twice, as resources 0 and 1 of the change`,
	} {
		outcome := submit(t, s, change)
		require.Equal(t, apiv1.ChangeResult_CHANGE_RESULT_INVALID, outcome.Result, change.Id)
		require.Contains(t, outcome.Problems, want)
	}
	require.Len(t, s.ConfigSnapshot().Resources, 1)
}
