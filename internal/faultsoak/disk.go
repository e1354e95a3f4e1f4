package faultsoak

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// controlFolder is the folder of a control replica within the data folder of its node.
const controlFolder = "control"

// loseDisk removes the state of a control replica from the data folder of a node, as if its host had got an empty disk.
// It does nothing for a node without a replica.
func loseDisk(data string) error {
	return errors.Wrap(os.RemoveAll(filepath.Join(data, controlFolder)), "lose disk")
}
