package node

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/guavaford/guavaford/internal/peer"
	"github.com/guavaford/guavaford/internal/vfs"
)

// incarnationName is the file under the data folder that holds the last incarnation of the node.
const incarnationName = "incarnation"

// nextIncarnation returns the incarnation of a process that starts now: a number that tells this start of the node
// from all others. It exceeds every earlier one of the same data folder, even if the clock was set back in between.
func nextIncarnation(fs vfs.FS, folder string, now time.Time) (uint64, error) {
	last, err := lastIncarnation(fs, folder)
	if err != nil {
		return 0, err
	}
	next := max(peer.NewIncarnation(now), last+1)
	data := []byte(strconv.FormatUint(next, 10) + "\n")
	return next, errors.Wrap(vfs.WriteFileAtomic(fs, folder, incarnationName, data), "incarnation")
}

// lastIncarnation returns the incarnation stored in the folder, or 0.
func lastIncarnation(fs vfs.FS, folder string) (uint64, error) {
	data, err := fs.ReadFile(filepath.Join(folder, incarnationName))
	if errors.Is(err, os.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, errors.Wrap(err, "incarnation")
	}
	last, err := strconv.ParseUint(strings.TrimSpace(string(data)), 10, 64)
	return last, errors.Wrapf(err, "incarnation: %s", filepath.Join(folder, incarnationName))
}
