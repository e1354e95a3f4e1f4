package config

import (
	"bytes"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// Source holds parsed documents and the file positions of their fields.
type Source struct {
	Resources []*apiv1.Resource
	positions map[fieldKey]position
}

// fieldKey identifies a field of a document, or the document itself when field is empty.
type fieldKey struct {
	kind, name, field string
}

// position is a line in a file.
type position struct {
	file string
	line int
}

// Parse reads the documents of one YAML file and validates each of them by itself;
// Check validates them together. Documents are returned only when there is no problem.
func Parse(file string, data []byte) ([]*apiv1.Resource, Problems) {
	source, problems := ParseSource(file, data)
	if len(problems) > 0 {
		return nil, problems
	}
	return source.Resources, nil
}

// ParseSource is like Parse, but also records the positions that Locate needs, and returns the
// valid documents even when there are problems.
func ParseSource(file string, data []byte) (*Source, Problems) {
	p := &parser{file: file, source: &Source{positions: map[fieldKey]position{}}}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	for {
		var document yaml.Node
		err := decoder.Decode(&document)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			p.addSyntaxError(err)
			break
		}
		p.parseDocument(&document)
	}
	return p.source, p.problems.sorted()
}

// Add merges the documents of another source into s and reports documents that both define.
func (s *Source) Add(other *Source) Problems {
	var problems Problems
	for _, r := range other.Resources {
		key := fieldKey{kind: r.GetKind(), name: r.GetName()}
		if first, found := s.positions[key]; found {
			at := other.positions[key]
			problems = append(problems, Problem{File: at.file, Line: at.line, Kind: key.kind, Name: key.name, Field: "name",
				Message: fmt.Sprintf("is already defined at %s:%d", first.file, first.line)})
			continue
		}
		s.Resources = append(s.Resources, r)
	}
	if s.positions == nil {
		s.positions = map[fieldKey]position{}
	}
	for key, at := range other.positions {
		if _, found := s.positions[key]; !found {
			s.positions[key] = at
		}
	}
	return problems
}

// Locate returns the problems with file and line filled in where the source has the position.
func (s *Source) Locate(problems Problems) Problems {
	located := make(Problems, 0, len(problems))
	for _, p := range problems {
		if at, found := s.position(p); found && p.Line == 0 {
			p.File = at.file
			p.Line = at.line
		}
		located = append(located, p)
	}
	return located.sorted()
}

// position returns the position of the field that has the problem, or of its document.
func (s *Source) position(p Problem) (position, bool) {
	if at, found := s.positions[fieldKey{p.Kind, p.Name, p.Field}]; found {
		return at, true
	}
	at, found := s.positions[fieldKey{kind: p.Kind, name: p.Name}]
	return at, found
}

// parser collects the documents and problems of one file.
type parser struct {
	file     string
	source   *Source
	problems Problems
}

// addSyntaxError adds the problem of a file that is not valid YAML.
func (p *parser) addSyntaxError(err error) {
	problem := Problem{File: p.file, Message: strings.TrimPrefix(err.Error(), "yaml: ")}
	var line int
	if n, _ := fmt.Sscanf(problem.Message, "line %d:", &line); n == 1 {
		problem.Line = line
		_, problem.Message, _ = strings.Cut(problem.Message, ": ")
	}
	p.problems = append(p.problems, problem)
}

// envelope holds the fields of a document that all kinds share: everything but the spec.
type envelope struct {
	Kind   string            `yaml:"kind"`
	Name   string            `yaml:"name"`
	Labels map[string]string `yaml:"labels"`
}

// parseDocument reads and validates one document of the file.
func (p *parser) parseDocument(document *yaml.Node) {
	if len(document.Content) == 0 {
		return
	}
	root := document.Content[0]
	if root.Kind == yaml.ScalarNode && root.Tag == "!!null" {
		return
	}
	current := Problem{File: p.file, Line: root.Line}
	if root.Kind != yaml.MappingNode {
		current.Message = "a document must be a mapping with kind, name, labels and spec"
		p.problems = append(p.problems, current)
		return
	}
	if aliased := findAlias(root); aliased != nil {
		current.Line = aliased.Line
		current.Message = "anchors and aliases are not supported"
		p.problems = append(p.problems, current)
		return
	}
	before := len(p.problems)
	parts := p.readEnvelope(root, &current)
	resource, decoded := p.readSpec(parts, current)
	if decoded == nil || len(p.problems) > before {
		return
	}
	p.addDocument(resource, decoded, root)
}

// findAlias returns the first alias at or below a node, or nil. Aliases are rejected because they
// could make a small file expand without bound.
func findAlias(node *yaml.Node) *yaml.Node {
	if node.Kind == yaml.AliasNode {
		return node
	}
	for _, child := range node.Content {
		if found := findAlias(child); found != nil {
			return found
		}
	}
	return nil
}

