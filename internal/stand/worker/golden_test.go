package worker_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/golden/transcriber"
	"github.com/cottonlanding/cottonlanding/internal/platform/keeper"
	"github.com/cottonlanding/cottonlanding/internal/stand/worker"
)

// TestGoldenWorker guards against another path or field of the stand-in of workers.
func TestGoldenWorker(t *testing.T) {
	transcriber.RoundTrip[worker.Faults](t, "faults")
	transcriber.RoundTrip[worker.Entry](t, "entry")
	transcriber.RoundTrip[worker.SavedCheckpoint](t, "checkpoint")
	clock := cottonlanding.ClockOf(func() cottonlanding.Millis { return 1000 })
	group := worker.NewGroup(worker.New(cottonlanding.WorkerInfo{ID: "w1", Address: "a:1"}, clock, keeper.New()))
	out := ""
	for _, one := range []struct{ method, path, body string }{
		{"POST", "/v1/Worker/Renew", "x"},
		{"POST", "/v1/Worker/Start", "{}"},
		{"POST", "/v1/Worker/Stop", "{}"},
		{"POST", "/v1/Worker/Checkpoint", "{}"},
		{"POST", "/v1/Worker/Throttle", "{}"},
		{"POST", "/v1/Worker/Acknowledge", "{}"},
		{"PUT", "/stand/WorkerFaults", `{"Leaving":true}`},
		{"POST", "/stand/Restart", ""},
		{"GET", "/stand/Ledger", ""},
	} {
		request := httptest.NewRequest(one.method, one.path, strings.NewReader(one.body))
		request.Host = "a:1"
		recorded := httptest.NewRecorder()
		group.ServeHTTP(recorded, request)
		out += fmt.Sprintf("%s %s\n%s\n", one.method, one.path, transcriber.Response(recorded))
	}
	transcriber.RequireFile(t, "worker.txt", out)
}
