package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/guavaford/guavaford/internal/keys"
	"github.com/guavaford/guavaford/internal/operator"
)

const (
	flagSecretFile   = "secret-file"
	flagOrganisation = "organisation"
)

// keysCommand groups the commands about keys.
func keysCommand() *cli.Command {
	return &cli.Command{
		Name:     "keys",
		Usage:    "issue, withdraw and list keys of callers",
		Commands: []*cli.Command{issueCommand(), withdrawCommand(), listKeysCommand()},
		Action:   noCommand,
	}
}

// issuedKey is the result of issuing a key.
type issuedKey struct {
	Number       uint64 `json:"number"`
	Organisation string `json:"organisation"`
	Key          string `json:"key"`
	Revision     uint64 `json:"revision"`
}

// issueCommand issues one key. The key is made here, and only its hash is sent.
func issueCommand() *cli.Command {
	return &cli.Command{
		Name:      "issue",
		Usage:     "issue a key and print it; it can't be shown again",
		ArgsUsage: "ORGANISATION",
		Flags: changeFlags(&cli.StringFlag{Name: flagSecretFile, TakesFile: true,
			Usage: "keep the secret in this file until the key is printed, so that a resend can be equal"}),
		Action: withClient(func(ctx context.Context, c *cli.Command, client *operator.Client) error {
			if c.Args().Len() != 1 {
				return usageError("name one organisation")
			}
			if c.IsSet(flagChangeID) && !c.IsSet(flagSecretFile) {
				return usageError("--%s needs --%s as in the first try", flagChangeID, flagSecretFile)
			}
			pending, err := pendingSecret(c.String(flagSecretFile), c.Args().First())
			if err != nil {
				return err
			}
			return issue(ctx, c, client, pending)
		}),
	}
}

// pending is a key that has no number yet, as it is kept in the file of --secret-file.
type pending struct {
	Organisation string `json:"organisation"`
	Secret       string `json:"secret"`
	Hash         []byte `json:"hash"`
}

// pendingSecret reads the secret of an earlier try, or makes one and keeps it if a file is named.
func pendingSecret(file, organisation string) (*pending, error) {
	if file != "" {
		data, err := os.ReadFile(file)
		if err == nil {
			return readPending(file, data, organisation)
		}
		if !os.IsNotExist(err) {
			return nil, usageError("--%s: %v", flagSecretFile, err)
		}
	}
	secret, record, err := keys.Issue(organisation)
	if err != nil {
		return nil, err
	}
	made := &pending{Organisation: organisation, Secret: secret, Hash: record.GetHash()}
	if file == "" {
		return made, nil
	}
	data, err := json.Marshal(made)
	if err != nil {
		return nil, errors.Wrap(err, "write the secret")
	}
	return made, errors.Wrap(os.WriteFile(file, data, 0o600), "keep the secret")
}

// readPending reads the file of an earlier try.
func readPending(file string, data []byte, organisation string) (*pending, error) {
	kept := &pending{}
	if err := json.Unmarshal(data, kept); err != nil || kept.Secret == "" {
		return nil, usageError("--%s: %s holds no secret of an earlier try", flagSecretFile, file)
	}
	if kept.Organisation != organisation {
		return nil, usageError("--%s: %s holds a secret for %s", flagSecretFile, file, kept.Organisation)
	}
	return kept, nil
}

