package node

import (
	"context"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/telemetry"
	"github.com/guavaford/guavaford/internal/vfs"
)

const (
	// fleetSizeName is the file under the data folder that holds the number of nodes.
	fleetSizeName = "fleet-size"
	// fleetSizeInterval is the time between two checks of the number of nodes. Hosts come and go over minutes.
	fleetSizeInterval = 2 * time.Second
	// minFleetSizeChange is the relative change from which the file is rewritten; shares of rates need no finer steps.
	minFleetSizeChange = 0.2
)

// fleetSize stores the number of nodes across restarts of a control replica. After a stop of the whole fleet a
// replica knows few nodes at first, and rates divided by that number would give shares that exceed them.
type fleetSize struct {
	fs     vfs.FS
	folder string
	relay  *registry.Relay
	log    telemetry.Logger
	stored int
}

// loadFleetSize returns the number of nodes that an earlier process stored, or 0. If the file can't be read, that is
// logged and the number is counted anew.
func loadFleetSize(fs vfs.FS, folder string, log telemetry.Logger) int {
	data, err := fs.ReadFile(filepath.Join(folder, fleetSizeName))
	if errors.Is(err, os.ErrNotExist) {
		return 0
	}
	n := 0
	if err == nil {
		n, err = strconv.Atoi(strings.TrimSpace(string(data)))
	}
	if err != nil || n < 0 {
		log.Warn("number of nodes not read", "file", fleetSizeName, "err", err)
		return 0
	}
	return n
}

// run writes the number of nodes when it has changed, until ctx ends.
func (f *fleetSize) run(ctx context.Context) {
	for clock.Sleep(ctx, fleetSizeInterval) {
		f.save()
	}
}

// save writes the number of nodes if it differs enough from the stored one.
func (f *fleetSize) save() {
	live, ok := f.relay.LiveNodes()
	if !ok || live == 0 || relativeChange(f.stored, live) < minFleetSizeChange {
		return
	}
	if err := vfs.WriteFileAtomic(f.fs, f.folder, fleetSizeName, []byte(strconv.Itoa(live)+"\n")); err != nil {
		f.log.Warn("number of nodes not kept", "nodes", live, "err", err)
		return
	}
	f.stored = live
}

// relativeChange returns the difference of a and b as a fraction of the greater one.
func relativeChange(a, b int) float64 {
	return float64(max(a, b)-min(a, b)) / float64(max(a, b, 1))
}
