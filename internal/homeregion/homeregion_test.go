package homeregion

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestDataCentresThatARequestMayReach guards against a request that leaves its home regions, or that none of them gets:
// with one list, with two that share a region or none, and at data centres of which nothing is known.
func TestDataCentresThatARequestMayReach(t *testing.T) {
	regions := Map{"kl": "west", "shah-alam": "west", "kuching": "east", "odd": ""}
	for name, c := range map[string]struct {
		route, organisation []string
		allowed             []string
	}{
		"none restricts":        {nil, []string{}, []string{"kl", "shah-alam", "kuching", "odd", "unknown"}},
		"route":                 {[]string{"west"}, nil, []string{"kl", "shah-alam"}},
		"organisation":          {nil, []string{"east"}, []string{"kuching"}},
		"both, one shared":      {[]string{"west", "east"}, []string{"east", "north"}, []string{"kuching"}},
		"both, none shared":     {[]string{"west"}, []string{"east"}, nil},
		"a region without host": {[]string{"north"}, nil, nil},
	} {
		r := Combine(c.route, c.organisation)
		require.Equal(t, name != "none restricts", r.Restricted(), name)
		var allowed []string
		for _, dataCentre := range []string{"kl", "shah-alam", "kuching", "odd", "unknown"} {
			if regions.Allows(r, dataCentre) {
				allowed = append(allowed, dataCentre)
			}
		}
		require.Equal(t, c.allowed, allowed, name)
	}
	require.Equal(t, "east", Combine([]string{"west", "east"}, []string{"east"}).String())
}

// TestOwnDataCentreIsKnown guards against a host whose own targets are in no region since the settings lack the table.
func TestOwnDataCentreIsKnown(t *testing.T) {
	west := Combine([]string{"west"}, nil)
	require.True(t, Map(nil).With("kl", "west").Allows(west, "kl"))
	require.False(t, Map{"kl": "east"}.With("kl", "west").Allows(west, "kl"), "the table goes before the own setting")
	require.True(t, Map{"kl": "west"}.With("kuching", "east").Allows(west, "kl"))
}
