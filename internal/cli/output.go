package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"go.yaml.in/yaml/v3"

	"github.com/guavaford/guavaford/internal/operator"
)

// table is a text table with a header row.
type table struct {
	header []string
	rows   [][]string
}

// add appends a row.
func (t *table) add(cells ...string) {
	t.rows = append(t.rows, cells)
}

// write writes the table with aligned columns.
func (t *table) write(w io.Writer) error {
	tabs := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{t.header}, t.rows...) {
		if _, err := fmt.Fprintln(tabs, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return tabs.Flush()
}

// render writes a value as JSON or YAML if --output asks for it, and otherwise calls asTable.
func render(c *cli.Command, value any, asTable func(io.Writer) error) error {
	out := c.Root().Writer
	switch c.String(flagOutput) {
	case outputJSON:
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	case outputYAML:
		return writeYAML(out, value)
	default:
		return asTable(out)
	}
}

// writeYAML writes a value with the field names of its JSON form.
func writeYAML(w io.Writer, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode as JSON")
	}
	var node yaml.Node
	if err := yaml.Unmarshal(data, &node); err != nil {
		return errors.Wrap(err, "convert JSON to YAML")
	}
	setBlockStyle(&node)
	encoder := yaml.NewEncoder(w)
	encoder.SetIndent(2)
	if err := encoder.Encode(&node); err != nil {
		return err
	}
	return encoder.Close()
}

// setBlockStyle clears the JSON style (braces and quotes) of parsed nodes, so that they are written in block style.
func setBlockStyle(node *yaml.Node) {
	node.Style = 0
	for _, child := range node.Content {
		setBlockStyle(child)
	}
}

// writeDocuments writes documents as a YAML stream that "apply -f" reads. The revision of each is written as a
// comment, since a document in a file has none.
func writeDocuments(w io.Writer, documents []operator.Document) error {
	for _, d := range documents {
		if _, err := fmt.Fprintf(w, "--- # revision %d\n", d.Revision); err != nil {
			return err
		}
		d.Revision = 0
		if err := writeYAML(w, d); err != nil {
			return err
		}
	}
	return nil
}

// formatLabels returns labels as sorted KEY=VALUE pairs, or - if there are none.
func formatLabels(set map[string]string) string {
	if len(set) == 0 {
		return "-"
	}
	pairs := make([]string, 0, len(set))
	for key, value := range set {
		pairs = append(pairs, key+"="+value)
	}
	slices.Sort(pairs)
	return strings.Join(pairs, ",")
}

// orDash returns text, or - if it is empty.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
