package cli

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/guavaford/guavaford/internal/operator"
	"github.com/guavaford/guavaford/internal/quarantine"
)

// quarantineCommand groups the commands on requests that crash targets.
func quarantineCommand() *cli.Command {
	return &cli.Command{
		Name:     "quarantine",
		Usage:    "list requests that crash targets, and release one",
		Commands: []*cli.Command{listQuarantineCommand(), releaseCommand()},
		Action:   noCommand,
	}
}

// listQuarantineCommand lists the requests that the answering node knows.
func listQuarantineCommand() *cli.Command {
	return &cli.Command{
		Name:   "list",
		Usage:  "list the requests that were in flight when targets crashed, as the answering node knows them",
		Flags:  clientFlags(),
		Action: withClient(listQuarantine),
	}
}

// listQuarantine prints the requests that the answering node knows as suspects or quarantined.
func listQuarantine(ctx context.Context, c *cli.Command, client *operator.Client) error {
	requests, err := client.Quarantine(ctx)
	if err != nil {
		return err
	}
	return render(c, requests, quarantineTable(requests).write)
}

// quarantineTable returns the requests as a table.
func quarantineTable(requests []operator.QuarantinedRequest) *table {
	t := &table{header: []string{"FINGERPRINT", "SERVICE", "ORGANISATION", "LEVEL", "CRASHES", "LAST TARGET", "LAST CRASH", "UNTIL"}}
	for _, r := range requests {
		until := "-"
		if !r.Until.IsZero() {
			until = r.Until.UTC().Format(time.RFC3339)
		}
		t.add(r.Fingerprint, r.Service, r.Organisation, r.Level, strconv.Itoa(r.Crashes), r.LastTarget, r.LastCrash.UTC().Format(time.RFC3339), until)
	}
	return t
}

// releaseCommand clears a request of all crashes.
func releaseCommand() *cli.Command {
	return &cli.Command{
		Name:      "release",
		Usage:     "let a request run again at once, whatever crashed while it ran",
		ArgsUsage: "FINGERPRINT",
		Description: "Ask a node beside a target of the request's service, or a host with control; it tells the others. If the\n" +
			"request crashes targets again, it is quarantined again.",
		Flags: clientFlags(),
		Action: withClient(func(ctx context.Context, c *cli.Command, client *operator.Client) error {
			f, err := quarantine.ParseFingerprint(c.Args().First())
			if err != nil || c.Args().Len() != 1 {
				return usageError("name one request by its fingerprint; see: quarantine list")
			}
			if err := client.Release(ctx, f); err != nil {
				return err
			}
			return render(c, operator.QuarantinedRequest{Fingerprint: f.String()}, func(w io.Writer) error {
				_, err := fmt.Fprintf(w, "request %s is released\n", f)
				return err
			})
		}),
	}
}
