package cli

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/guavaford/guavaford/internal/feature"
	"github.com/guavaford/guavaford/platform"
)

// defaultMetricsPort is the TCP port for metrics of a node that the command "platform" runs.
const defaultMetricsPort = 9464

// platformCommand runs a node that is set up by a settings file in the format of package platform, instead of
// by flags.
func platformCommand() *cli.Command {
	o := platform.Options{}
	var disable []string
	return &cli.Command{
		Name:  "platform",
		Usage: "run a node by the settings file that " + platform.ConfigPathEnv + " names",
		Description: "The file says what the process serves: the target of its host, operators, or both.\n" +
			"SIGHUP and a change of the file read it again; SIGTERM stops the process after the running requests.\n\n" +
			"Features that --disable takes:\n" + feature.Help(),
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "metrics-port", Value: defaultMetricsPort, Destination: &o.MetricsPort, Usage: "port for metrics; 0 serves none"},
			&cli.StringFlag{Name: "metrics-path", Value: "metrics", Destination: &o.MetricsPath, Usage: "path of the metrics"},
			&cli.StringFlag{Name: "log-level", Value: "info", Destination: &o.LogLevel, Usage: "debug, info, warn or error"},
			&cli.BoolFlag{Name: "learn-capacity", Destination: &o.LearnCapacity, Usage: "divide calls among the targets of a service by what each is learned to handle well"},
			&cli.BoolFlag{Name: "spread-demand", Destination: &o.SpreadDemand, Usage: "decide by the demand of a data centre how many calls leave it"},
			&cli.StringSliceFlag{Name: "disable", Destination: &disable, Usage: "features to turn off, separated by commas"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return usageError("platform takes no arguments, but got %q", c.Args().First())
			}
			if _, err := feature.Parse(disable); err != nil {
				return usageError("--disable: %v", err)
			}
			o.Disable = disable
			return platform.Run(ctx, o)
		},
	}
}
