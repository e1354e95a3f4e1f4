package node

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/guavaford/guavaford/internal/settings"
	"github.com/guavaford/guavaford/internal/vfs"
)

// Names of the files that are created in the data folder when the settings name no other file.
const (
	fleetSecretName   = "fleet-secret"
	operatorTokenName = "operator-token"
)

// Sizes of secrets in bytes.
const (
	secretBytes    = 32
	minSecretBytes = 16
)

// secrets holds the secrets of one process.
type secrets struct {
	fleet         []byte
	operatorToken string
}

// loadSecrets reads the secrets and creates those for which the settings name no file.
func loadSecrets(fs vfs.FS, s *settings.Node) (*secrets, error) {
	if err := fs.MkdirAll(s.DataFolder); err != nil {
		return nil, errors.Wrap(err, "data folder")
	}
	if s.TrustedNetwork {
		return &secrets{}, nil
	}
	fleet, err := loadSecret(fs, s.FleetSecretFile, s.DataFolder, fleetSecretName)
	if err != nil {
		return nil, errors.Wrap(err, "fleet secret")
	}
	token, err := loadSecret(fs, s.OperatorTokenFile, s.DataFolder, operatorTokenName)
	if err != nil {
		return nil, errors.Wrap(err, "operator token")
	}
	return &secrets{fleet: fleet, operatorToken: string(token)}, nil
}

// loadSecret reads a secret from the file configured, or, if that is empty, from the named file in the data
// folder, which is created when it is missing.
func loadSecret(fs vfs.FS, configured, folder, name string) ([]byte, error) {
	path := configured
	if path == "" {
		path = filepath.Join(folder, name)
	}
	data, err := fs.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) && configured == "" {
		return makeSecret(fs, folder, name)
	}
	if err != nil {
		return nil, err
	}
	secret := bytes.TrimSpace(data)
	if len(secret) < minSecretBytes {
		return nil, errors.Errorf("%s holds %d bytes; at least %d are needed", path, len(secret), minSecretBytes)
	}
	return secret, nil
}

// makeSecret writes a new random secret to a file that only the user of the process can read.
func makeSecret(fs vfs.FS, folder, name string) ([]byte, error) {
	raw := make([]byte, secretBytes)
	_, _ = rand.Read(raw)
	secret := []byte(hex.EncodeToString(raw))
	return secret, vfs.WriteFileAtomic(fs, folder, name, append(secret, '\n'))
}
