package cli

import (
	"context"
	"encoding/json"
	"maps"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"k8s.io/apimachinery/pkg/labels"

	"github.com/guavaford/guavaford/internal/config"
	"github.com/guavaford/guavaford/internal/operator"
)

// deleteCommand removes documents.
func deleteCommand() *cli.Command {
	return &cli.Command{
		Name:      "delete",
		Usage:     "remove documents in one all-or-nothing change",
		ArgsUsage: "KIND NAME... | KIND/NAME...",
		Flags:     changeFlags(),
		Action: withClient(func(ctx context.Context, c *cli.Command, client *operator.Client) error {
			refs, err := parseRefs(c.Args().Slice())
			if err != nil {
				return err
			}
			if len(refs) == 0 {
				return usageError("name the documents to delete")
			}
			return computeAndSubmit(ctx, c, client, func(configuration *operator.Configuration) (*operator.Change, error) {
				for _, ref := range refs {
					// The first try of a resend may already have deleted the documents.
					if _, err := find(configuration, ref); err != nil && !c.IsSet(flagChangeID) {
						return nil, err
					}
				}
				return &operator.Change{Deletes: refs}, nil
			})
		}),
	}
}

// labelEdit holds the labels to set and to remove.
type labelEdit struct {
	set    map[string]string
	remove []string
}

// parseLabelEdit parses KEY=VALUE and KEY- arguments.
func parseLabelEdit(args []string) (labelEdit, error) {
	e := labelEdit{set: map[string]string{}}
	for _, arg := range args {
		key, value, assigned := strings.Cut(arg, "=")
		switch {
		case assigned && key != "":
			e.set[key] = value
		case !assigned && len(arg) > 1 && strings.HasSuffix(arg, "-"):
			e.remove = append(e.remove, strings.TrimSuffix(arg, "-"))
		default:
			return e, usageError("%q is neither KEY=VALUE nor KEY-", arg)
		}
	}
	return e, nil
}

// apply returns the edited labels, or nil if none is left; it does not modify old.
func (e labelEdit) apply(old map[string]string) map[string]string {
	changed := maps.Clone(old)
	if changed == nil {
		changed = map[string]string{}
	}
	for _, key := range e.remove {
		delete(changed, key)
	}
	maps.Copy(changed, e.set)
	if len(changed) == 0 {
		return nil
	}
	return changed
}

// labelCommand changes the labels of one document, or of all that match a selector.
func labelCommand() *cli.Command {
	return &cli.Command{
		Name:      "label",
		Usage:     "set (KEY=VALUE) and remove (KEY-) labels of documents",
		ArgsUsage: "KIND/NAME KEY=VALUE... KEY-... | -l SELECTOR KIND KEY=VALUE... KEY-...",
		Description: "Labels of a Target document are those that it adds to the targets that it chooses.\n" +
			"Rates, classes and targets follow at once, without a restart.",
		Flags: changeFlags(selectorFlag("change every document of the kind whose labels match")),
		Action: withClient(func(ctx context.Context, c *cli.Command, client *operator.Client) error {
			args := c.Args().Slice()
			if len(args) < 2 {
				return usageError("name a document and labels, as in: organisation/court size=large trial-")
			}
			changes, err := parseLabelEdit(args[1:])
			if err != nil {
				return err
			}
			findDocuments, err := parseDocumentFinder(c, args[0])
			if err != nil {
				return err
			}
			return computeAndSubmit(ctx, c, client, func(configuration *operator.Configuration) (*operator.Change, error) {
				documents, err := findDocuments(configuration)
				if err != nil {
					return nil, err
				}
				return relabel(documents, changes, c.IsSet(flagChangeID))
			})
		}),
	}
}

// documentFinder finds the documents that a command works on in a configuration.
type documentFinder func(*operator.Configuration) ([]operator.Document, error)

// parseDocumentFinder parses the argument and the selector flag that name the documents of "label".
func parseDocumentFinder(c *cli.Command, arg string) (documentFinder, error) {
	if !c.IsSet(flagSelector) {
		refs, err := parseRefs([]string{arg})
		if err != nil {
			return nil, err
		}
		if len(refs) != 1 {
			return nil, usageError("name a document as KIND/NAME, or choose several by --%s", flagSelector)
		}
		return func(configuration *operator.Configuration) ([]operator.Document, error) {
			d, err := find(configuration, refs[0])
			return []operator.Document{d}, err
		}, nil
	}
	kind, err := parseKind(arg)
	if err != nil {
		return nil, err
	}
	selector, err := parseSelector(c.String(flagSelector))
	if err != nil {
		return nil, err
	}
	return func(configuration *operator.Configuration) ([]operator.Document, error) {
		chosen := selectDocuments(configuration, kind, selector)
		if len(chosen) == 0 {
			return nil, notFoundError("no %s matches %s", kind, selector)
		}
		return chosen, nil
	}, nil
}

// selectDocuments returns the documents of a kind, or of every kind for kindAll, whose labels match.
func selectDocuments(configuration *operator.Configuration, kind string, selector labels.Selector) []operator.Document {
	var chosen []operator.Document
	for _, d := range configuration.Documents {
		if (kind == kindAll || d.Kind == kind) && selector.Matches(labels.Set(d.Labels)) {
			chosen = append(chosen, d)
		}
	}
	return chosen
}

// relabel returns the change that edits the labels of the documents, or an empty one if no label
// differs. It includes documents whose labels already are as asked, so that a resend is identical to the first try.
func relabel(documents []operator.Document, changes labelEdit, resend bool) (*operator.Change, error) {
	change := &operator.Change{}
	differs := resend
	for _, d := range documents {
		old, err := editableLabels(d)
		if err != nil {
			return nil, err
		}
		changed := changes.apply(old)
		differs = differs || !maps.Equal(old, changed)
		if err := setLabels(&d, changed); err != nil {
			return nil, err
		}
		d.Revision = 0
		change.Upserts = append(change.Upserts, d)
	}
	if !differs {
		return &operator.Change{}, nil
	}
	return change, nil
}

// editableLabels returns the labels that the command "label" edits: for a Target
// document the labels in its spec, which it adds to targets; for all others the document's own.
func editableLabels(d operator.Document) (map[string]string, error) {
	if d.Kind != config.KindTarget {
		return d.Labels, nil
	}
	spec, err := targetSpec(d)
	if err != nil {
		return nil, err
	}
	return spec.Labels, nil
}

// setLabels replaces the labels that editableLabels returns for the document.
func setLabels(d *operator.Document, set map[string]string) error {
	if d.Kind != config.KindTarget {
		d.Labels = set
		return nil
	}
	spec, err := targetSpec(*d)
	if err != nil {
		return err
	}
	spec.Labels = set
	encoded, err := json.Marshal(spec)
	if err != nil {
		return errors.Wrapf(err, "encode %s %s", d.Kind, d.Name)
	}
	d.Spec = encoded
	return nil
}

// targetSpec decodes the spec of a Target document.
func targetSpec(d operator.Document) (*config.TargetSpec, error) {
	spec := &config.TargetSpec{}
	if err := json.Unmarshal(d.Spec, spec); err != nil {
		return nil, errors.Wrapf(err, "decode %s %s", d.Kind, d.Name)
	}
	return spec, nil
}
