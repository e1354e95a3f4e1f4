package configcheck

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/config"
)

// ChangeKind says how a document differs from the one in force.
type ChangeKind string

// Kinds of changes.
const (
	// Added is a document that is not in force.
	Added ChangeKind = "added"
	// Changed is a document that is in force with other fields.
	Changed ChangeKind = "changed"
	// Removed is a document that is in force and was not given.
	Removed ChangeKind = "removed"
)

// Difference is a document, or a row of a table, that differs from the one in force.
type Difference struct {
	Change ChangeKind `json:"change"`
	Kind   string     `json:"kind"`
	Name   string     `json:"name,omitempty"`
	// Fields are sorted by name.
	Fields []FieldDifference `json:"fields,omitempty"`
}

// FieldDifference is a field with its values in force and given; a value that is not set is empty.
type FieldDifference struct {
	// Field is the path of the field, such as spec.timeout or labels.size.
	Field string          `json:"field"`
	Old   json.RawMessage `json:"old,omitempty"`
	New   json.RawMessage `json:"new,omitempty"`
}

// Diff returns the differences of a configuration from the one in force, sorted by kind and name. Digests of keys are
// replaced by their number and by how many of them are new or gone.
func Diff(inForce, given []*apiv1.Resource) ([]Difference, error) {
	type id struct{ kind, name string }
	ids := map[id]bool{}
	index := func(all []*apiv1.Resource) map[id]*apiv1.Resource {
		byID := make(map[id]*apiv1.Resource, len(all))
		for _, r := range all {
			byID[id{r.GetKind(), r.GetName()}] = r
			ids[id{r.GetKind(), r.GetName()}] = true
		}
		return byID
	}
	before, after := index(inForce), index(given)
	found := []Difference{}
	for _, key := range slices.SortedFunc(maps.Keys(ids), func(a, b id) int {
		return bytes.Compare([]byte(a.kind+"\x00"+a.name), []byte(b.kind+"\x00"+b.name))
	}) {
		d := Difference{Change: Changed, Kind: key.kind, Name: key.name}
		switch {
		case before[key] == nil:
			d.Change = Added
		case after[key] == nil:
			d.Change = Removed
		}
		var err error
		if d.Fields, err = diffFields(before[key], after[key]); err != nil {
			return nil, err
		}
		if d.Change != Changed || len(d.Fields) > 0 {
			found = append(found, d)
		}
	}
	return found, nil
}

// diffFields compares two documents field by field; one of them may be nil.
func diffFields(before, after *apiv1.Resource) ([]FieldDifference, error) {
	old, err := fields(before)
	if err != nil {
		return nil, err
	}
	given, err := fields(after)
	if err != nil {
		return nil, err
	}
	names := maps.Clone(old)
	maps.Copy(names, given)
	var found []FieldDifference
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if bytes.Equal(old[name], given[name]) {
			continue
		}
		d := FieldDifference{Field: name, Old: old[name], New: given[name]}
		if name == keyField {
			d.Old, d.New = countKeys(old[name], given[name])
		}
		found = append(found, d)
	}
	return found, nil
}

// fields returns the fields of a document in canonical JSON, by their paths.
func fields(r *apiv1.Resource) (map[string]json.RawMessage, error) {
	all := map[string]json.RawMessage{}
	if r == nil {
		return all, nil
	}
	canonical := &apiv1.Resource{Kind: r.GetKind(), Name: r.GetName(), Labels: r.GetLabels(), Spec: r.GetSpec()}
	if err := config.Canonicalise(canonical).Err(); err != nil {
		return nil, err
	}
	var spec map[string]json.RawMessage
	if err := json.Unmarshal(canonical.Spec, &spec); err != nil {
		return nil, err
	}
	for name, value := range spec {
		all["spec."+name] = value
	}
	for name, value := range r.GetLabels() {
		encoded, err := json.Marshal(value)
		if err != nil {
			return nil, err
		}
		all["labels."+name] = encoded
	}
	return all, nil
}

// countKeys replaces digests of keys by their numbers, in force and given, with the numbers that are gone and new.
func countKeys(before, after json.RawMessage) (old, given json.RawMessage) {
	was, is := digests(before), digests(after)
	describe := func(own, other []string, what string) json.RawMessage {
		if len(own) == 0 {
			return nil
		}
		text := "1 key"
		if len(own) > 1 {
			text = fmt.Sprintf("%d keys", len(own))
		}
		if n := len(slices.DeleteFunc(slices.Clone(own), func(d string) bool { return slices.Contains(other, d) })); n > 0 && len(other) > 0 {
			text += fmt.Sprintf(", %d of them %s", n, what)
		}
		encoded, _ := json.Marshal(text)
		return encoded
	}
	return describe(was, is, "gone"), describe(is, was, "new")
}

// digests decodes a list of digests; a missing one is empty.
func digests(raw json.RawMessage) []string {
	var list []string
	_ = json.Unmarshal(raw, &list)
	return list
}

// Place is where another format has a field: an entry and a field of it.
type Place struct{ Kind, Name, Field string }

// Relocate translates differences of documents to the places of another format. Fields for which locate has no place are
// left out, and documents that one entry was translated into become one difference. A field that several documents take from
// one entry is only a difference of that entry where they exist on both sides. An empty field asks for the entry itself.
func Relocate(all []Difference, locate func(kind, name, field string) (Place, bool)) []Difference {
	found := map[Place]*Difference{}
	entryOf := func(change ChangeKind, p Place) *Difference {
		key := Place{Kind: p.Kind, Name: p.Name}
		if found[key] == nil {
			found[key] = &Difference{Change: change, Kind: p.Kind, Name: p.Name}
		}
		return found[key]
	}
	for _, d := range all {
		own, known := locate(d.Kind, d.Name, "")
		if known && d.Change != Changed {
			entryOf(d.Change, own)
		}
		for _, f := range d.Fields {
			p, known := locate(d.Kind, d.Name, f.Field)
			shared := p.Kind != own.Kind || p.Name != own.Name
			if !known || shared && d.Change != Changed {
				continue
			}
			entry := entryOf(d.Change, p)
			if !slices.ContainsFunc(entry.Fields, func(o FieldDifference) bool { return o.Field == p.Field }) {
				entry.Fields = append(entry.Fields, FieldDifference{Field: p.Field, Old: f.Old, New: f.New})
			}
		}
	}
	list := make([]Difference, 0, len(found))
	for _, d := range found {
		slices.SortFunc(d.Fields, func(a, b FieldDifference) int { return cmp.Compare(a.Field, b.Field) })
		list = append(list, *d)
	}
	slices.SortFunc(list, func(a, b Difference) int { return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name)) })
	return list
}
