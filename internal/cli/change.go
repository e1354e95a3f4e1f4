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

// maxConflicts is the number of revision conflicts after which computeAndSubmit gives up.
const maxConflicts = 5

// changeIDBytes is the length of a generated change id before it is encoded as hexadecimal.
const changeIDBytes = 12

// newChangeID returns a random change id.
func newChangeID() (string, error) {
	raw := make([]byte, changeIDBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", errors.Wrap(err, "generate a change id")
	}
	return hex.EncodeToString(raw), nil
}

// applyChangeFlags sets the id and the expected revision of a change from the flags. Without a flag the id is
// random, and the expected revision is current, from which the change was computed; nil accepts any revision.
func applyChangeFlags(c *cli.Command, change *operator.Change, current *uint64) error {
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

// checkResend rejects a change id without the revision flag of the first try: a resend must be
// identical to it, or the server reports that the id was used for another change.
func checkResend(c *cli.Command) error {
	if c.IsSet(flagChangeID) && !c.IsSet(flagExpectedRevision) && !c.Bool(flagAnyRevision) {
		return usageError("--%s needs --%s or --%s as in the first try", flagChangeID, flagExpectedRevision, flagAnyRevision)
	}
	return nil
}

// submit sends a change and prints its id and revision to standard error when it is accepted.
func submit(ctx context.Context, c *cli.Command, client *operator.Client, change *operator.Change) (*operator.AcceptedChange, error) {
	accepted, err := client.Change(ctx, change)
	errOut := c.Root().ErrWriter
	if err == nil {
		_, _ = fmt.Fprintf(errOut, "change %s accepted at revision %d\n", change.ID, accepted.Revision)
		return accepted, nil
	}
	switch exitCode(err) {
	case ExitOutcomeUnknown:
		return nil, errors.WithMessagef(err, "the change may or may not take effect; to find out, repeat the command with %s\n", resendFlags(change))
	case ExitConflict:
		return nil, errors.WithMessagef(err, "change %s was not made", change.ID)
	default:
		return nil, err
	}
}

// renderAccepted writes the answer to a change as JSON or YAML. The table format writes nothing:
// submit has already printed the outcome to standard error.
func renderAccepted(c *cli.Command, accepted *operator.AcceptedChange) error {
	return render(c, accepted, func(io.Writer) error { return nil })
}

// resendFlags returns the flags with which a repeated command sends the identical change.
func resendFlags(change *operator.Change) string {
	if change.AnyRevision {
		return fmt.Sprintf("--%s %s --%s", flagChangeID, change.ID, flagAnyRevision)
	}
	return fmt.Sprintf("--%s %s --%s %d", flagChangeID, change.ID, flagExpectedRevision, *change.ExpectedRevision)
}

// computeAndSubmit computes a change from the current configuration and submits it. After a revision
// conflict it starts again from the new configuration, unless the flags set the revision. An empty
// change is not sent.
func computeAndSubmit(ctx context.Context, c *cli.Command, client *operator.Client, compute func(*operator.Configuration) (*operator.Change, error)) error {
	if err := checkResend(c); err != nil {
		return err
	}
	revisionSet := c.IsSet(flagExpectedRevision) || c.Bool(flagAnyRevision)
	for try := 1; ; try++ {
		configuration, err := client.Configuration(ctx)
		if err != nil {
			return err
		}
		change, err := compute(configuration)
		if err != nil {
			return err
		}
		if len(change.Upserts)+len(change.Deletes) == 0 {
			_, err := fmt.Fprintf(c.Root().ErrWriter, "nothing to change at revision %d\n", configuration.Revision)
			return err
		}
		if err := applyChangeFlags(c, change, &configuration.Revision); err != nil {
			return err
		}
		accepted, err := submit(ctx, c, client, change)
		if err == nil {
			return renderAccepted(c, accepted)
		}
		if exitCode(err) != ExitConflict || revisionSet || try == maxConflicts {
			return err
		}
	}
}
