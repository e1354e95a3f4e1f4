package faultsoak

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// controlFolder is the folder of a control replica within the data folder of its node.
const controlFolder = "control"

// loseDisk removes the state of a control replica, as when its host gets an empty disk. A node without a replica loses nothing.
func loseDisk(data string) error {
	return errors.Wrap(os.RemoveAll(filepath.Join(data, controlFolder)), "lose disk")
}
