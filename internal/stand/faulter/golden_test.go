package faulter_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cottonlanding/cottonlanding/internal/golden/transcriber"
	"github.com/cottonlanding/cottonlanding/internal/stand/faulter"
)

// TestGoldenSwitches guards against another path or field of the switches.
func TestGoldenSwitches(t *testing.T) {
	transcriber.RoundTrip[faulter.Faults](t, "faults")
	handler := faulter.New(http.NotFoundHandler())
	out := ""
	for _, one := range []struct{ method, path, body string }{
		{"PUT", "/stand/Faults", `{"Down":true}`},
		{"GET", "/stand/Faults", ""},
		{"PUT", "/stand/Faults", "x"},
		{"GET", "/", ""},
	} {
		recorded := httptest.NewRecorder()
		handler.ServeHTTP(recorded, httptest.NewRequest(one.method, one.path, strings.NewReader(one.body)))
		out += transcriber.Response(recorded) + "\n"
	}
	transcriber.RequireFile(t, "switches.txt", out)
}
