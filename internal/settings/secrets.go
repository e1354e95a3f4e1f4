package settings

import (
	"crypto/rand"
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
)

// Files in the data folder that hold secrets when no other file is named.
const (
	fleetSecretName   = "fleet-secret"
	operatorTokenName = "operator-token"
)

const (
	// secretBytes is the length of a secret that the process makes.
	secretBytes = 32
	// minSecretLength is the shortest secret that is accepted, in characters.
	minSecretLength = 32
	// readableByOthers is set in the mode of files that other users can read.
	readableByOthers os.FileMode = 0o044
)

// Secrets are what proves that a node or an operator belongs to the fleet.
type Secrets struct {
	Fleet         []byte
	OperatorToken string
}

// LoadSecrets reads the fleet secret and the operators' token. Those for which no file is
// named are made in the data folder at the first start.
func (n *Node) LoadSecrets() (*Secrets, error) {
	if err := os.MkdirAll(n.DataFolder, 0o700); err != nil {
		return nil, errors.Wrap(err, "make the data folder")
	}
	fleet, err := n.loadSecret(flagFleetSecretFile, n.FleetSecretFile, fleetSecretName)
	if err != nil {
		return nil, err
	}
	token, err := n.loadSecret(flagOperatorTokenFile, n.OperatorTokenFile, operatorTokenName)
	if err != nil {
		return nil, err
	}
	return &Secrets{Fleet: []byte(fleet), OperatorToken: token}, nil
}

// loadSecret reads the named file, or the one in the data folder, which is made if it is missing.
func (n *Node) loadSecret(setting, file, defaultName string) (string, error) {
	named := file != ""
	if !named {
		file = filepath.Join(n.DataFolder, defaultName)
	}
	data, err := os.ReadFile(file)
	if os.IsNotExist(err) && !named {
		return makeSecret(file)
	}
	if err != nil {
		return "", errors.Wrapf(err, "--%s (%s)", setting, Variable(setting))
	}
	secret := strings.TrimSpace(string(data))
	if len(secret) < minSecretLength {
		return "", errors.Errorf("--%s (%s): %s holds %d characters; allowed: at least %d", setting, Variable(setting), file, len(secret), minSecretLength)
	}
	info, err := os.Stat(file)
	if err != nil {
		return "", errors.Wrapf(err, "--%s (%s)", setting, Variable(setting))
	}
	if info.Mode()&readableByOthers != 0 {
		return "", errors.Errorf("--%s (%s): %s can be read by other users; run: chmod 600 %s", setting, Variable(setting), file, file)
	}
	return secret, nil
}

// makeSecret draws a secret and writes it to a new file, which is synced before the secret is used.
func makeSecret(file string) (string, error) {
	raw := make([]byte, secretBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", errors.Wrap(err, "draw a secret")
	}
	secret := hex.EncodeToString(raw)
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return "", errors.Wrap(err, "make a secret")
	}
	_, err = f.WriteString(secret + "\n")
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return secret, errors.Wrapf(err, "write %s", file)
}
