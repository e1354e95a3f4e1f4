package keys

import (
	"strings"
	"testing"
	"unsafe"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// issue issues a key with the number and returns it with its record.
func issue(t *testing.T, organisation string, number uint64) (string, *apiv1.KeyRecord) {
	t.Helper()
	secret, rec, err := Issue(organisation)
	require.NoError(t, err)
	rec.Number = number
	return Format(number, secret), rec
}

// TestVerify guards against a key that is accepted for another secret or number, or in a form that
// Format does not return.
func TestVerify(t *testing.T) {
	first, firstRec := issue(t, "court", 1)
	second, secondRec := issue(t, "clinic", 300)
	table := NewTable([]*apiv1.KeyRecord{firstRec, secondRec})

	rec, status := table.Verify(second)
	require.Equal(t, Valid, status)
	require.Equal(t, Record{Number: 300, Organisation: "clinic"}, rec)

	other, _ := issue(t, "court", 1)
	for key, want := range map[string]Status{
		other:                           Unknown,
		"gf_2" + first[len("gf_1"):]:    Unknown,
		"gf_9999" + first[len("gf_1"):]: Unknown,
		"gf_01" + first[len("gf_1"):]:   Malformed,
		"gf_0" + first[len("gf_1"):]:    Malformed,
		first + "x":                     Malformed,
		first[:len(first)-1] + "!":      Malformed,
		"":                              Malformed,
		"gf_1":                          Malformed,
	} {
		_, status := table.Verify(key)
		require.Equal(t, want, status, key)
	}
}

// TestWithLeavesTheOldTableAlone guards against changes that show up in the table they were derived
// from, and against withdrawals of numbers that were never issued.
func TestWithLeavesTheOldTableAlone(t *testing.T) {
	key, rec := issue(t, "court", 1)
	before := NewTable([]*apiv1.KeyRecord{rec})
	next, nextRec := issue(t, "clinic", 2)
	after := before.With([]*apiv1.KeyRecord{nextRec}, []uint64{1, 77})

	_, status := before.Verify(key)
	require.Equal(t, Valid, status)
	_, status = before.Verify(next)
	require.Equal(t, Unknown, status)
	_, status = after.Verify(key)
	require.Equal(t, Withdrawn, status)
	_, status = after.Verify(next)
	require.Equal(t, Valid, status)
	require.True(t, after.Withdrawn(1))
	require.False(t, after.Withdrawn(0))
	require.False(t, after.Withdrawn(77), "a number that was never issued can't be withdrawn")
	issued, withdrawn := after.Len()
	require.Equal(t, []int{2, 1}, []int{issued, withdrawn})
}

// TestBounds guards against a table that takes more than 256 MB of a node's memory at 10 million
// keys, and against more than the one allocation that hashing needs in Verify, which each request calls.
func TestBounds(t *testing.T) {
	const bytesPerKey = 256_000_000 / 10_000_000
	require.LessOrEqual(t, int(unsafe.Sizeof(page{}))/pageKeys, bytesPerKey)
	key, rec := issue(t, "court", 1)
	table := NewTable([]*apiv1.KeyRecord{rec})
	require.LessOrEqual(t, testing.AllocsPerRun(100, func() { table.Verify(key) }), 1.0)
	require.Zero(t, testing.AllocsPerRun(100, func() { table.Withdrawn(1) }))
}

// FuzzVerify guards against texts that cause a panic, and against any text but the issued key being valid.
func FuzzVerify(f *testing.F) {
	key := Format(7, strings.Repeat("A", 43))
	_, hash, _ := parse(key)
	table := NewTable([]*apiv1.KeyRecord{{Number: 7, Organisation: "court", Hash: hash[:]}})
	for _, seed := range []string{key, "", "gf_7_", "gf_+7_" + key[5:], "gf_18446744073709551616_" + key[5:], key + "\n", "GF" + key[2:]} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		_, status := table.Verify(text)
		require.Equal(t, text == key, status == Valid)
	})
}
