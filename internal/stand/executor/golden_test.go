package executor_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/golden/transcriber"
	"github.com/cottonlanding/cottonlanding/internal/stand/executor"
)

// TestGoldenExecutor guards against another path, header or field of the stand-in of executors.
func TestGoldenExecutor(t *testing.T) {
	transcriber.RoundTrip[executor.Faults](t, "faults")
	transcriber.RoundTrip[executor.Ledger](t, "ledger")
	e := executor.New(cottonlanding.ExecutorInfo{ID: "e1"}, 1, 0)
	out := ""
	for _, one := range []struct{ method, path, body string }{
		{"POST", "/p", "b1"},
		{"PUT", "/stand/ExecutorFaults", `{"FailEverything":true}`},
		{"POST", "/p", "b1"},
		{"PUT", "/stand/ExecutorFaults", `{"Leaving":true}`},
		{"POST", "/p", "b1"},
		{"GET", "/stand/Ledger", ""},
	} {
		request := httptest.NewRequest(one.method, one.path, strings.NewReader(one.body))
		request.Header.Set("Cottonlanding-Request-Id", "id1")
		request.Header.Set("Idempotency-Key", "k1")
		recorded := httptest.NewRecorder()
		e.ServeHTTP(recorded, request)
		out += one.method + " " + one.path + "\n" + transcriber.Response(recorded) + "\n"
	}
	transcriber.RequireFile(t, "executor.txt", out)
}
