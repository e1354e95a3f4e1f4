package config

import (
	"fmt"
	"sort"
	"strings"

	"github.com/pkg/errors"
)

// Problem is a validation error in a configuration.
type Problem struct {
	// File and Line are the position of the problem; Line is 0 when it is not known.
	File string
	Line int
	// Kind and Name identify the document; both are empty when the file can't be parsed.
	Kind string
	Name string
	// Field is the path of the field that has the problem, such as spec.perSecond.
	Field   string
	Message string
}

// String returns "file:line: Kind/name: field: message", without the parts that are not known.
func (p Problem) String() string {
	var parts []string
	if p.File != "" {
		location := p.File
		if p.Line > 0 {
			location = fmt.Sprintf("%s:%d", p.File, p.Line)
		}
		parts = append(parts, location)
	}
	if p.Kind != "" || p.Name != "" {
		parts = append(parts, p.Kind+"/"+p.Name)
	}
	if p.Field != "" {
		parts = append(parts, p.Field)
	}
	return strings.Join(append(parts, p.Message), ": ")
}

// Problems lists all validation errors found in one pass.
type Problems []Problem

// Err returns nil when there are no problems, else one error with a line for each problem.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return errors.New(strings.Join(ps.Strings(), "\n"))
}

// Strings returns each problem as one line of text.
func (ps Problems) Strings() []string {
	lines := make([]string, 0, len(ps))
	for _, p := range ps {
		lines = append(lines, p.String())
	}
	return lines
}

// sorted sorts the problems in place by file, line, document and field, and returns them.
func (ps Problems) sorted() Problems {
	sort.SliceStable(ps, func(i, j int) bool {
		a, b := ps[i], ps[j]
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		if a.Kind != b.Kind {
			return a.Kind < b.Kind
		}
		if a.Name != b.Name {
			return a.Name < b.Name
		}
		return a.Field < b.Field
	})
	return ps
}
