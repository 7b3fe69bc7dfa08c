package interpreter_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding/internal/golden/transcriber"
	"github.com/cottonlanding/cottonlanding/internal/load/interpreter"
)

// TestGoldenHelp guards against another command, flag or default.
func TestGoldenHelp(t *testing.T) {
	t.Setenv("COLUMNS", "120")
	var out, errors bytes.Buffer
	require.Equal(t, 0, interpreter.Run([]string{"--help"}, &out, &errors))
	for _, command := range []string{"requests"} {
		require.Equal(t, 0, interpreter.Run([]string{command, "--help"}, &out, &errors))
	}
	require.Equal(t, 2, interpreter.Run([]string{"requests"}, &out, &errors))
	require.Equal(t, 2, interpreter.Run([]string{"requests", "--target=10.0.0.1:1", "--output=Xml"}, &out, &errors))
	require.Empty(t, out.String())
	transcriber.RequireFile(t, "help.txt", errors.String())
}

// TestGoldenResult guards against another field of what a run prints for programs.
func TestGoldenResult(t *testing.T) {
	transcriber.RoundTrip[interpreter.Result](t, "result")
}
