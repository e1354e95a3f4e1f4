package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
	"k8s.io/apimachinery/pkg/labels"

	"github.com/guavaford/guavaford/internal/config"
	"github.com/guavaford/guavaford/internal/operator"
)

// description is a document with the documents and targets that its labels and selectors relate it to.
type description struct {
	Document operator.Document `json:"document"`
	// Applies lists the documents and targets that this document applies to, or that apply to it, as KIND/NAME.
	Applies []string `json:"applies"`
	// Keys lists the keys of the document's organisation; it is empty for other kinds.
	Keys []operator.Key `json:"keys,omitempty"`
}

// describeCommand shows documents and the documents and targets that they are related to.
func describeCommand() *cli.Command {
	return &cli.Command{
		Name:          "describe",
		Usage:         "show documents and what their labels and selectors lead to",
		ArgsUsage:     "KIND NAME... | KIND/NAME...",
		Flags:         clientFlags(),
		ShellComplete: completeKinds,
		Action: withClient(func(ctx context.Context, c *cli.Command, client *operator.Client) error {
			configuration, err := currentConfiguration(ctx, c, client)
			if err != nil {
				return err
			}
			documents, err := documentsFromArgs(c, configuration)
			if err != nil {
				return err
			}
			snapshot, err := compile(configuration)
			if err != nil {
				return err
			}
			targets, err := announcedTargets(ctx, c, client)
			if err != nil {
				return err
			}
			all := make([]description, 0, len(documents))
			for _, d := range documents {
				one, err := describe(snapshot, configuration, targets, d)
				if err == nil && d.Kind == config.KindOrganisation {
					one.Keys, err = organisationKeys(ctx, client, d.Name)
				}
				if err != nil {
					return err
				}
				all = append(all, one)
			}
			return render(c, all, func(w io.Writer) error { return writeDescriptions(w, all) })
		}),
	}
}

// announcedLabels returns the labels that selectors of documents match: those that the target announced and those
// that its node adds.
func announcedLabels(t operator.TargetStatus) labels.Set {
	return config.WithReservedLabels(t.Labels, t.Node, t.DataCentre, t.Name)
}

// organisationKeys returns the keys of an organisation.
func organisationKeys(ctx context.Context, client *operator.Client, organisation string) ([]operator.Key, error) {
	list, err := client.Keys(ctx, organisation)
	if err != nil {
		return nil, err
	}
	return list.Keys, nil
}

// announcedTargets returns the targets that the control replicas know. If none of them answered, it prints a warning
// and returns no targets.
func announcedTargets(ctx context.Context, c *cli.Command, client *operator.Client) ([]operator.TargetStatus, error) {
	status, err := client.Status(ctx)
	if err != nil {
		return nil, err
	}
	if status.Control == nil {
		_, _ = fmt.Fprintf(c.Root().ErrWriter, "warning: announced targets are not known: %s\n", status.ControlError)
		return nil, nil
	}
	return status.Control.Targets, nil
}

// describe finds the documents and targets that the labels and selectors of a document relate it to.
func describe(s *config.Snapshot, configuration *operator.Configuration, targets []operator.TargetStatus, d operator.Document) (description, error) {
	spec, err := config.DecodeSpec(d.Resource())
	if err != nil {
		return description{}, err
	}
	described := description{Document: d, Applies: []string{}}
	add := func(kind, name string) { described.Applies = append(described.Applies, kind+"/"+name) }
	switch spec := spec.(type) {
	case *config.OrganisationSpec:
		for _, rate := range ratesOf(configuration, d) {
			add(config.KindRate, rate)
		}
	case *config.RateSpec:
		for _, o := range selectDocuments(configuration, config.KindOrganisation, spec.Selector.Labels()) {
			add(o.Kind, o.Name)
		}
	case *config.ClassSpec:
		for _, r := range selectDocuments(configuration, config.KindRoute, spec.Selector.Labels()) {
			add(r.Kind, r.Name)
		}
	case *config.RouteSpec:
		r := routeNamed(s, d.Name)
		add(config.KindClass, r.Class.Name)
		for _, t := range targets {
			policy := s.TargetPolicy(t.Service, t.Name, announcedLabels(t), int(t.Slots))
			if t.Service == r.Service && r.Selector.Matches(policy.Labels) && !policy.Draining {
				add("announced target", t.Node+"/"+t.Name)
			}
		}
	case *config.DataCentreSpec:
		for _, t := range targets {
			if t.DataCentre == d.Name {
				add("announced target", t.Node+"/"+t.Name)
			}
		}
	case *config.TargetSpec:
		for _, t := range targets {
			if spec.Matches(t.Service, t.Name, announcedLabels(t)) {
				add("announced target", t.Node+"/"+t.Name)
			}
		}
	}
	return described, nil
}

// ratesOf returns the names of the Rate documents that select an organisation.
func ratesOf(configuration *operator.Configuration, organisation operator.Document) []string {
	var names []string
	for _, d := range selectDocuments(configuration, config.KindRate, labels.Everything()) {
		spec, err := config.DecodeSpec(d.Resource())
		rate, isRate := spec.(*config.RateSpec)
		if err == nil && isRate && rate.Selector.Matches(organisation.Labels) {
			names = append(names, d.Name)
		}
	}
	return names
}

// writeDescriptions writes each document as YAML, followed by the related documents and targets as comments and by
// the table of its keys.
func writeDescriptions(w io.Writer, all []description) error {
	for _, one := range all {
		if err := writeDocuments(w, []operator.Document{one.Document}); err != nil {
			return err
		}
		for _, name := range one.Applies {
			if _, err := fmt.Fprintf(w, "# applies with %s\n", name); err != nil {
				return err
			}
		}
		if len(one.Keys) > 0 {
			if err := keyTable(one.Keys).write(w); err != nil {
				return err
			}
		}
	}
	return nil
}
