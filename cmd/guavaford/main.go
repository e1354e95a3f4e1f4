// Command guavaford is the overload control layer: node, control replica and operators' tool in one binary.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/guavaford/guavaford/internal/cli"
	"github.com/guavaford/guavaford/internal/node"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := cli.Main(ctx, os.Args, os.Stdin, os.Stdout, os.Stderr, node.Run)
	stop()
	os.Exit(code)
}
