package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// fieldReport reports a problem of a field, with the YAML node that has it.
type fieldReport func(node *yaml.Node, field, format string, args ...any)

// decodeNode decodes a spec from a YAML node and reports unknown, duplicate and
// ill-typed fields. It returns the node of each field that is present.
func decodeNode(into spec, node *yaml.Node, report fieldReport) map[string]*yaml.Node {
	fieldNodes := map[string]*yaml.Node{}
	if node == nil || node.Kind == 0 {
		return fieldNodes
	}
	if node.Kind != yaml.MappingNode {
		report(node, "", "must be a mapping of fields")
		return fieldNodes
	}
	fields := specFields(into)
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		field, known := fields[key.Value]
		switch {
		case !known:
			report(key, key.Value, "unknown field; allowed: %s", strings.Join(sortedKeys(fields), ", "))
		case fieldNodes[key.Value] != nil:
			report(key, key.Value, "is given twice")
		default:
			fieldNodes[key.Value] = value
			if err := value.Decode(field.Addr().Interface()); err != nil {
				report(value, key.Value, "%s", decodeErrorMessage(err))
			}
		}
	}
	return fieldNodes
}

// specFields returns the settable fields of a spec by their YAML names.
func specFields(into spec) map[string]reflect.Value {
	value := reflect.ValueOf(into).Elem()
	fields := make(map[string]reflect.Value, value.NumField())
	for i := range value.NumField() {
		name := value.Type().Field(i).Tag.Get("yaml")
		fields[name] = value.Field(i)
	}
	return fields
}

// decodeErrorMessage returns the message of a YAML decoding error without the library's prefix and line.
func decodeErrorMessage(err error) string {
	var typed *yaml.TypeError
	if errors.As(err, &typed) && len(typed.Errors) > 0 {
		_, message, found := strings.Cut(typed.Errors[0], ": ")
		if found {
			return message
		}
	}
	return strings.TrimPrefix(err.Error(), "yaml: ")
}

// decodeResource decodes and validates a stored document. Its problems have no file and line.
func decodeResource(r *apiv1.Resource) (spec, Problems) {
	problem := Problem{Kind: r.GetKind(), Name: r.GetName()}
	decoded := newSpec(r.GetKind())
	if decoded == nil {
		problem.Field = "kind"
		problem.Message = unknownKind(r.GetKind())
		return nil, Problems{problem}
	}
	problems := envelopeProblems(r)
	if err := decodeJSON(r.GetSpec(), decoded); err != nil {
		problem.Field = "spec"
		problem.Message = err.Error()
		return nil, append(problems, problem)
	}
	decoded.check(func(field, format string, args ...any) {
		problem.Field = "spec." + field
		problem.Message = fmt.Sprintf(format, args...)
		problems = append(problems, problem)
	})
	return decoded, problems
}

// decodeJSON decodes exactly one JSON value and rejects unknown fields. Empty data is valid.
func decodeJSON(data []byte, into any) error {
	if len(data) == 0 {
		return nil
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return errors.WithMessage(err, "is not valid")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return errors.New("holds more than one value")
	}
	return nil
}

// envelopeProblems validates the name and labels of a document.
func envelopeProblems(r *apiv1.Resource) Problems {
	problem := Problem{Kind: r.GetKind(), Name: r.GetName()}
	var problems Problems
	if valid, rule := validResourceName(r.GetKind(), r.GetName()); !valid {
		problem.Field = "name"
		problem.Message = fmt.Sprintf("%q is not a name; allowed: %s", r.GetName(), rule)
		problems = append(problems, problem)
	}
	for _, message := range labelProblems(r.GetLabels()) {
		problem.Field = "labels"
		problem.Message = message
		problems = append(problems, problem)
	}
	return problems
}

// unknownKind returns the error message for an unknown kind.
func unknownKind(kind string) string {
	return fmt.Sprintf("%q is not a kind; allowed: %s", kind, strings.Join(Kinds(), ", "))
}

// Canonicalise replaces the spec of a document by its canonical JSON. It reports the problems of
// the document by itself; Check finds conflicts between documents.
func Canonicalise(r *apiv1.Resource) Problems {
	decoded, problems := decodeResource(r)
	if len(problems) > 0 {
		return problems
	}
	r.Spec = encodeSpec(decoded)
	return nil
}

// encodeSpec returns the canonical JSON of a valid spec.
func encodeSpec(decoded spec) []byte {
	canonical, err := json.Marshal(decoded)
	if err != nil {
		panic(errors.Wrap(err, "encode a valid spec as JSON"))
	}
	return canonical
}

// NewResource returns the document that holds a spec: *OrganisationSpec, *RateSpec, *ClassSpec,
// *RouteSpec, *TargetSpec, *CallersSpec or *DataCentreSpec. It returns the problems if the document is not valid.
func NewResource(kind, name string, labels map[string]string, s any) (*apiv1.Resource, Problems) {
	typed, ok := s.(spec)
	if !ok {
		return nil, Problems{{Kind: kind, Name: name, Field: "spec", Message: fmt.Sprintf("%T is not a spec", s)}}
	}
	r := &apiv1.Resource{Kind: kind, Name: name, Labels: labels, Spec: encodeSpec(typed)}
	if problems := Canonicalise(r); len(problems) > 0 {
		return nil, problems
	}
	return r, nil
}

// compareResources compares documents by kind, then by name.
func compareResources(a, b *apiv1.Resource) int {
	if a.GetKind() != b.GetKind() {
		return strings.Compare(a.GetKind(), b.GetKind())
	}
	return strings.Compare(a.GetName(), b.GetName())
}

// DecodeSpec returns the typed spec of a stored document: *OrganisationSpec, *RateSpec,
// *ClassSpec, *RouteSpec, *TargetSpec, *CallersSpec or *DataCentreSpec.
func DecodeSpec(r *apiv1.Resource) (any, error) {
	decoded, problems := decodeResource(r)
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return decoded, nil
}
