// Command guavaford is the overload control layer: node, control replica and operators' tool in one binary.
package main

import (
	"context"
	"os"

	"github.com/pkg/errors"

	"github.com/guavaford/guavaford/internal/cli"
	"github.com/guavaford/guavaford/internal/settings"
)

func main() {
	os.Exit(cli.Main(context.Background(), os.Args, os.Stdin, os.Stdout, os.Stderr, runNode))
}

// runNode runs a process of the fleet.
func runNode(context.Context, *settings.Node) error {
	return errors.New("this build has no node")
}
