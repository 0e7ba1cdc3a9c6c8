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

// root is the root of the repository, where all cases run.
const root = "../../.."

// TestCases replays every directory under cases/: cmd holds the arguments, expout and experr what the program prints.
func TestCases(t *testing.T) {
	t.Chdir(root)
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
			require.Equal(t, stderr.Len() == 0, code == 0, "a failure and only a failure prints to stderr")
			compare(t, filepath.Join(directory, "expout"), stdout.Bytes())
			compare(t, filepath.Join(directory, "experr"), stderr.Bytes())
		})
	}
}

// compare requires that a file holds a text, or makes it so when the flag is set.
func compare(t *testing.T, file string, found []byte) {
	t.Helper()
	if *rewrite {
		require.NoError(t, os.WriteFile(file, found, 0o644))
	}
	expected, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, string(expected), string(found), "see %s; \"make cases\" rewrites it", file)
}
