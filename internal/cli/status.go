package cli

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/guavaford/guavaford/internal/operator"
)

// statusCommand shows the state of the fleet.
func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show replicas, the revision in force on each node, targets, limits and leases",
		Flags: clientFlags(),
		Action: withClient(func(ctx context.Context, c *cli.Command, client *operator.Client) error {
			status, err := client.Status(ctx)
			if err != nil {
				return err
			}
			return render(c, status, func(w io.Writer) error { return writeStatus(w, status) })
		}),
	}
}

// writeStatus writes a status as a line on the control replicas and a table for each part that is not empty.
func writeStatus(w io.Writer, s *operator.Status) error {
	var tables []*table
	if s.Control == nil {
		if _, err := fmt.Fprintf(w, "control: not reached: %s\n", s.ControlError); err != nil {
			return err
		}
	} else {
		confirmed := "confirmed by a quorum"
		if !s.Control.Confirmed {
			confirmed = "NOT confirmed by a quorum"
		}
		if _, err := fmt.Fprintf(w, "control: revision %d, %s, answered by %s\n", s.Control.Revision, confirmed, s.Control.AnsweredBy); err != nil {
			return err
		}
		tables = append(tables, replicaTable(s.Control.Replicas), ownerTable(s.Control.RateOwners),
			nodeTable(s.Control), targetTable(s.Control.Targets))
	}
	tables = append(tables, localTables(s.Node)...)
	for _, t := range tables {
		if len(t.rows) == 0 {
			continue
		}
		if _, err := fmt.Fprintln(w); err != nil {
			return err
		}
		if err := t.write(w); err != nil {
			return err
		}
	}
	return nil
}

// replicaTable has one row for each member of each Raft group.
func replicaTable(replicas []operator.Replica) *table {
	t := &table{header: []string{"GROUP", "REPLICA", "NODE", "DATA CENTRE", "ROLE", "TERM", "SYNCED", "COMMITTED", "HEARD"}}
	for _, r := range replicas {
		t.add(formatUint32(r.Group), strconv.FormatUint(r.ID, 10), orDash(r.Node), orDash(r.DataCentre), r.Role, strconv.FormatUint(r.Term, 10),
			strconv.FormatUint(r.MatchIndex, 10), strconv.FormatUint(r.CommitIndex, 10), formatAge(r.HeardAgeMS))
	}
	return t
}

// ownerTable has one row for each replica that owns rate shards, with their number and their highest epoch.
func ownerTable(owners []operator.RateOwner) *table {
	t := &table{header: []string{"RATE OWNER", "ADDRESS", "SHARDS", "LATEST EPOCH"}}
	type owner struct {
		replica uint64
		address string
	}
	shards := map[owner]int{}
	epochs := map[owner]uint64{}
	var order []owner
	for _, o := range owners {
		key := owner{o.Replica, o.Address}
		if shards[key] == 0 {
			order = append(order, key)
		}
		shards[key]++
		epochs[key] = max(epochs[key], o.Epoch)
	}
	for _, key := range order {
		t.add(strconv.FormatUint(key.replica, 10), orDash(key.address), strconv.Itoa(shards[key]), strconv.FormatUint(epochs[key], 10))
	}
	return t
}

// nodeTable has one row for each node that the answering control replica knows.
func nodeTable(control *operator.ControlStatus) *table {
	t := &table{header: []string{"NODE", "ADDRESS", "DATA CENTRE", "REVISION", "BEHIND", "HEARD", "STATE"}}
	for _, n := range control.Nodes {
		state := "running"
		if n.Leaving {
			state = "leaving"
		}
		behind := "-"
		if n.Revision < control.Revision {
			behind = strconv.FormatUint(control.Revision-n.Revision, 10)
		}
		t.add(n.Name, n.Address, n.DataCentre, strconv.FormatUint(n.Revision, 10), behind, formatAge(n.HeardAgeMS), state)
	}
	return t
}

// targetTable has one row for each announced target.
func targetTable(targets []operator.TargetStatus) *table {
	t := &table{header: []string{"SERVICE", "TARGET", "NODE", "DATA CENTRE", "STATE", "SLOTS", "LABELS"}}
	for _, target := range targets {
		t.add(target.Service, target.Name, target.Node, target.DataCentre, target.State, formatUint32(target.Slots), formatLabels(target.Labels))
	}
	return t
}

// localTables returns the tables of the answering node's own state: the node, its targets, and its leases of
// rate tokens.
func localTables(n operator.NodeStatus) []*table {
	node := &table{header: []string{"ANSWERING NODE", "DATA CENTRE", "REVISION", "CONFIRMED", "STATE"}}
	state := "running"
	if n.Stopping {
		state = "stopping"
	}
	node.add(n.Name, n.DataCentre, strconv.FormatUint(n.Revision, 10), formatAge(n.ConfirmedAgeMS), state)
	targets := &table{header: []string{"LOCAL TARGET", "SERVICE", "IN FLIGHT", "QUEUED", "LIMIT", "DRAINING"}}
	for _, t := range n.Targets {
		targets.add(t.Name, t.Service, strconv.Itoa(t.InFlight), strconv.Itoa(t.Queued), strconv.Itoa(t.Limit), strconv.FormatBool(t.Draining))
	}
	leases := &table{header: []string{"LEASE OF", "TOKENS", "WAITING"}}
	for _, l := range n.Leases {
		leases.add(l.Organisation, strconv.FormatUint(l.Tokens, 10), strconv.Itoa(l.Waiting))
	}
	return []*table{node, targets, leases}
}

// formatAge formats an age in milliseconds, such as "1.2s ago"; a negative one (-1 if not known) is "never".
func formatAge(milliseconds int64) string {
	if milliseconds < 0 {
		return "never"
	}
	return (time.Duration(milliseconds) * time.Millisecond).String() + " ago"
}

func formatUint32(n uint32) string {
	return strconv.FormatUint(uint64(n), 10)
}