// documentParts holds the envelope of one document and the nodes of its top-level fields.
type documentParts struct {
	envelope envelope
	nodes    map[string]*yaml.Node
}

// readEnvelope decodes every field but the spec. It sets the kind and name of current, from which
// later problems are derived.
func (p *parser) readEnvelope(root *yaml.Node, current *Problem) documentParts {
	parts := documentParts{nodes: map[string]*yaml.Node{}}
	fields := map[string]any{"kind": &parts.envelope.Kind, "name": &parts.envelope.Name, "labels": &parts.envelope.Labels}
	var problems Problems
	report := func(node *yaml.Node, field, message string) {
		problems = append(problems, Problem{File: p.file, Line: node.Line, Field: field, Message: message})
	}
	for i := 0; i+1 < len(root.Content); i += 2 {
		key, value := root.Content[i], root.Content[i+1]
		field, known := fields[key.Value]
		switch {
		case parts.nodes[key.Value] != nil:
			report(key, key.Value, "is given twice")
		case known:
			parts.nodes[key.Value] = value
			if err := value.Decode(field); err != nil {
				report(value, key.Value, decodeErrorMessage(err))
			}
		case key.Value == "spec":
			parts.nodes[key.Value] = value
		default:
			report(key, key.Value, "unknown field; allowed: kind, labels, name, spec")
		}
	}
	current.Kind = parts.envelope.Kind
	current.Name = parts.envelope.Name
	for _, problem := range problems {
		problem.Kind = current.Kind
		problem.Name = current.Name
		p.problems = append(p.problems, problem)
	}
	return parts
}

// readSpec decodes the spec and validates every field of the document.
func (p *parser) readSpec(parts documentParts, current Problem) (*apiv1.Resource, spec) {
	report := func(line int, field, message string) {
		problem := current
		problem.Field = field
		problem.Message = message
		if line > 0 {
			problem.Line = line
		}
		p.problems = append(p.problems, problem)
	}
	decoded := newSpec(parts.envelope.Kind)
	if decoded == nil {
		report(lineOf(parts.nodes["kind"]), "kind", unknownKind(parts.envelope.Kind))
		return nil, nil
	}
	resource := &apiv1.Resource{Kind: parts.envelope.Kind, Name: parts.envelope.Name, Labels: parts.envelope.Labels}
	for _, problem := range envelopeProblems(resource) {
		report(lineOf(parts.nodes[problem.Field]), problem.Field, problem.Message)
	}
	specNode := parts.nodes["spec"]
	reported := map[string]bool{}
	fieldNodes := decodeNode(decoded, specNode, func(node *yaml.Node, field, format string, args ...any) {
		reported[field] = true
		report(node.Line, specPath(field), fmt.Sprintf(format, args...))
	})
	decoded.check(func(field, format string, args ...any) {
		if reported[field] {
			return
		}
		line := lineOf(fieldNodes[field])
		if line == 0 {
			line = lineOf(specNode)
		}
		report(line, specPath(field), fmt.Sprintf(format, args...))
	})
	p.recordPositions(resource, parts.nodes, "")
	p.recordPositions(resource, fieldNodes, "spec.")
	return resource, decoded
}

// recordPositions records the positions of the fields of a document for Locate.
func (p *parser) recordPositions(r *apiv1.Resource, nodes map[string]*yaml.Node, prefix string) {
	for field, node := range nodes {
		p.source.positions[fieldKey{r.GetKind(), r.GetName(), prefix + field}] = position{p.file, node.Line}
	}
}

// addDocument adds a valid document to the source.
func (p *parser) addDocument(resource *apiv1.Resource, decoded spec, root *yaml.Node) {
	key := fieldKey{kind: resource.GetKind(), name: resource.GetName()}
	if first, found := p.source.positions[key]; found {
		p.problems = append(p.problems, Problem{File: p.file, Line: root.Line, Kind: key.kind, Name: key.name, Field: "name",
			Message: fmt.Sprintf("is already defined at %s:%d", first.file, first.line)})
		return
	}
	p.source.positions[key] = position{p.file, root.Line}
	resource.Spec = encodeSpec(decoded)
	p.source.Resources = append(p.source.Resources, resource)
}

// specPath returns the path of a spec field within its document.
func specPath(field string) string {
	if field == "" {
		return "spec"
	}
	return "spec." + field
}

// lineOf returns the line of a node, or 0 if there is none.
func lineOf(node *yaml.Node) int {
	if node == nil {
		return 0
	}
	return node.Line
}
