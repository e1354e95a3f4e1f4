package config

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// checkFile validates one file like "guavaford check -f".
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

// TestFaultyFiles guards against problems that are missed, reported twice or reported at the wrong
// line or field. The expected problems are in comments at the top of each file:
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
				require.True(t, startsWithOne(line, expected), "unexpected problem: %s", line)
			}
		})
	}
}

// expectations reads the expected problems from the comments of a file.
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

// TestExamples guards against example configurations that are not valid or have lost organisations or
// open routes.
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
		require.Positive(t, open, "the example has no route that is open to callers without a key")
	}
}

// FuzzParse guards against files that cause a panic, and against accepted documents whose spec changes
// when it is decoded and encoded again, or that Check accepts but Compile rejects.
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
