package cli

import (
	"context"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/guavaford/guavaford/internal/settings"
)

// nodeCommand runs a node with the settings of flags and environment variables.
func nodeCommand(run NodeRunner) *cli.Command {
	node := settings.Default()
	return &cli.Command{
		Name:  "node",
		Usage: "run a node of the fleet",
		Description: "Without flags it runs a single host on loopback: callers 127.0.0.1:8080, targets :8081,\n" +
			"operators :8082, other nodes :8083, with its data in ./guavaford-data.\n" +
			"SIGTERM and SIGINT stop it after the running requests have finished.",
		Flags: node.Flags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return usageError("node takes no arguments, but got %q", c.Args().First())
			}
			if problems := node.Check(); len(problems) > 0 {
				return &exitError{ExitUsage, errors.WithMessage(problems.Err(), "faulty settings:\n")}
			}
			return run(ctx, node)
		},
	}
}
