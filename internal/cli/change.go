package cli

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/guavaford/guavaford/internal/operator"
)

// maxConflicts bounds how often a change that the client works out from the
// current documents is worked out anew after a conflict.
const maxConflicts = 5

// changeIDBytes is the length of the random change ids.
const changeIDBytes = 12

// newChangeID draws a change id.
func newChangeID() (string, error) {
	raw := make([]byte, changeIDBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", errors.Wrap(err, "draw a change id")
	}
	return hex.EncodeToString(raw), nil
}

// prepare fills in id and expected revision from the flags. Current is the revision
// that the change was worked out from; nil if it depends on none.
func prepare(c *cli.Command, change *operator.Change, current *uint64) error {
	change.ID = c.String(flagChangeID)
	change.AnyRevision = c.Bool(flagAnyRevision)
	if c.IsSet(flagExpectedRevision) {
		if change.AnyRevision {
			return usageError("give one of --%s and --%s", flagExpectedRevision, flagAnyRevision)
		}
		expected := c.Uint64(flagExpectedRevision)
		change.ExpectedRevision = &expected
	}
	if change.ID == "" {
		id, err := newChangeID()
		if err != nil {
			return err
		}
		change.ID = id
	}
	if change.AnyRevision || change.ExpectedRevision != nil {
		return nil
	}
	change.ExpectedRevision = current
	change.AnyRevision = current == nil
	return nil
}

// checkResend refuses a change id without the revision of the first try: a resend must be
// equal to it, else the server takes it for another change.
func checkResend(c *cli.Command) error {
	if c.IsSet(flagChangeID) && !c.IsSet(flagExpectedRevision) && !c.Bool(flagAnyRevision) {
		return usageError("--%s needs --%s or --%s as in the first try", flagChangeID, flagExpectedRevision, flagAnyRevision)
	}
	return nil
}

// submit makes a change and prints its id and outcome to standard error.
func submit(ctx context.Context, c *cli.Command, client *operator.Client, change *operator.Change) (*operator.Accepted, error) {
	accepted, err := client.Change(ctx, change)
	errOut := c.Root().ErrWriter
	if err == nil {
		_, _ = fmt.Fprintf(errOut, "change %s accepted at revision %d\n", change.ID, accepted.Revision)
		return accepted, nil
	}
	switch exitCode(err) {
	case ExitUnknown:
		return nil, errors.WithMessagef(err, "the change may or may not take effect; to find out, repeat the command with %s\n", resendFlags(change))
	case ExitConflict:
		return nil, errors.WithMessagef(err, "change %s was not made", change.ID)
	default:
		return nil, err
	}
}

// renderAccepted writes the answer to a change for programs; submit has told it to people.
func renderAccepted(c *cli.Command, accepted *operator.Accepted) error {
	return render(c, accepted, func(io.Writer) error { return nil })
}

// resendFlags returns the flags that make a repeated command an equal resend.
func resendFlags(change *operator.Change) string {
	if change.AnyRevision {
		return fmt.Sprintf("--%s %s --%s", flagChangeID, change.ID, flagAnyRevision)
	}
	return fmt.Sprintf("--%s %s --%s %d", flagChangeID, change.ID, flagExpectedRevision, *change.ExpectedRevision)
}

// edit works a change out from the current configuration and makes it. After a conflict it
// starts again from the new configuration, unless the flags fix the revision. Nothing is
// sent when work returns an empty change.
func edit(ctx context.Context, c *cli.Command, client *operator.Client, work func(*operator.Configuration) (*operator.Change, error)) error {
	if err := checkResend(c); err != nil {
		return err
	}
	fixed := c.IsSet(flagExpectedRevision) || c.Bool(flagAnyRevision)
	for try := 1; ; try++ {
		configuration, err := client.Configuration(ctx)
		if err != nil {
			return err
		}
		change, err := work(configuration)
		if err != nil {
			return err
		}
		if len(change.Upserts)+len(change.Deletes) == 0 {
			_, err := fmt.Fprintf(c.Root().ErrWriter, "nothing to change at revision %d\n", configuration.Revision)
			return err
		}
		if err := prepare(c, change, &configuration.Revision); err != nil {
			return err
		}
		accepted, err := submit(ctx, c, client, change)
		if err == nil {
			return renderAccepted(c, accepted)
		}
		if exitCode(err) != ExitConflict || fixed || try == maxConflicts {
			return err
		}
	}
}
