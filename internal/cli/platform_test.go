package cli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavaford/guavaford/platform"
)

// TestFaultySettingsFileExitsWithUsageCode guards against a wrong exit code or an error without the file's name when
// the settings file is not named, does not exist, or lacks an address.
func TestFaultySettingsFileExitsWithUsageCode(t *testing.T) {
	broken := filepath.Join(t.TempDir(), "broken.toml")
	require.NoError(t, os.WriteFile(broken, []byte("node = \"n\"\n"), 0o600))
	for name, path := range map[string]string{"no variable": "", "no file": broken + ".gone", "no address": broken} {
		t.Run(name, func(t *testing.T) {
			t.Setenv(platform.ConfigPathEnv, path)
			var errOut bytes.Buffer
			code := Main(context.Background(), []string{"guavaford", "platform"}, strings.NewReader(""), &bytes.Buffer{}, &errOut, nil)
			require.Equal(t, ExitUsage, code)
			require.Contains(t, errOut.String(), path)
		})
	}
}
