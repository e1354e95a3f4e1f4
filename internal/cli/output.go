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

// table is a list of rows under a header.
type table struct {
	header []string
	rows   [][]string
}

func (t *table) add(cells ...string) {
	t.rows = append(t.rows, cells)
}

// write aligns the columns.
func (t *table) write(w io.Writer) error {
	tabs := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{t.header}, t.rows...) {
		if _, err := fmt.Fprintln(tabs, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return tabs.Flush()
}

// render writes a value in the format of --output.
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
		return errors.Wrap(err, "write as JSON")
	}
	var node yaml.Node
	if err := yaml.Unmarshal(data, &node); err != nil {
		return errors.Wrap(err, "turn JSON into YAML")
	}
	blockStyle(&node)
	encoder := yaml.NewEncoder(w)
	encoder.SetIndent(2)
	if err := encoder.Encode(&node); err != nil {
		return err
	}
	return encoder.Close()
}

// blockStyle removes the braces and quotes of JSON.
func blockStyle(node *yaml.Node) {
	node.Style = 0
	for _, child := range node.Content {
		blockStyle(child)
	}
}

// writeDocuments writes documents as a file that "apply -f" reads.
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

// labelText returns labels as KEY=VALUE pairs in order.
func labelText(set map[string]string) string {
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

// orDash returns the text, or - if it is empty.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
