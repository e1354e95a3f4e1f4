package store

import (
	"testing"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// documentOf returns a change whose document holds the named organisations.
func documentOf(version, base uint64, names ...string) *apiv1.Change {
	change := upsert("", names...)
	change.Document = &apiv1.Document{Version: version, Base: base}
	for _, name := range names {
		change.Document.Content = append(change.Document.Content, name...)
	}
	return change
}

const (
	accepted = apiv1.ChangeResult_CHANGE_RESULT_ACCEPTED
	conflict = apiv1.ChangeResult_CHANGE_RESULT_CONFLICT
	invalid  = apiv1.ChangeResult_CHANGE_RESULT_INVALID
)

// A document must delete the resources that it does not hold, and nodes must get only the differences.
func TestDocumentReplacesTheWholeConfiguration(t *testing.T) {
	s := New(nil)
	require.Equal(t, accepted, submit(t, s, documentOf(3, 0, "one", "two")).Result)
	require.Equal(t, accepted, submit(t, s, documentOf(7, 3, "two", "three")).Result)
	resources := s.ConfigSnapshot().Resources
	require.Len(t, resources, 2)
	require.Equal(t, "three", resources[0].Name)
	require.Equal(t, uint64(7), s.Document().Version)
	deltas := s.UpdateSince(1).Deltas
	require.Len(t, deltas, 1)
	require.Len(t, deltas[0].Upserts, 1, "the delta must hold only what differs")
	require.Len(t, deltas[0].Deletes, 1)
}

// Of two operators who derive documents from the same version, the second must get a conflict and not overwrite the
// first one's document. A resend must not be taken for such a second document.
func TestOnlyOneOfTwoDocumentsWithTheSameBaseIsAccepted(t *testing.T) {
	s := New(nil)
	submit(t, s, documentOf(1, 0, "one"))
	require.Equal(t, accepted, submit(t, s, documentOf(2, 1, "two")).Result)
	require.Equal(t, conflict, submit(t, s, documentOf(2, 1, "other")).Result, "another document with the same version is a conflict")
	require.Equal(t, conflict, submit(t, s, documentOf(3, 1, "other")).Result)
	require.Equal(t, accepted, submit(t, s, documentOf(2, 1, "two")).Result, "a resend returns the same result")
	require.Equal(t, accepted, submit(t, s, documentOf(4, 2, "four")).Result)
	require.Equal(t, accepted, submit(t, s, documentOf(2, 1, "two")).Result, "also after a later document was accepted")
	require.Equal(t, uint64(4), s.Document().Version)
}

// A refusal must not be recorded for a document: its base may become the current version later.
func TestRefusedDocumentMayBeAcceptedLater(t *testing.T) {
	s := New(nil)
	require.Equal(t, conflict, submit(t, s, documentOf(9, 5, "nine")).Result)
	submit(t, s, documentOf(5, 0, "five"))
	require.Equal(t, accepted, submit(t, s, documentOf(9, 5, "nine")).Result)
	require.Equal(t, invalid, submit(t, s, documentOf(8, 9, "eight")).Result, "the version must be above the current one")
}

// The document and the digests of accepted documents must be part of a snapshot; otherwise a restored replica would
// treat a resend as a new document.
func TestDocumentSurvivesASnapshot(t *testing.T) {
	s := New(nil)
	submit(t, s, documentOf(3, 0, "one"))
	data, err := s.Snapshot()
	require.NoError(t, err)
	restored := New(nil)
	require.NoError(t, restored.Restore(data))
	require.Equal(t, "one", string(restored.Document().Content))
	require.Equal(t, accepted, submit(t, restored, documentOf(3, 0, "one")).Result)
	require.Equal(t, uint64(1), restored.ConfigSnapshot().Revision, "a resend creates no revision")
}

// drainOf returns a change that drains a data centre.
func drainOf(id, name string) *apiv1.Change {
	return &apiv1.Change{Id: id, AnyRevision: true, Upserts: []*apiv1.Resource{{Kind: dataCentreKind, Name: name, Spec: []byte(`{"drain":true}`)}}}
}

// A drain of a data centre must outlive documents, a snapshot, and a document that tries to carry one; a document derived
// before the drain must still be accepted.
func TestDocumentNeitherCarriesNorRemovesADrain(t *testing.T) {
	s := New(nil)
	submit(t, s, documentOf(1, 0, "one"))
	require.Equal(t, accepted, submit(t, s, drainOf("drain", "kl")).Result)
	require.Equal(t, accepted, submit(t, s, documentOf(2, 1, "two")).Result)
	carrying := documentOf(3, 2, "three")
	carrying.Upserts = append(carrying.Upserts, drainOf("", "shah-alam").Upserts...)
	require.Equal(t, invalid, submit(t, s, carrying).Result)
	data, err := s.Snapshot()
	require.NoError(t, err)
	restored := New(nil)
	require.NoError(t, restored.Restore(data))
	drained, revision := restored.Resource(dataCentreKind, "kl")
	require.NotNil(t, drained)
	require.Equal(t, uint64(3), revision)
	other, _ := restored.Resource(dataCentreKind, "shah-alam")
	require.Nil(t, other)
	require.Equal(t, accepted, submit(t, restored, &apiv1.Change{Id: "undrain", AnyRevision: true, Deletes: []*apiv1.ResourceRef{{Kind: dataCentreKind, Name: "kl"}}}).Result)
	require.Len(t, restored.ConfigSnapshot().Resources, 1)
}

// The check of a document must see the drains that stay in force beside it.
func TestDocumentIsCheckedTogetherWithDrains(t *testing.T) {
	var checked []string
	s := New(func(resources []*apiv1.Resource) []string {
		checked = nil
		for _, r := range resources {
			checked = append(checked, r.Name)
		}
		return nil
	})
	submit(t, s, documentOf(1, 0, "one"))
	submit(t, s, drainOf("drain", "kl"))
	submit(t, s, documentOf(2, 1, "two"))
	require.Equal(t, []string{"kl", "two"}, checked)
}
