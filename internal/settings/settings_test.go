package settings

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/urfave/cli/v3"
)

// parse runs the command line on args and returns the settings.
func parse(t *testing.T, args ...string) *Node {
	t.Helper()
	n := Default()
	command := &cli.Command{Name: "node", Flags: n.Flags(), Action: func(context.Context, *cli.Command) error { return nil }}
	require.NoError(t, command.Run(context.Background(), append([]string{"node"}, args...)))
	return n
}

// TestDefaultsAreValid guards against a node that does not start without any flag.
func TestDefaultsAreValid(t *testing.T) {
	n := parse(t)
	require.Empty(t, n.Check())
	require.Equal(t, "node-127.0.0.1-8083", n.Name)
}

// TestFlagOverridesVariable guards against an environment variable that replaces an explicit flag.
func TestFlagOverridesVariable(t *testing.T) {
	t.Setenv("GUAVAFORD_FRESHNESS_LIMIT", "3s")
	t.Setenv("GUAVAFORD_CONTROL", "10.0.0.1:1, 10.0.0.2:1")
	require.Equal(t, 3*time.Second, parse(t).FreshnessLimit)
	n := parse(t, "--freshness-limit", "2s")
	require.Equal(t, 2*time.Second, n.FreshnessLimit)
	require.Equal(t, []string{"10.0.0.1:1", "10.0.0.2:1"}, n.Control)
}

// TestRegionsOfDataCentres guards against a region that a node does not know although the settings name it.
func TestRegionsOfDataCentres(t *testing.T) {
	n := parse(t, "--regions", "kl=west, KUCHING_1=east")
	require.Equal(t, map[string]string{"kl": "west", "KUCHING_1": "east"}, n.Regions)
	require.Empty(t, n.Check())
	for _, invalid := range []string{"kl", "kl=", "=west", "k l=west", "kl=we/st"} {
		problems := parse(t, "--regions", invalid).Check()
		require.Len(t, problems, 1, invalid)
		require.Equal(t, "regions", problems[0].Setting)
	}
}

// TestAllProblemsAreReportedAtOnce guards against a check that stops at the first invalid setting, or at a value that
// can't be parsed.
func TestAllProblemsAreReportedAtOnce(t *testing.T) {
	t.Setenv("GUAVAFORD_STOP_TIMEOUT", "1h1s")
	n := parse(t, "--callers-address", "localhost:80", "--peer-address", "0.0.0.0:1", "--freshness-limit", "soon",
		"--operator-address", "127.0.0.1:8081", "--no-control", "--log-level", "loud", "--data-centre", "a b")
	invalid := map[string]string{}
	for _, p := range n.Check() {
		invalid[p.Setting] = p.Value
	}
	require.Equal(t, map[string]string{
		"callers-address": "localhost:80", "peer-address": "0.0.0.0:1", "freshness-limit": "soon",
		"operator-address": "127.0.0.1:8081", "control": "", "log-level": "loud", "data-centre": "a b",
		"stop-timeout": "1h0m1s",
	}, invalid)
}

// TestUnsafeSecretFilesAreRefused guards against secret files that are missing or readable by other users.
func TestUnsafeSecretFilesAreRefused(t *testing.T) {
	n := Default()
	n.FleetSecretFile = filepath.Join(t.TempDir(), "secret")
	n.OperatorTokenFile = n.FleetSecretFile
	require.Len(t, n.Check(), 2, "a file that is set must exist")
	require.NoError(t, os.WriteFile(n.FleetSecretFile, []byte("x"), 0o600))
	require.Empty(t, n.Check())
	require.NoError(t, os.Chmod(n.FleetSecretFile, 0o640))
	problems := n.Check()
	require.Len(t, problems, 2)
	require.Contains(t, problems[0].String(), "chmod 600")
}
