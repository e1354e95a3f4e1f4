package cli

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/config"
	"github.com/guavaford/guavaford/internal/operator"
)

// getCommand lists documents of the current configuration.
func getCommand() *cli.Command {
	return &cli.Command{
		Name:          "get",
		Usage:         "list documents; with --output yaml as a file that apply reads; or requests that crash targets",
		ArgsUsage:     "all | KIND [NAME...] | KIND/NAME... | quarantine",
		Flags:         clientFlags(selectorFlag("list only documents whose labels match")),
		ShellComplete: completeKinds,
		Action: withClient(func(ctx context.Context, c *cli.Command, client *operator.Client) error {
			if c.Args().Len() == 1 && c.Args().First() == argQuarantine {
				return listQuarantine(ctx, c, client)
			}
			configuration, err := currentConfiguration(ctx, c, client)
			if err != nil {
				return err
			}
			documents, err := documentsFromArgs(c, configuration)
			if err != nil {
				return err
			}
			if c.String(flagOutput) == outputYAML {
				return writeDocuments(c.Root().Writer, documents)
			}
			return render(c, documents, func(w io.Writer) error { return documentTables(w, configuration, documents) })
		}),
	}
}

// completeKinds prints the kinds of documents for shell completion.
func completeKinds(_ context.Context, c *cli.Command) {
	if c.Args().Present() {
		return
	}
	for _, kind := range config.Kinds() {
		_, _ = fmt.Fprintln(c.Root().Writer, strings.ToLower(kind))
	}
}

// argQuarantine is the argument of get that lists requests that crash targets.
const argQuarantine = "quarantine"

// currentConfiguration fetches the configuration and prints a warning if no quorum confirmed its revision.
func currentConfiguration(ctx context.Context, c *cli.Command, client *operator.Client) (*operator.Configuration, error) {
	configuration, err := client.Configuration(ctx)
	if err != nil {
		return nil, err
	}
	warnUnconfirmed(c, configuration.Revision, configuration.Confirmed)
	return configuration, nil
}

// warnUnconfirmed warns on standard error that a listing may be out of date, unless a quorum confirmed its revision.
func warnUnconfirmed(c *cli.Command, revision uint64, confirmed bool) {
	if !confirmed {
		_, _ = fmt.Fprintf(c.Root().ErrWriter, "warning: no quorum confirms revision %d; there may be a newer one\n", revision)
	}
}

// documentsFromArgs returns the documents that the arguments name: "all", a kind, or single documents. The
// selector flag applies to the first two.
func documentsFromArgs(c *cli.Command, configuration *operator.Configuration) ([]operator.Document, error) {
	selector, err := parseSelector(c.String(flagSelector))
	if err != nil {
		return nil, err
	}
	args := c.Args().Slice()
	if len(args) == 1 && args[0] == kindAll {
		return selectDocuments(configuration, kindAll, selector), nil
	}
	refs, err := parseRefs(args)
	if err != nil {
		return nil, err
	}
	if len(refs) == 0 {
		kind, err := parseKind(args[0])
		if err != nil {
			return nil, err
		}
		return selectDocuments(configuration, kind, selector), nil
	}
	var documents []operator.Document
	for _, ref := range refs {
		d, err := find(configuration, ref)
		if err != nil {
			return nil, err
		}
		documents = append(documents, d)
	}
	return documents, nil
}

// compile builds the snapshot of a configuration, in which defaults are filled in and selectors are resolved, so that
// a listing shows the values in force.
func compile(configuration *operator.Configuration) (*config.Snapshot, error) {
	resources := make([]*apiv1.Resource, 0, len(configuration.Documents))
	for _, d := range configuration.Documents {
		resources = append(resources, d.Resource())
	}
	return config.Compile(configuration.Revision, resources)
}

// documentTables writes one table for each kind of which there is a document.
func documentTables(w io.Writer, configuration *operator.Configuration, documents []operator.Document) error {
	snapshot, err := compile(configuration)
	if err != nil {
		return err
	}
	for _, kind := range config.Kinds() {
		t, err := kindTable(snapshot, kind, documents)
		if err != nil {
			return err
		}
		if len(t.rows) == 0 {
			continue
		}
		if err := t.write(w); err != nil {
			return err
		}
	}
	return nil
}

