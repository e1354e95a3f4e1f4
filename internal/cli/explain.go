package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/guavaford/guavaford/internal/explain"
)

// explainCommand prints the log lines about one request, and those that show the state of the fleet around it.
func explainCommand() *cli.Command {
	id := ""
	return &cli.Command{
		Name:      "explain",
		Usage:     "print the way of one request through the logs of several processes",
		ArgsUsage: "FILE...",
		Description: "Lines that name the request are marked with >; the others show what the processes knew of the fleet\n" +
			"around that time. Files are read line by line.",
		Flags: []cli.Flag{&cli.StringFlag{Name: "id", Destination: &id, Usage: "identity of the request, as its caller knows it"}},
		Action: func(_ context.Context, c *cli.Command) error {
			if id == "" || !c.Args().Present() {
				return usageError("give --id and at least one file")
			}
			var sources []explain.Source
			for _, path := range c.Args().Slice() {
				sources = append(sources, explain.Source{Name: path, Open: func() (io.ReadCloser, error) { return os.Open(path) }})
			}
			lines, err := explain.FindRequest(id, sources)
			if err != nil {
				return errors.WithMessage(err, "explain")
			}
			if len(lines) == 0 {
				return errors.Errorf("no line names request %s", id)
			}
			return printLines(c.Root().Writer, lines)
		},
	}
}

// printLines writes each line with its log file, and marks those that name the request.
func printLines(w io.Writer, lines []explain.Line) error {
	for _, l := range lines {
		mark := " "
		if l.NamesRequest {
			mark = ">"
		}
		if _, err := fmt.Fprintf(w, "%s %s: %s\n", mark, l.Source, l.Text); err != nil {
			return err
		}
	}
	return nil
}
