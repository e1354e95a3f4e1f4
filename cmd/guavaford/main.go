// Command guavaford is an overload control layer for service call graphs. One binary runs a node, which may hold a
// control replica, and is the command-line client for operators; package cli lists its commands.
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
