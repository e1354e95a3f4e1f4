package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/guavaford/guavaford/internal/configcheck"
)

// printReport prints the report of a check in the format of --output.
func printReport(c *cli.Command, r *checkReport, ofPlatform bool) error {
	if r.Findings == nil {
		r.Findings = []configcheck.Finding{}
	}
	return render(c, r, func(w io.Writer) error {
		_, err := io.WriteString(w, r.text(ofPlatform))
		return err
	})
}

// text returns the report as lines: the findings, the differences and a summary.
func (r *checkReport) text(ofPlatform bool) string {
	var b strings.Builder
	for _, f := range r.Findings {
		b.WriteString(f.String() + "\n")
	}
	if len(r.Differences) > 0 {
		fmt.Fprintf(&b, "differences from %s:\n", r.InForce)
	}
	for _, d := range r.Differences {
		writeDifference(&b, d, ofPlatform)
	}
	b.WriteString(r.summary() + "\n")
	return b.String()
}

// String names the version for messages.
func (v *checkedVersion) String() string {
	if v.Revision == 0 {
		return v.Source
	}
	return fmt.Sprintf("revision %d at %s", v.Revision, v.Source)
}

// changeMarks begin the line of an entry.
var changeMarks = map[configcheck.ChangeKind]string{configcheck.Added: "+", configcheck.Changed: "~", configcheck.Removed: "-"}

// writeDifference writes an entry and its fields. Fields of a removed entry are left out.
func writeDifference(w io.Writer, d configcheck.Difference, ofPlatform bool) {
	entry := d.Kind
	if d.Name != "" {
		entry += "/" + d.Name
	}
	if d.Change == configcheck.Removed {
		if !ofPlatform {
			entry += " (not in the files; apply leaves it in force)"
		}
		d.Fields = nil
	}
	_, _ = fmt.Fprintf(w, "%s %s\n", changeMarks[d.Change], entry)
	for _, f := range d.Fields {
		if d.Change == configcheck.Added {
			_, _ = fmt.Fprintf(w, "    %s: %s\n", f.Field, valueText(f.New))
			continue
		}
		_, _ = fmt.Fprintf(w, "    %s: %s -> %s\n", f.Field, valueText(f.Old), valueText(f.New))
	}
}

// valueText returns a value as JSON.
func valueText(value json.RawMessage) string {
	if len(value) == 0 {
		return "(not set)"
	}
	return string(value)
}

// counts returns the numbers of errors, warnings and differences.
func (r *checkReport) counts() string {
	text := plural(r.Errors, "error") + ", " + plural(r.Warnings, "warning")
	if r.InForce != nil {
		text += ", " + plural(len(r.Differences), "difference")
	}
	return text
}

// summary returns the last line of the report.
func (r *checkReport) summary() string {
	documents := plural(r.Documents, "document")
	switch {
	case r.Errors+r.Warnings+len(r.Differences) > 0:
		return documents + ": " + r.counts()
	case r.InForce != nil:
		return fmt.Sprintf("%s, no problem, no difference from %s", documents, r.InForce)
	default:
		return documents + ", no problem"
	}
}

// plural returns a number with a noun.
func plural(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
