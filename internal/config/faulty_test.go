package config

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// checkFile does what "guavaford check -f" does with one file.
func checkFile(t *testing.T, path string) Problems {
	t.Helper()
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	source, problems := ParseSource(filepath.Base(path), data)
	if len(problems) > 0 {
		return problems
	}
	return source.Locate(Check(source.Resources))
}

// TestFaultyFiles compares all problems of each file with the comments at its top:
// "# expect: LINE KIND/NAME FIELD: start of the message".
func TestFaultyFiles(t *testing.T) {
	files, err := filepath.Glob("testdata/faulty/*.yaml")
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(files), 15)
	for _, path := range files {
		t.Run(filepath.Base(path), func(t *testing.T) {
			expected := expectations(t, path)
			problems := checkFile(t, path)
			require.Len(t, problems, len(expected), "%v", problems.Strings())
			for _, p := range problems {
				require.Equal(t, filepath.Base(path), p.File)
				line := strconv.Itoa(p.Line) + " " + p.Kind + "/" + p.Name + " " + p.Field + ": " + p.Message
				require.True(t, startsWithOne(line, expected), "not expected: %s", line)
			}
		})
	}
}

// expectations reads the comments at the top of a file.
func expectations(t *testing.T, path string) []string {
	t.Helper()
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	var expected []string
	for _, line := range strings.Split(string(data), "\n") {
		if text, found := strings.CutPrefix(line, "# expect: "); found {
			expected = append(expected, text)
		}
	}
	require.NotEmpty(t, expected)
	return expected
}

func startsWithOne(text string, prefixes []string) bool {
	for _, prefix := range prefixes {
		if strings.HasPrefix(text, prefix) {
			return true
		}
	}
	return false
}

// TestExamples checks the deployments of the examples and their sizes.
func TestExamples(t *testing.T) {
	for file, organisations := range map[string]int{"koperasi": 8, "verband": 8, "single": 2} {
		path := filepath.Join("..", "..", "examples", file+".yaml")
		require.Empty(t, checkFile(t, path))
		data, err := os.ReadFile(path)
		require.NoError(t, err)
		resources, _ := Parse(path, data)
		snapshot, err := Compile(1, resources)
		require.NoError(t, err)
		require.Len(t, snapshot.Organisations, organisations)
		open := 0
		for _, r := range snapshot.Routes {
			if r.Open {
				open++
			}
		}
		require.Positive(t, open, "each example has routes open to all")
	}
}

// FuzzParse checks that no file panics, and that what is accepted survives a round trip.
func FuzzParse(f *testing.F) {
	f.Add([]byte(sample))
	files, _ := filepath.Glob("testdata/faulty/*.yaml")
	for _, path := range files {
		data, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		resources, problems := Parse("fuzz.yaml", data)
		if len(problems) > 0 {
			return
		}
		for _, r := range resources {
			spec := string(r.Spec)
			require.Empty(t, Canonicalise(r))
			require.Equal(t, spec, string(r.Spec))
		}
		if len(Check(resources)) == 0 {
			_, err := Compile(1, resources)
			require.NoError(t, err)
		}
	})
}
