package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"unicode"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// DuplicateField is a field that occurs twice in one JSON object. Decoders keep the later one, so a part of the document
// would be dropped without notice.
type DuplicateField struct {
	// Path leads to the field, as in upserts[2].spec.host.
	Path string
	// First and Second are the offsets of both names, in bytes.
	First, Second int64
}

// Error names both places.
func (d *DuplicateField) Error() string {
	return fmt.Sprintf("%s occurs twice, at bytes %d and %d", d.Path, d.First, d.Second)
}

// jsonFrame is an object or list that the scan is in.
type jsonFrame struct {
	object bool
	// seen holds the offset of each field of an object.
	seen map[string]int64
	// exact is set if the names of fields are compared as they are.
	exact bool
	// field is the name of the last field of an object, awaitsValue that its value follows.
	field       string
	awaitsValue bool
	index       int
}

// jsonScan finds the first field that occurs twice.
type jsonScan struct {
	maps  []string
	stack []*jsonFrame
}

// FindDuplicateField returns the first field that occurs twice in an object of a JSON text, or nil. Like the decoder, it
// ignores the case of names, except in objects with free names, which are the values of the fields in maps. Text that is
// not JSON ends the scan.
func FindDuplicateField(data []byte, maps ...string) *DuplicateField {
	scan := &jsonScan{maps: maps}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	for {
		before := decoder.InputOffset()
		token, err := decoder.Token()
		if err != nil {
			return nil
		}
		top := scan.top()
		if name, ok := token.(string); ok && top != nil && top.object && !top.awaitsValue {
			at := before + int64(bytes.IndexByte(data[before:], '"'))
			if first, found := top.add(name, at); found {
				return &DuplicateField{Path: scan.path(), First: first, Second: at}
			}
			continue
		}
		switch token {
		case json.Delim('{'), json.Delim('['):
			scan.push(token == json.Delim('{'))
		case json.Delim('}'), json.Delim(']'):
			scan.stack = scan.stack[:len(scan.stack)-1]
			scan.valueEnded()
		default:
			scan.valueEnded()
		}
	}
}

func (s *jsonScan) top() *jsonFrame {
	if len(s.stack) == 0 {
		return nil
	}
	return s.stack[len(s.stack)-1]
}

func (s *jsonScan) push(object bool) {
	top := s.top()
	exact := top != nil && top.object && slices.Contains(s.maps, top.field)
	s.stack = append(s.stack, &jsonFrame{object: object, seen: map[string]int64{}, exact: exact})
}

// valueEnded notes the end of a value in the object or list around it.
func (s *jsonScan) valueEnded() {
	if top := s.top(); top != nil {
		top.awaitsValue = false
		top.index++
	}
}

// add notes a field. If it occurred before, add returns the earlier offset.
func (f *jsonFrame) add(name string, at int64) (first int64, found bool) {
	f.field, f.awaitsValue = name, true
	if !f.exact {
		name = FoldName(name)
	}
	if first, found = f.seen[name]; !found {
		f.seen[name] = at
	}
	return first, found
}

// path returns the path of the current field.
func (s *jsonScan) path() string {
	var path strings.Builder
	for _, f := range s.stack {
		switch {
		case !f.object:
			fmt.Fprintf(&path, "[%d]", f.index)
		case path.Len() > 0:
			path.WriteString("." + f.field)
		default:
			path.WriteString(f.field)
		}
	}
	return path.String()
}

// FoldName returns the form in which the JSON decoder compares names of fields.
func FoldName(name string) string {
	return strings.Map(func(r rune) rune {
		for {
			next := unicode.SimpleFold(r)
			if next <= r {
				return next
			}
			r = next
		}
	}, name)
}

// Duplicates returns a problem for each document of a change that occurs twice and for each key that one organisation
// has twice, with both places. It is not part of Check: configurations that were accepted before stay valid.
func Duplicates(resources []*apiv1.Resource) Problems {
	var problems Problems
	first := map[fieldKey]int{}
	for i, r := range resources {
		key := fieldKey{kind: r.GetKind(), name: r.GetName()}
		if j, found := first[key]; found {
			problems = append(problems, Problem{Kind: key.kind, Name: key.name, Field: "name",
				Message: fmt.Sprintf("occurs twice, as documents %d and %d of the change", j, i)})
			continue
		}
		first[key] = i
		if organisation, _ := decodeResource(r); r.GetKind() == KindOrganisation {
			if spec, ok := organisation.(*OrganisationSpec); ok {
				problems = append(problems, spec.duplicateKeys(key.name)...)
			}
		}
	}
	return problems
}

// duplicateKeys returns a problem for each key that occurs twice.
func (s *OrganisationSpec) duplicateKeys(name string) Problems {
	var problems Problems
	first := map[string]int{}
	for i, digest := range s.KeyDigests {
		digest = strings.ToLower(digest)
		if j, found := first[digest]; found {
			problems = append(problems, Problem{Kind: KindOrganisation, Name: name, Field: "spec.keyDigests",
				Message: fmt.Sprintf("places %d and %d have the same digest", j, i)})
			continue
		}
		first[digest] = i
	}
	return problems
}
