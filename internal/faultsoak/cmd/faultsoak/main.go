// Command faultsoak runs the programs of this repository under random faults and checks the guarantees of the system.
// The seed determines the faults.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/guavaford/guavaford/internal/faultsoak"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var seed uint64
	var runs int
	var length time.Duration
	command := &cli.Command{
		Name:  "faultsoak",
		Usage: "run processes under faults and check their promises; run it in the repository",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "first seed; drawn when 0", Destination: &seed},
			&cli.IntFlag{Name: "runs", Value: 1, Usage: "seeds to play, one after the other", Destination: &runs},
			&cli.DurationFlag{Name: "length", Value: 20 * time.Second, Usage: "time in which faults happen", Destination: &length},
		},
		Action: func(ctx context.Context, _ *cli.Command) error { return playAll(ctx, seed, runs, length) },
	}
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "faultsoak:", err)
		os.Exit(1)
	}
}

// playAll runs seeds one after the other. It fails if a guarantee was violated in any of them, and keeps the files of
// these runs.
func playAll(ctx context.Context, seed uint64, runs int, length time.Duration) error {
	if seed == 0 {
		seed = rand.Uint64N(1 << 32)
	}
	failed := 0
	for n := range uint64(runs) {
		report, folder, err := play(ctx, seed+n, length)
		if err != nil {
			return errors.Wrapf(err, "seed %d, files in %s", seed+n, folder)
		}
		s := report.Summary
		fmt.Printf("seed %d: %d faults, %d bookings, tries %v, %d requests of the limited organisation, %d to cold targets, %d with a home region, %d uploads, %d evacuations, %d promises broken\n",
			report.Seed, len(report.Plan), s.Bookings, s.Tries, s.Limited, s.Cold, s.Home, s.Uploads, s.Evacuations, len(report.Violations))
		if len(report.Violations) > 0 {
			fmt.Printf("  command: go run ./internal/faultsoak/cmd/faultsoak --seed %d --length %v\n", report.Seed, length)
		}
		for _, line := range report.Violations {
			fmt.Println("  broken:", line)
		}
		if len(report.Violations) > 0 {
			failed++
			fmt.Println("  files:", folder)
			continue
		}
		if err := os.RemoveAll(folder); err != nil {
			return errors.Wrap(err, "remove the files of the run")
		}
	}
	if failed > 0 {
		return errors.Errorf("%d of %d seeds broke a promise", failed, runs)
	}
	fmt.Println("faultsoak: ok")
	return nil
}

// play runs one seed in a temporary folder, which it returns as well.
func play(ctx context.Context, seed uint64, length time.Duration) (*faultsoak.Report, string, error) {
	folder, err := os.MkdirTemp("", "faultsoak")
	if err != nil {
		return nil, "", errors.Wrap(err, "folder")
	}
	report, err := faultsoak.Run(ctx, faultsoak.Options{Seed: seed, Length: length, Root: ".", Folder: folder, Out: os.Stdout})
	return report, folder, err
}
