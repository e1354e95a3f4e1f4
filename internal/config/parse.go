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

// Source is a parsed file: its documents and where their fields stand.
type Source struct {
	Resources []*apiv1.Resource
	places    map[place]position
}

// place names a field of a document. An empty field stands for the document itself.
type place struct {
	kind, name, field string
}

// position is a line of a file.
type position struct {
	file string
	line int
}

// Parse reads the documents of one YAML file. It checks each document by itself;
// Check looks at them together. Documents are returned only when there is no problem.
func Parse(file string, data []byte) ([]*apiv1.Resource, Problems) {
	source, problems := ParseSource(file, data)
	if len(problems) > 0 {
		return nil, problems
	}
	return source.Resources, nil
}

// ParseSource is Parse with the positions that Locate needs.
func ParseSource(file string, data []byte) (*Source, Problems) {
	p := &parser{file: file, source: &Source{places: map[place]position{}}}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	for {
		var document yaml.Node
		err := decoder.Decode(&document)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			p.syntax(err)
			break
		}
		p.document(&document)
	}
	return p.source, p.problems.sorted()
}

// Add takes in the documents of another file and reports documents that both define.
func (s *Source) Add(other *Source) Problems {
	var problems Problems
	for _, r := range other.Resources {
		key := place{kind: r.GetKind(), name: r.GetName()}
		if first, found := s.places[key]; found {
			at := other.places[key]
			problems = append(problems, Problem{File: at.file, Line: at.line, Kind: key.kind, Name: key.name, Field: "name",
				Message: fmt.Sprintf("is already defined at %s:%d", first.file, first.line)})
			continue
		}
		s.Resources = append(s.Resources, r)
	}
	if s.places == nil {
		s.places = map[place]position{}
	}
	for key, at := range other.places {
		if _, found := s.places[key]; !found {
			s.places[key] = at
		}
	}
	return problems
}

// Locate returns the problems with file and line filled in where the source knows them.
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

// position finds the line of the faulty field, or of its document.
func (s *Source) position(p Problem) (position, bool) {
	if at, found := s.places[place{p.Kind, p.Name, p.Field}]; found {
		return at, true
	}
	at, found := s.places[place{kind: p.Kind, name: p.Name}]
	return at, found
}

// parser collects documents and problems of one file.
type parser struct {
	file     string
	source   *Source
	problems Problems
}

// syntax reports a file that is not YAML.
func (p *parser) syntax(err error) {
	problem := Problem{File: p.file, Message: strings.TrimPrefix(err.Error(), "yaml: ")}
	var line int
	if n, _ := fmt.Sscanf(problem.Message, "line %d:", &line); n == 1 {
		problem.Line = line
		_, problem.Message, _ = strings.Cut(problem.Message, ": ")
	}
	p.problems = append(p.problems, problem)
}

// head is a document outside its spec.
type head struct {
	Kind   string            `yaml:"kind"`
	Name   string            `yaml:"name"`
	Labels map[string]string `yaml:"labels"`
}

// document reads one document of the file.
func (p *parser) document(document *yaml.Node) {
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
	parts := p.readHead(root, &current)
	resource, decoded := p.readSpec(parts, current)
	if decoded == nil || len(p.problems) > before {
		return
	}
	p.accept(resource, decoded, root)
}

// findAlias returns the first alias node below a node. Aliases could make a small
// file expand without bound.
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

// documentParts holds the nodes of one document by field.
type documentParts struct {
	head  head
	nodes map[string]*yaml.Node
}

// readHead reads everything but the spec. It sets kind and name of current for later reports.
func (p *parser) readHead(root *yaml.Node, current *Problem) documentParts {
	parts := documentParts{nodes: map[string]*yaml.Node{}}
	targets := map[string]any{"kind": &parts.head.Kind, "name": &parts.head.Name, "labels": &parts.head.Labels}
	var faults Problems
	report := func(node *yaml.Node, field, message string) {
		faults = append(faults, Problem{File: p.file, Line: node.Line, Field: field, Message: message})
	}
	for i := 0; i+1 < len(root.Content); i += 2 {
		key, value := root.Content[i], root.Content[i+1]
		target, known := targets[key.Value]
		switch {
		case parts.nodes[key.Value] != nil:
			report(key, key.Value, "is given twice")
		case known:
			parts.nodes[key.Value] = value
			if err := value.Decode(target); err != nil {
				report(value, key.Value, decodeFault(err))
			}
		case key.Value == "spec":
			parts.nodes[key.Value] = value
		default:
			report(key, key.Value, "unknown field; allowed: kind, labels, name, spec")
		}
	}
	current.Kind = parts.head.Kind
	current.Name = parts.head.Name
	for _, fault := range faults {
		fault.Kind = current.Kind
		fault.Name = current.Name
		p.problems = append(p.problems, fault)
	}
	return parts
}

// readSpec decodes the spec and checks every field of the document.
func (p *parser) readSpec(parts documentParts, current Problem) (*apiv1.Resource, spec) {
	report := func(line int, field, message string) {
		fault := current
		fault.Field = field
		fault.Message = message
		if line > 0 {
			fault.Line = line
		}
		p.problems = append(p.problems, fault)
	}
	decoded := newSpec(parts.head.Kind)
	if decoded == nil {
		report(lineOf(parts.nodes["kind"]), "kind", unknownKind(parts.head.Kind))
		return nil, nil
	}
	resource := &apiv1.Resource{Kind: parts.head.Kind, Name: parts.head.Name, Labels: parts.head.Labels}
	for _, fault := range headProblems(resource) {
		report(lineOf(parts.nodes[fault.Field]), fault.Field, fault.Message)
	}
	specNode := parts.nodes["spec"]
	faulty := map[string]bool{}
	places := decodeNode(decoded, specNode, func(node *yaml.Node, field, format string, args ...any) {
		faulty[field] = true
		report(node.Line, specPath(field), fmt.Sprintf(format, args...))
	})
	decoded.check(func(field, format string, args ...any) {
		if faulty[field] {
			return
		}
		line := lineOf(places[field])
		if line == 0 {
			line = lineOf(specNode)
		}
		report(line, specPath(field), fmt.Sprintf(format, args...))
	})
	p.remember(resource, parts.nodes, "")
	p.remember(resource, places, "spec.")
	return resource, decoded
}

// remember keeps where the fields of a document stand, for Locate.
func (p *parser) remember(r *apiv1.Resource, nodes map[string]*yaml.Node, prefix string) {
	for field, node := range nodes {
		p.source.places[place{r.GetKind(), r.GetName(), prefix + field}] = position{p.file, node.Line}
	}
}

// accept adds a document without faults to the source.
func (p *parser) accept(resource *apiv1.Resource, decoded spec, root *yaml.Node) {
	key := place{kind: resource.GetKind(), name: resource.GetName()}
	if first, found := p.source.places[key]; found {
		p.problems = append(p.problems, Problem{File: p.file, Line: root.Line, Kind: key.kind, Name: key.name, Field: "name",
			Message: fmt.Sprintf("is already defined at %s:%d", first.file, first.line)})
		return
	}
	p.source.places[key] = position{p.file, root.Line}
	resource.Spec = encodeSpec(decoded)
	p.source.Resources = append(p.source.Resources, resource)
}

// specPath returns the path of a spec's field within its document.
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
