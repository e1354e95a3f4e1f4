package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/guavaford/guavaford/internal/config"
	"github.com/guavaford/guavaford/internal/operator"
)

const (
	flagNode = "node"
	flagUndo = "undo"
)

// drainCommand stops new work for targets, or lets it in again.
func drainCommand() *cli.Command {
	return &cli.Command{
		Name:      "drain",
		Usage:     "stop new work for targets, or let it in again with --undo",
		ArgsUsage: "SERVICE/TARGET | -l SELECTOR SERVICE | --node NODE",
		Description: "A drain is a Target document named drain-...; it stays in force until it is undone, also when\n" +
			"targets and nodes restart. Requests that already run are finished. See them in: status",
		Flags: changeFlags(
			selectorFlag("drain the targets of the service whose announced labels match"),
			&cli.StringFlag{Name: flagNode, Usage: "drain every target beside this node"},
			&cli.BoolFlag{Name: flagUndo, Usage: "end the drain"},
		),
		Commands: []*cli.Command{dataCentreCommand("stop new work for all targets of a data centre", false)},
		Action: withClient(func(ctx context.Context, c *cli.Command, client *operator.Client) error {
			document, err := drainDocument(c)
			if err != nil {
				return err
			}
			return submitDrain(ctx, c, client, document, c.Bool(flagUndo))
		}),
	}
}

// undrainCommand ends drains.
func undrainCommand() *cli.Command {
	return &cli.Command{
		Name:     "undrain",
		Usage:    "end the drain of a data centre",
		Commands: []*cli.Command{dataCentreCommand("let new work for the targets of a data centre in again", true)},
		Action:   noCommand,
	}
}

// dataCentreCommand drains a data centre, or ends its drain if undo is set.
func dataCentreCommand(usage string, undo bool) *cli.Command {
	return &cli.Command{
		Name:      "data-centre",
		Usage:     usage,
		ArgsUsage: "NAME",
		Description: "The drain is a DataCentre document with the name of the data centre; it stays in force until it is undone. Requests\n" +
			"that already run are finished, those that wait go elsewhere. See it in: get datacentres",
		Flags: changeFlags(),
		Action: withClient(func(ctx context.Context, c *cli.Command, client *operator.Client) error {
			name := c.Args().First()
			if c.Args().Len() != 1 || !config.ValidDataCentre(name) {
				return usageError("name one data centre, as in: %s kl", c.FullName())
			}
			spec, err := json.Marshal(&config.DataCentreSpec{Drain: true})
			if err != nil {
				return errors.Wrap(err, "encode the drain")
			}
			document := operator.Document{Kind: config.KindDataCentre, Name: name, Spec: spec}
			return submitDrain(ctx, c, client, document, undo)
		}),
	}
}

// submitDrain adds the document of a drain, or removes it if undo is set.
func submitDrain(ctx context.Context, c *cli.Command, client *operator.Client, document operator.Document, undo bool) error {
	return computeAndSubmit(ctx, c, client, func(configuration *operator.Configuration) (*operator.Change, error) {
		return drainChange(configuration, document, undo, c.IsSet(flagChangeID))
	})
}

// drainChange returns the change that adds or removes the document of a drain; it is empty if the drain exists
// already. A DataCentre document may exist without a drain. A resend is built without regard to the current documents, which may already contain its effect.
func drainChange(configuration *operator.Configuration, d operator.Document, undo, resend bool) (*operator.Change, error) {
	ref := operator.DocumentRef{Kind: d.Kind, Name: d.Name}
	known, missing := find(configuration, ref)
	switch {
	case undo && missing != nil && !resend:
		return nil, notFoundError("there is no such drain (%s %s)", d.Kind, d.Name)
	case undo:
		return &operator.Change{Deletes: []operator.DocumentRef{ref}}, nil
	case missing == nil && (d.Kind == config.KindTarget || bytes.Equal(known.Spec, d.Spec)) && !resend:
		return &operator.Change{}, nil
	default:
		return &operator.Change{Upserts: []operator.Document{d}}, nil
	}
}

// drainDocument builds the Target document of the drain that the command line describes.
func drainDocument(c *cli.Command) (operator.Document, error) {
	spec, err := drainSpec(c)
	if err != nil {
		return operator.Document{}, err
	}
	encoded, err := json.Marshal(spec)
	if err != nil {
		return operator.Document{}, errors.Wrap(err, "encode the drain")
	}
	return operator.Document{Kind: config.KindTarget, Name: drainName(spec), Spec: encoded}, nil
}

// drainSpec parses the flags and arguments that select the targets to drain.
func drainSpec(c *cli.Command) (*config.TargetSpec, error) {
	spec := &config.TargetSpec{Drain: true}
	selector := c.String(flagSelector)
	switch {
	case c.IsSet(flagNode):
		if c.Args().Present() || c.IsSet(flagSelector) {
			return nil, usageError("--%s drains every target of the node and takes nothing else", flagNode)
		}
		spec.Service = config.AnyService
		selector = config.LabelNode + "=" + c.String(flagNode)
	case c.IsSet(flagSelector):
		if c.Args().Len() != 1 || strings.Contains(c.Args().First(), "/") {
			return nil, usageError("name the service of the targets, as in: drain -l zone=kl jadual")
		}
		spec.Service = c.Args().First()
	default:
		service, target, found := strings.Cut(c.Args().First(), "/")
		if c.Args().Len() != 1 || !found || service == "" || target == "" {
			return nil, usageError("name the target as SERVICE/TARGET, or choose by --%s or --%s", flagSelector, flagNode)
		}
		spec.Service = service
		spec.Target = target
		return spec, nil
	}
	if err := spec.Selector.UnmarshalText([]byte(selector)); err != nil {
		return nil, usageError("%v", err)
	}
	if spec.Selector.Empty() {
		return nil, usageError("--%s must not be empty", flagSelector)
	}
	return spec, nil
}

// maxReadableName is the length of the readable part of a drain's name in characters. It leaves room for "drain-" and
// the hash in a name of 63 characters.
const maxReadableName = 40

// drainName returns the document name of a drain. It depends only on the selected targets, so that --undo
// finds the drain.
func drainName(spec *config.TargetSpec) string {
	selector, _ := spec.Selector.MarshalText()
	hashInput := strings.Join([]string{spec.Service, spec.Target, string(selector)}, "\x00")
	readable := strings.Map(func(r rune) rune {
		if (r >= 'a' && r <= 'z') || (r >= '0' && r <= '9') {
			return r
		}
		return '-'
	}, strings.ToLower(spec.Service+"-"+spec.Target+string(selector)))
	readable = strings.Trim(readable[:min(len(readable), maxReadableName)], "-")
	return fmt.Sprintf("drain-%s-%08x", readable, uint32(xxhash.Sum64String(hashInput)))
}
