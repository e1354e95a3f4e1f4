// Command target is an example of a target, a server process of a service. It announces itself to the node
// on its host and renews the announcement, takes a fixed time for each request, and can make sub-calls
// through the node before it answers.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/guavaford/guavaford/internal/telemetry"
)

// options are the settings of a target, one field for each flag.
type options struct {
	node        string
	name        string
	service     string
	address     string
	labels      map[string]string
	slots       int
	serviceTime time.Duration
	coldStart   time.Duration
	coldFactor  float64
	calls       []string
	failEvery   int
	journal     string
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "target:", err)
		os.Exit(1)
	}
}

// command returns the command line of a target.
func command() *cli.Command {
	o := &options{}
	return &cli.Command{
		Name:  "target",
		Usage: "run an example target",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "node", Value: "http://127.0.0.1:8081", Usage: "targets' address of the node on this host", Destination: &o.node},
			&cli.StringFlag{Name: "name", Required: true, Usage: "name, unique on this host", Destination: &o.name},
			&cli.StringFlag{Name: "service", Required: true, Usage: "service of the target", Destination: &o.service},
			&cli.StringFlag{Name: "address", Value: "127.0.0.1:0", Usage: "IP number and port to serve at", Destination: &o.address},
			&cli.StringMapFlag{Name: "label", Usage: "label KEY=VALUE; may be repeated", Destination: &o.labels},
			&cli.IntFlag{Name: "slots", Value: 10, Usage: "requests that run at once; others wait", Destination: &o.slots},
			&cli.DurationFlag{Name: "service-time", Value: 10 * time.Millisecond, Usage: "time of one request", Destination: &o.serviceTime},
			&cli.DurationFlag{Name: "cold-start", Usage: "time after the start in which requests take longer", Destination: &o.coldStart},
			&cli.FloatFlag{Name: "cold-factor", Value: 5, Usage: "factor by which they take longer", Destination: &o.coldFactor},
			&cli.StringSliceFlag{Name: "call", Usage: "sub-call SERVICE/PATH made by each request; may be repeated", Destination: &o.calls},
			&cli.StringFlag{Name: "journal", Usage: "file to which each started request is appended as METHOD PATH", Destination: &o.journal},
			&cli.IntFlag{Name: "fail-every", Usage: "answer each n-th request with status 500; 0 for none", Destination: &o.failEvery},
		},
		Action: func(ctx context.Context, _ *cli.Command) error { return run(ctx, o) },
	}
}

// drainTime is how long a target goes on serving after it has announced that it leaves, so that the node
// stops sending it requests before its server shuts down.
const drainTime = time.Second

// run serves until ctx is cancelled, then leaves without aborting a running request.
func run(ctx context.Context, o *options) error {
	logger, err := telemetry.NewLogger(os.Stderr, "info")
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", o.address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: newHandler(o), ReadHeaderTimeout: 5 * time.Second}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	announcer := newAnnouncer(o, listener.Addr().String(), logger)
	logger.Info("target started", "name", o.name, "service", o.service, "address", listener.Addr())
	select {
	case err := <-failed:
		return err
	case <-announcer.run(ctx):
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	announcer.announce(stopCtx, "leaving")
	time.Sleep(drainTime)
	err = server.Shutdown(stopCtx)
	announcer.withdraw(stopCtx)
	logger.Info("target stopped", "name", o.name, "err", err)
	return err
}
