package interpreter_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding/internal/command/interpreter"
	"github.com/cottonlanding/cottonlanding/internal/golden/transcriber"
)

const goldenFile = `{"Deployment": "n1", "Teams": [{"Name": "t1"}]}`

const goldenStatus = `{"Job":{"Spec":{"Name":"j1","Team":"t1"},"Cell":"c1","State":"Failed","Reason":"r1"},` +
	`"Tasks":[{"ID":{"Job":"j1","Index":6},"State":"Done","Attempt":7,"Worker":"w1","Evictions":8,"Result":"r2"}]}`

// TestGoldenHelp guards against another command, argument, flag, default or variable.
func TestGoldenHelp(t *testing.T) {
	t.Setenv("COLUMNS", "120")
	var out, errors bytes.Buffer
	require.Equal(t, 0, interpreter.Run([]string{"--help"}, &out, &errors))
	for _, command := range []string{
		"serve", "dev", "check", "apply", "get", "evacuate", "restore", "submit", "cancel", "status", "drain", "dump",
	} {
		require.Equal(t, 0, interpreter.Run([]string{command, "--help"}, &out, &errors))
	}
	require.Empty(t, out.String())
	transcriber.RequireFile(t, "help.txt", errors.String())
}

// TestGoldenCommands guards against another output or exit code of a command, and another reading
// of the variable that names the server.
func TestGoldenCommands(t *testing.T) {
	refused := false
	daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := ""
		switch {
		case refused:
			w.WriteHeader(http.StatusConflict)
			answer = `{"Error":"w1","Detail":"d1"}`
		case r.URL.Path == "/v1/Config" && r.Method == http.MethodGet:
			w.Header().Set("ETag", "7")
			answer = goldenFile
		case r.URL.Path == "/v1/Config":
			answer = `{"Generation":8}`
		case strings.HasPrefix(r.URL.Path, "/v1/Jobs/"):
			answer = goldenStatus
		default:
			answer = `{"State":1}`
		}
		_, _ = io.WriteString(w, answer) // the caller tells of an answer that is cut short
	}))
	defer daemon.Close()
	t.Setenv("COTTONLANDING_SERVER", strings.TrimPrefix(daemon.URL, "http://"))
	transcript := ""
	run := func(arguments ...string) {
		var out, errors bytes.Buffer
		code := interpreter.Run(arguments, &out, &errors)
		transcript += fmt.Sprintf("%s: %d\n%s%s\n", strings.Join(arguments, " "), code, out.String(), errors.String())
	}
	for _, output := range []string{"Table", "Json"} {
		for _, command := range []string{
			"check testdata/golden/file.yaml", "check testdata/golden/settings.yaml", "apply testdata/golden/file.yaml", "apply --dry-run --generation=7 testdata/golden/file.yaml", "get", "evacuate d1",
			"submit testdata/golden/job.yaml", "cancel j1", "status j1", "drain", "dump",
		} {
			run(append([]string{"--output=" + output}, strings.Fields(command)...)...)
		}
	}
	run("check", "testdata/golden/bad.yaml")
	run("check", "none.yaml")
	run("serve")
	run("--output=Xml", "get")
	refused = true
	run("drain")
	transcriber.RequireFile(t, "commands.txt", transcript)
}
