package config

import (
	"fmt"
	"sort"
	"strings"

	"github.com/pkg/errors"
)

// Problem is one fault of a configuration.
type Problem struct {
	// File and Line say where the fault stands; Line is 0 when it is not known.
	File string
	Line int
	// Kind and Name identify the document; both are empty when the file can't be read as documents.
	Kind string
	Name string
	// Field is the path of the faulty field, such as spec.perSecond.
	Field   string
	Message string
}

// String returns "file:line: Kind/name: field: message" without the parts that are not known.
func (p Problem) String() string {
	var parts []string
	if p.File != "" {
		place := p.File
		if p.Line > 0 {
			place = fmt.Sprintf("%s:%d", p.File, p.Line)
		}
		parts = append(parts, place)
	}
	if p.Kind != "" || p.Name != "" {
		parts = append(parts, p.Kind+"/"+p.Name)
	}
	if p.Field != "" {
		parts = append(parts, p.Field)
	}
	return strings.Join(append(parts, p.Message), ": ")
}

// Problems lists all faults found in one pass.
type Problems []Problem

// Err returns nil when there is no fault, else one error with a line for each.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return errors.New(strings.Join(ps.Strings(), "\n"))
}

// Strings returns each fault as one line of text.
func (ps Problems) Strings() []string {
	lines := make([]string, 0, len(ps))
	for _, p := range ps {
		lines = append(lines, p.String())
	}
	return lines
}

// sorted orders the faults by file, line, document and field.
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
