package configcheck

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestDiff guards against differences that are missed, that are reported for equal documents in another order or form, and
// against digests of keys in them.
func TestDiff(t *testing.T) {
	digest := func(c string) string { return strings.Repeat(c, 64) }
	before := parse(t, strings.Replace(base, "{size: large}}\n", "{size: large, old: x}, spec: {keyDigests: ["+digest("a")+", "+digest("b")+"]}}\n", 1)+
		"---\n{kind: Target, name: gone, spec: {service: jadual, target: j1, slots: 3}}")
	after := parse(t, "{kind: Route, name: new, spec: {service: jadual, pathPrefix: /new, open: true}}\n---\n"+
		strings.NewReplacer("{size: large}}\n", "{size: large}, spec: {keyDigests: ["+digest("a")+", "+digest("c")+", "+digest("d")+"]}}\n", "timeout: 2s", "timeout: 2000ms, goal: 1s").Replace(base))
	got, err := Diff(before, after)
	require.NoError(t, err)
	encoded, err := json.Marshal(got)
	require.NoError(t, err)
	require.JSONEq(t, `[
		{"change":"changed","kind":"Organisation","name":"court","fields":[
			{"field":"labels.old","old":"x"},
			{"field":"spec.keyDigests","old":"2 keys, 1 of them gone","new":"3 keys, 2 of them new"}]},
		{"change":"added","kind":"Route","name":"new","fields":[
			{"field":"spec.open","new":true},{"field":"spec.pathPrefix","new":"/new"},{"field":"spec.service","new":"jadual"}]},
		{"change":"changed","kind":"Route","name":"schedule","fields":[{"field":"spec.goal","new":"1s"}]},
		{"change":"removed","kind":"Target","name":"gone","fields":[
			{"field":"spec.service","old":"jadual"},{"field":"spec.slots","old":3},{"field":"spec.target","old":"j1"}]}]`, string(encoded))

	got, err = Diff(before, before)
	require.NoError(t, err)
	require.Equal(t, []Difference{}, got)
}

// TestRelocate guards against an entry that occurs twice in a difference since two documents were translated from it,
// against derived documents in it, and against a common limit that each new entry repeats.
func TestRelocate(t *testing.T) {
	locate := func(kind, name, field string) (Place, bool) {
		switch {
		case kind == "Class", field == "spec.derived":
			return Place{}, false
		case field == "spec.common":
			return Place{Kind: "limits", Field: "common"}, true
		}
		return Place{Kind: "table", Name: name, Field: strings.TrimPrefix(field, "spec.")}, true
	}
	field := func(name string) FieldDifference { return FieldDifference{Field: name, New: json.RawMessage("1")} }
	got := Relocate([]Difference{
		{Change: Added, Kind: "Class", Name: "c", Fields: []FieldDifference{field("spec.x")}},
		{Change: Changed, Kind: "A", Name: "one", Fields: []FieldDifference{field("spec.b"), field("spec.common"), field("spec.derived")}},
		{Change: Changed, Kind: "B", Name: "one", Fields: []FieldDifference{field("spec.a"), field("spec.b")}},
		{Change: Changed, Kind: "A", Name: "two", Fields: []FieldDifference{field("spec.common")}},
		{Change: Changed, Kind: "A", Name: "four", Fields: []FieldDifference{field("spec.derived")}},
		{Change: Added, Kind: "A", Name: "three", Fields: []FieldDifference{field("spec.common"), field("spec.derived")}},
	}, locate)
	require.Equal(t, []Difference{
		{Change: Changed, Kind: "limits", Fields: []FieldDifference{field("common")}},
		{Change: Changed, Kind: "table", Name: "one", Fields: []FieldDifference{field("a"), field("b")}},
		{Change: Added, Kind: "table", Name: "three"},
	}, got)
}
