package mtverb_test

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/verb/mtverb"
)

var rewrite = flag.Bool("rewrite", false, "rewrite the expected output of all cases and golden files")

// repositoryRoot is the working directory of all cases.
const repositoryRoot = "../../.."

// TestCases runs the program with the arguments in cmd of each directory under cases/ and compares its standard output
// with expout and its standard error with experr.
func TestCases(t *testing.T) {
	t.Chdir(repositoryRoot)
	t.Setenv("MANGOTACK_TOKEN", "")
	commands, err := filepath.Glob("cases/*/cmd")
	require.NoError(t, err)
	require.NotEmpty(t, commands)
	for _, command := range commands {
		directory := filepath.Dir(command)
		t.Run(filepath.Base(directory), func(t *testing.T) {
			line, err := os.ReadFile(command)
			require.NoError(t, err)
			var stdout, stderr bytes.Buffer
			code := mtverb.Run(strings.Fields(string(line)), &stdout, &stderr)
			require.Equal(t, stderr.Len() == 0, code == 0, "stderr must be empty if and only if the exit code is 0")
			requireGolden(t, filepath.Join(directory, "expout"), stdout.Bytes())
			requireGolden(t, filepath.Join(directory, "experr"), stderr.Bytes())
		})
	}
}

// requireGolden requires that a file has the given contents. With -rewrite it writes the file first.
func requireGolden(t *testing.T, file string, actual []byte) {
	t.Helper()
	if *rewrite {
		require.NoError(t, os.WriteFile(file, actual, 0o644))
	}
	expected, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, string(expected), string(actual), "see %s; \"make cases\" rewrites it", file)
}
