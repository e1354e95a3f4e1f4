// Package cli implements the command line of the guavaford binary.
//
// There are three sorts of commands:
//   - "node" and "platform" run a node; they differ in where its settings come from.
//   - "check", "explain", "version" and "completion" work on local files or on nothing at all; "check" reads the version in
//     force from a server where it is told to.
//   - All others are clients of the HTTP API for operators (package operator).
//
// A configuration consists of documents, each with a kind, a name, labels and a spec. Its revision
// number grows with each change. A change adds, replaces or deletes documents, or issues or withdraws
// keys, all or nothing. It carries an id, so that it can be sent again when its answer was lost, and
// usually the revision that it expects to be the current one (optimistic concurrency).
//
// A command parses its flags and arguments, calls the API, and prints its result to standard output
// and everything else to standard error. It ends with one of the exit codes of this package.
package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/guavaford/guavaford/internal/settings"
)

// Version is the version of the binary; release builds set it with the linker.
var Version = "0.1.0-dev"

// NodeRunner runs a node until the context is cancelled.
type NodeRunner func(ctx context.Context, s *settings.Node) error

// Main runs the command that args name and returns its exit code.
func Main(ctx context.Context, args []string, in io.Reader, out, errOut io.Writer, run NodeRunner) int {
	root := Command(run)
	root.Reader = in
	root.Writer = out
	root.ErrWriter = errOut
	err := root.Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintf(errOut, "guavaford: %v\n", err)
	return exitCode(err)
}

// Command returns the root command; the command "node" calls run.
func Command(run NodeRunner) *cli.Command {
	root := &cli.Command{
		Name:                  "guavaford",
		Usage:                 "overload control for service call graphs",
		Description:           exitHelp(),
		Version:               Version,
		HideVersion:           true,
		EnableShellCompletion: true,
		Suggest:               true,
		ConfigureShellCompletionCommand: func(c *cli.Command) {
			c.Hidden = false
		},
		Commands: []*cli.Command{
			nodeCommand(run),
			platformCommand(),
			applyCommand(),
			checkCommand(),
			getCommand(),
			describeCommand(),
			deleteCommand(),
			labelCommand(),
			drainCommand(),
			undrainCommand(),
			keysCommand(),
			replicasCommand(),
			quarantineCommand(),
			statusCommand(),
			explainCommand(),
			versionCommand(),
		},
		Action: noCommand,
	}
	root.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	setUsageErrorHandler(root)
	return root
}

// setUsageErrorHandler makes a command and its subcommands report flags that can't be parsed as usage errors.
func setUsageErrorHandler(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, c *cli.Command, err error, _ bool) error {
		return usageError("%v; see %s --help", err, c.FullName())
	}
	for _, sub := range c.Commands {
		setUsageErrorHandler(sub)
	}
}

// noCommand is the action of a command that only groups subcommands: it prints the help,
// or reports an argument that is not a subcommand.
func noCommand(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return usageError("%q is not a command of %s; see %s --help", c.Args().First(), c.FullName(), c.FullName())
	}
	return cli.ShowSubcommandHelp(c)
}

// versionCommand prints the version.
func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, c *cli.Command) error {
			_, err := fmt.Fprintln(c.Root().Writer, "guavaford", Version)
			return err
		},
	}
}
