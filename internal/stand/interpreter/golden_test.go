package interpreter_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding/internal/golden/transcriber"
	"github.com/cottonlanding/cottonlanding/internal/stand/interpreter"
)

// TestGoldenHelp guards against another command, flag or default.
func TestGoldenHelp(t *testing.T) {
	t.Setenv("COLUMNS", "120")
	var out, errors bytes.Buffer
	require.Equal(t, 0, interpreter.Run([]string{"--help"}, &out, &errors))
	for _, command := range []string{"platform", "worker", "executor"} {
		require.Equal(t, 0, interpreter.Run([]string{command, "--help"}, &out, &errors))
	}
	require.Empty(t, out.String())
	transcriber.RequireFile(t, "help.txt", errors.String())
}
