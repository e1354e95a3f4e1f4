// Package knownred lets tests fail for faults that KNOWN-RED.txt lists, and for these alone.
package knownred

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// list is the page of known faults, as seen from the folder of a package below internal.
const list = "../../KNOWN-RED.txt"

// Check holds a test to its bound. A bound that is not met passes only while the list names the test, and the list may
// not name one that is met.
func Check(t *testing.T, met bool, format string, args ...any) {
	t.Helper()
	text, err := os.ReadFile(list)
	require.NoError(t, err)
	switch red := listed(string(text), t.Name()); {
	case met && red:
		t.Error("met, but listed in KNOWN-RED.txt")
	case !met && red:
		t.Skipf("known red: "+format, args...)
	case !met:
		t.Errorf("not met: "+format, args...)
	}
}

// listed reports whether the text has an entry for a test.
func listed(text, test string) bool {
	for line := range strings.Lines(text) {
		if strings.TrimSpace(line) == "test: "+test {
			return true
		}
	}
	return false
}
