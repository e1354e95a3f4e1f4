package config

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestDrainOfADataCentreAppliesToItsTargets guards against targets of a drained data centre that still take requests,
// and against others that don't.
func TestDrainOfADataCentreAppliesToItsTargets(t *testing.T) {
	resources, problems := Parse("sample.yaml", []byte(sample+"---\nkind: DataCentre\nname: KL_1.a\nspec: {drain: true}\n---\nkind: DataCentre\nname: other\n"))
	require.Empty(t, problems)
	s, err := Compile(1, resources)
	require.NoError(t, err)
	for dataCentre, drained := range map[string]bool{"KL_1.a": true, "other": false, "third": false} {
		policy := s.TargetPolicy("jadual", "jadual-1", WithReservedLabels(nil, "n1", dataCentre, "jadual-1"), 5)
		require.Equal(t, drained, policy.Draining, dataCentre)
		require.Equal(t, drained, s.IsDrained(dataCentre))
	}
	require.Equal(t, []string{"KL_1.a"}, s.DrainedDataCentres())
}

// TestNamesOfDataCentres guards against a data centre that hosts may name in their settings and operators can't drain.
func TestNamesOfDataCentres(t *testing.T) {
	for name, valid := range map[string]bool{"kl": true, "KL_1.a": true, "": false, "a/b": false, "-a": false, "a b": false} {
		require.Equal(t, valid, ValidDataCentre(name), name)
		_, problems := NewResource(KindDataCentre, name, nil, &DataCentreSpec{Drain: true})
		require.Equal(t, valid, len(problems) == 0, name)
	}
}
