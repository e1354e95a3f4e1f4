package lab

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRunsRepeatExactly(t *testing.T) {
	s := slowdown(Short())
	require.Equal(t, Measure(Verband(), s, Product(), seed), Measure(Verband(), s, Product(), seed))
}
