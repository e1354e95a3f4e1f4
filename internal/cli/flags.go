package cli

import (
	"context"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/guavaford/guavaford/internal/operator"
	"github.com/guavaford/guavaford/internal/settings"
)

// Names of the flags of client commands.
const (
	flagServer           = "server"
	flagTokenFile        = "token-file"
	flagTimeout          = "timeout"
	flagOutput           = "output"
	flagFile             = "file"
	flagChangeID         = "change-id"
	flagExpectedRevision = "expected-revision"
	flagAnyRevision      = "any-revision"
	flagSelector         = "selector"
)

// Default values of the flags of client commands.
const (
	defaultServer    = "127.0.0.1:8082"
	defaultTokenFile = "./guavaford-data/operator-token"
	defaultTimeout   = 15 * time.Second
)

// Values of --output.
const (
	outputTable = "table"
	outputJSON  = "json"
	outputYAML  = "yaml"
)

// clientFlags returns the flags that every client command has, followed by more.
func clientFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{Name: flagServer, Aliases: []string{"s"}, Value: []string{defaultServer}, Sources: cli.EnvVars(settings.Variable(flagServer)),
			Usage: "operators' address of a node; repeat it, and the next one is asked when one is down"},
		&cli.StringFlag{Name: flagTokenFile, Value: defaultTokenFile, Sources: cli.EnvVars(settings.Variable(flagTokenFile)), TakesFile: true,
			Usage: "file with the operators' token"},
		&cli.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Sources: cli.EnvVars(settings.Variable(flagTimeout)),
			Usage: "longest time to wait for a final answer"},
		outputFlag(),
	}, more...)
}

// changeFlags returns the flags that every command that submits a change has, followed by more.
func changeFlags(more ...cli.Flag) []cli.Flag {
	return append(clientFlags(
		&cli.StringFlag{Name: flagChangeID, Usage: "id of the change; to resend one whose answer was lost, give its id"},
		&cli.Uint64Flag{Name: flagExpectedRevision, Usage: "make the change only if this is the current revision"},
		&cli.BoolFlag{Name: flagAnyRevision, Usage: "make the change whatever the current revision is"},
	), more...)
}

// outputFlag returns the flag that sets the output format.
func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: flagOutput, Aliases: []string{"o"}, Value: outputTable, Sources: cli.EnvVars(settings.Variable(flagOutput)),
		Usage: "table, json or yaml",
		Validator: func(s string) error {
			if s != outputTable && s != outputJSON && s != outputYAML {
				return errors.Errorf("--output is %q; allowed: table, json, yaml", s)
			}
			return nil
		}}
}

// fileFlag returns the flag that names files of documents.
func fileFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: flagFile, Aliases: []string{"f"}, TakesFile: true, Usage: "file, folder of .yaml files, or - for standard input; may be repeated"}
}

// selectorFlag returns the flag that selects documents or targets by label.
func selectorFlag(usage string) cli.Flag {
	return &cli.StringFlag{Name: flagSelector, Aliases: []string{"l"}, Usage: usage}
}

// clientAction is the action of a client command.
type clientAction func(ctx context.Context, c *cli.Command, client *operator.Client) error

// withClient returns an action that builds a client from the flags and runs action with the time limit of --timeout.
func withClient(action clientAction) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		token, err := readToken(c.String(flagTokenFile))
		if err != nil {
			return err
		}
		client, err := operator.NewClient(c.StringSlice(flagServer), token)
		if err != nil {
			return &exitError{ExitUsage, err}
		}
		ctx, cancel := context.WithTimeout(ctx, c.Duration(flagTimeout))
		defer cancel()
		return action(ctx, c, client)
	}
}

// readToken reads the operators' token from a file.
func readToken(file string) (string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", usageError("--%s (%s): %v", flagTokenFile, settings.Variable(flagTokenFile), err)
	}
	token := strings.TrimSpace(string(data))
	if token == "" {
		return "", usageError("--%s (%s): %s is empty", flagTokenFile, settings.Variable(flagTokenFile), file)
	}
	return token, nil
}
