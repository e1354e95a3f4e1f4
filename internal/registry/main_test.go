package registry

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests, so that they are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
