package lab

import (
	"bytes"
	"os"

	"github.com/pkg/errors"
)

// Markers around the part of a page that ReplaceTables writes.
const (
	pageBegin = "<!-- scenarios: written by internal/lab/cmd/measures -->\n"
	pageEnd   = "<!-- end of scenarios -->\n"
)

// ReplaceTables replaces the part of a page between the markers.
func ReplaceTables(file string, tables []byte) error {
	page, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read the page")
	}
	before, rest, admitted := bytes.Cut(page, []byte(pageBegin))
	_, after, ended := bytes.Cut(rest, []byte(pageEnd))
	if !admitted || !ended {
		return errors.Errorf("%s lacks the markers around the scenario tables", file)
	}
	next := bytes.Join([][]byte{before, []byte(pageBegin), tables, []byte(pageEnd), after}, nil)
	return errors.Wrap(os.WriteFile(file, next, 0o644), "write the page")
}