// kindTable returns the table of the documents of one kind.
func kindTable(s *config.Snapshot, kind string, documents []operator.Document) (*table, error) {
	t := &table{header: kindHeader(kind)}
	for _, d := range documents {
		if d.Kind != kind {
			continue
		}
		cells, err := documentCells(s, d)
		if err != nil {
			return nil, err
		}
		row := append([]string{d.Name}, cells...)
		t.add(append(row, strconv.FormatUint(d.Revision, 10))...)
	}
	return t, nil
}

// kindHeader returns the column headings of a kind.
func kindHeader(kind string) []string {
	var columns []string
	switch kind {
	case config.KindOrganisation:
		columns = []string{"WEIGHT", "RATE/S", "BURST", "LABELS"}
	case config.KindRate:
		columns = []string{"RATE/S", "BURST", "SELECTOR"}
	case config.KindClass:
		columns = []string{"PRIORITY", "SELECTOR"}
	case config.KindRoute:
		columns = []string{"SERVICE", "METHODS", "HOST", "PREFIX", "CLASS", "ACCESS", "LABELS"}
	case config.KindTarget:
		columns = []string{"SERVICE", "TARGETS", "DRAIN", "SLOTS", "LABELS"}
	case config.KindDataCentre:
		columns = []string{"DRAIN"}
	}
	return append(append([]string{strings.ToUpper(kind)}, columns...), "REVISION")
}

// documentCells returns the table cells of a document between its name and its revision.
func documentCells(s *config.Snapshot, d operator.Document) ([]string, error) {
	spec, err := config.DecodeSpec(d.Resource())
	if err != nil {
		return nil, err
	}
	switch spec := spec.(type) {
	case *config.OrganisationSpec:
		o := s.Organisations[d.Name]
		return []string{formatFloat(o.Weight), formatFloat(o.Rate), formatFloat(o.Burst), formatLabels(d.Labels)}, nil
	case *config.RateSpec:
		return []string{formatFloat(spec.PerSecond), formatFloat(spec.Burst), orDash(spec.Selector.String())}, nil
	case *config.ClassSpec:
		return []string{strconv.Itoa(*spec.Priority), orDash(spec.Selector.String())}, nil
	case *config.RouteSpec:
		r := routeNamed(s, d.Name)
		return []string{r.Service, orDash(strings.Join(r.Methods, ",")), orDash(r.Host), r.PathPrefix, r.Class.Name, accessName(r), formatLabels(d.Labels)}, nil
	case *config.TargetSpec:
		return []string{spec.Service, orDash(spec.Target + spec.Selector.String()), strconv.FormatBool(spec.Drain), formatOptionalInt(spec.Slots), formatLabels(spec.Labels)}, nil
	case *config.DataCentreSpec:
		return []string{strconv.FormatBool(spec.Drain)}, nil
	default:
		return nil, nil
	}
}

// routeNamed returns the route of that name in the snapshot; it must exist.
func routeNamed(s *config.Snapshot, name string) *config.Route {
	index, found := slices.BinarySearchFunc(s.Routes, name, func(r *config.Route, name string) int { return strings.Compare(r.Name, name) })
	if !found {
		panic("cli: a route of the configuration is missing in the snapshot compiled from it")
	}
	return s.Routes[index]
}

// accessName returns who may call a route: "open" is everyone, "internal" only targets by their sub-calls, and "key"
// callers with a valid key.
func accessName(r *config.Route) string {
	switch {
	case r.Open:
		return "open"
	case r.Internal:
		return "internal"
	default:
		return "key"
	}
}

// formatFloat formats a number without trailing zeros.
func formatFloat(n float64) string {
	return strconv.FormatFloat(n, 'f', -1, 64)
}

// formatOptionalInt formats a number, or returns - if it is not set.
func formatOptionalInt(n *int) string {
	if n == nil {
		return "-"
	}
	return strconv.Itoa(*n)
}