// issue submits the key and prints it.
func issue(ctx context.Context, c *cli.Command, client *operator.Client, p *pending) error {
	change := &operator.Change{IssueKeys: []operator.NewKey{{Organisation: p.Organisation, Hash: p.Hash}}}
	if err := prepare(c, change, nil); err != nil {
		return err
	}
	accepted, err := submit(ctx, c, client, change)
	if err != nil && exitCode(err) == ExitUnknown && !c.IsSet(flagSecretFile) {
		return errors.WithMessagef(err, "without --%s the key can't be sent again: list the keys of %s, withdraw an unexpected one, and issue another\n",
			flagSecretFile, p.Organisation)
	}
	if err != nil {
		return err
	}
	if len(accepted.KeyNumbers) != 1 {
		return errors.Errorf("the server named %d key numbers instead of one", len(accepted.KeyNumbers))
	}
	key := issuedKey{accepted.KeyNumbers[0], p.Organisation, keys.Format(accepted.KeyNumbers[0], p.Secret), accepted.Revision}
	err = render(c, key, func(w io.Writer) error {
		_, err := fmt.Fprintln(w, key.Key)
		return err
	})
	if err == nil && c.IsSet(flagSecretFile) {
		return errors.Wrap(os.Remove(c.String(flagSecretFile)), "remove the secret")
	}
	return err
}

// withdrawCommand withdraws keys.
func withdrawCommand() *cli.Command {
	return &cli.Command{
		Name:      "withdraw",
		Usage:     "withdraw keys by number, or all of an organisation",
		ArgsUsage: "NUMBER... | --organisation ORGANISATION",
		Flags:     changeFlags(&cli.StringFlag{Name: flagOrganisation, Usage: "withdraw every key of this organisation"}),
		Action: withClient(func(ctx context.Context, c *cli.Command, client *operator.Client) error {
			numbers, err := keyNumbers(ctx, c, client)
			if err != nil {
				return err
			}
			change := &operator.Change{WithdrawKeys: numbers}
			if err := prepare(c, change, nil); err != nil {
				return err
			}
			accepted, err := submit(ctx, c, client, change)
			if err != nil {
				return err
			}
			return renderAccepted(c, accepted)
		}),
	}
}

// keyNumbers returns the numbers of the keys to withdraw.
func keyNumbers(ctx context.Context, c *cli.Command, client *operator.Client) ([]uint64, error) {
	organisation := c.String(flagOrganisation)
	if (organisation == "") == !c.Args().Present() {
		return nil, usageError("give numbers of keys or --%s", flagOrganisation)
	}
	var numbers []uint64
	for _, arg := range c.Args().Slice() {
		number, err := strconv.ParseUint(arg, 10, 64)
		if strings.HasPrefix(arg, "gf_") {
			return nil, usageError("give the number of the key (the part between the first two _), not the key itself")
		}
		if err != nil || number == 0 {
			return nil, usageError("%q is not the number of a key", arg)
		}
		numbers = append(numbers, number)
	}
	if organisation == "" {
		return numbers, nil
	}
	list, err := client.Keys(ctx, organisation)
	if err != nil {
		return nil, err
	}
	warnUnconfirmed(c, list.Revision, list.Confirmed)
	for _, k := range list.Keys {
		if !k.Withdrawn {
			numbers = append(numbers, k.Number)
		}
	}
	if len(numbers) == 0 {
		return nil, notFoundError("%s has no valid key at revision %d", organisation, list.Revision)
	}
	return numbers, nil
}

// listKeysCommand lists keys.
func listKeysCommand() *cli.Command {
	return &cli.Command{
		Name:  "list",
		Usage: "list keys by number; the keys themselves are not kept",
		Flags: clientFlags(&cli.StringFlag{Name: flagOrganisation, Usage: "list only keys of this organisation"}),
		Action: withClient(func(ctx context.Context, c *cli.Command, client *operator.Client) error {
			list, err := client.Keys(ctx, c.String(flagOrganisation))
			if err != nil {
				return err
			}
			warnUnconfirmed(c, list.Revision, list.Confirmed)
			return render(c, list.Keys, keyTable(list.Keys).write)
		}),
	}
}

// keyTable returns a table of keys.
func keyTable(listed []operator.Key) *table {
	t := &table{header: []string{"KEY", "ORGANISATION", "STATE", "REVISION"}}
	for _, k := range listed {
		state := "valid"
		if k.Withdrawn {
			state = "withdrawn"
		}
		t.add(strconv.FormatUint(k.Number, 10), k.Organisation, state, strconv.FormatUint(k.Revision, 10))
	}
	return t
}
