package cli

import (
	"context"
	"fmt"
	"io"
	"strconv"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/guavaford/guavaford/internal/operator"
)

// configurationGroup is the number of the Raft group that replicates the configuration. All control replicas are
// members of it.
const configurationGroup = 0

// replicasCommand groups the commands that manage control replicas.
func replicasCommand() *cli.Command {
	return &cli.Command{
		Name:     "replicas",
		Usage:    "list control replicas, and remove one that does not come back",
		Commands: []*cli.Command{listReplicasCommand(), removeReplicaCommand()},
		Action:   noCommand,
	}
}

// listReplicasCommand lists the control replicas.
func listReplicasCommand() *cli.Command {
	return &cli.Command{
		Name:  "list",
		Usage: "list the control replicas as the answering one sees them",
		Flags: clientFlags(),
		Action: withClient(func(ctx context.Context, c *cli.Command, client *operator.Client) error {
			status, err := client.Status(ctx)
			if err != nil {
				return err
			}
			if status.Control == nil {
				return &exitError{ExitUnavailable, errors.Errorf("no control replica answered: %s", status.ControlError)}
			}
			members := []operator.Replica{}
			for _, r := range status.Control.Replicas {
				if r.Group == configurationGroup {
					members = append(members, r)
				}
			}
			return render(c, members, replicaTable(members).write)
		}),
	}
}

// removeReplicaCommand removes a control replica from the membership.
func removeReplicaCommand() *cli.Command {
	return &cli.Command{
		Name:      "remove",
		Usage:     "take a replica out of the membership for good, so that it no longer counts for the quorum",
		ArgsUsage: "ID",
		Description: "Only for a host that does not come back. A host that lost its disk needs no removal:\n" +
			"it joins again under a new id, and its old replica is replaced. The process of a removed\n" +
			"replica ends; it joins again only with an empty data folder.",
		Flags: clientFlags(),
		Action: withClient(func(ctx context.Context, c *cli.Command, client *operator.Client) error {
			id, err := strconv.ParseUint(c.Args().First(), 10, 64)
			if err != nil || c.Args().Len() != 1 || id == 0 {
				return usageError("name one replica by its id; see: replicas list")
			}
			if err := client.RemoveReplica(ctx, id); err != nil {
				return err
			}
			return render(c, operator.RemovedReplica{ID: id}, func(w io.Writer) error {
				_, err := fmt.Fprintf(w, "replica %d is being removed\n", id)
				return err
			})
		}),
	}
}
