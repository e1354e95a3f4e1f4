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

// keysCommand groups the commands that manage the keys of callers.
func keysCommand() *cli.Command {
	return &cli.Command{
		Name:     "keys",
		Usage:    "issue, withdraw and list keys of callers",
		Commands: []*cli.Command{issueCommand(), withdrawCommand(), listKeysCommand()},
		Action:   noCommand,
	}
}

// issuedKey is the output of "keys issue" in the formats JSON and YAML.
type issuedKey struct {
	Number       uint64 `json:"number"`
	Organisation string `json:"organisation"`
	Key          string `json:"key"`
	Revision     uint64 `json:"revision"`
}

// issueCommand issues one key. The client generates the secret and sends only its hash.
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
			key, err := loadOrCreateKey(c.String(flagSecretFile), c.Args().First())
			if err != nil {
				return err
			}
			return issue(ctx, c, client, key)
		}),
	}
}

// pendingKey is a key to which the server has not assigned a number yet, as the file of --secret-file stores it.
type pendingKey struct {
	Organisation string `json:"organisation"`
	Secret       string `json:"secret"`
	Hash         []byte `json:"hash"`
}

// loadOrCreateKey reads the key of an earlier try from the file. If the file does not exist, it generates a key and
// writes it there; an empty file name generates a key that is not stored.
func loadOrCreateKey(file, organisation string) (*pendingKey, error) {
	if file != "" {
		data, err := os.ReadFile(file)
		if err == nil {
			return parsePendingKey(file, data, organisation)
		}
		if !os.IsNotExist(err) {
			return nil, usageError("--%s: %v", flagSecretFile, err)
		}
	}
	secret, record, err := keys.Issue(organisation)
	if err != nil {
		return nil, err
	}
	created := &pendingKey{Organisation: organisation, Secret: secret, Hash: record.GetHash()}
	if file == "" {
		return created, nil
	}
	data, err := json.Marshal(created)
	if err != nil {
		return nil, errors.Wrap(err, "encode the secret")
	}
	return created, errors.Wrap(os.WriteFile(file, data, 0o600), "keep the secret")
}

// parsePendingKey decodes the data of the secret file and checks that it belongs to the organisation.
func parsePendingKey(file string, data []byte, organisation string) (*pendingKey, error) {
	stored := &pendingKey{}
	if err := json.Unmarshal(data, stored); err != nil || stored.Secret == "" {
		return nil, usageError("--%s: %s holds no secret of an earlier try", flagSecretFile, file)
	}
	if stored.Organisation != organisation {
		return nil, usageError("--%s: %s holds a secret for %s", flagSecretFile, file, stored.Organisation)
	}
	return stored, nil
}

// issue submits the hash of the key and prints the key with the number that the server assigned. Then it removes the
// secret file.
func issue(ctx context.Context, c *cli.Command, client *operator.Client, p *pendingKey) error {
	change := &operator.Change{IssueKeys: []operator.NewKey{{Organisation: p.Organisation, Hash: p.Hash}}}
	if err := applyChangeFlags(c, change, nil); err != nil {
		return err
	}
	accepted, err := submit(ctx, c, client, change)
	if err != nil && exitCode(err) == ExitOutcomeUnknown && !c.IsSet(flagSecretFile) {
		return errors.WithMessagef(err, "without --%s the key can't be sent again: list the keys of %s, withdraw an unexpected one, and issue another\n",
			flagSecretFile, p.Organisation)
	}
	if err != nil {
		return err
	}
	if len(accepted.KeyNumbers) != 1 {
		return errors.Errorf("the server returned %d key numbers instead of one", len(accepted.KeyNumbers))
	}
	key := issuedKey{accepted.KeyNumbers[0], p.Organisation, keys.Format(accepted.KeyNumbers[0], p.Secret), accepted.Revision}
	err = render(c, key, func(w io.Writer) error {
		_, err := fmt.Fprintln(w, key.Key)
		return err
	})
	if err == nil && c.IsSet(flagSecretFile) {
		return errors.Wrap(os.Remove(c.String(flagSecretFile)), "remove the file of the secret")
	}
	return err
}

// withdrawCommand withdraws keys: requests that carry them are refused from then on.
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
			if err := applyChangeFlags(c, change, nil); err != nil {
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

// keyNumbers returns the numbers of the keys to withdraw: those of the arguments, or the valid keys of
// --organisation.
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

// keyTable returns the table that lists keys by number.
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
