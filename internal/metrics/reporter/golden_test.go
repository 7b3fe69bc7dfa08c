package reporter_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/golden/transcriber"
	"github.com/cottonlanding/cottonlanding/internal/metrics/reporter"
)

// TestGoldenMetrics guards against another name, label or bound of a metric, which dashboards and
// alarms name.
func TestGoldenMetrics(t *testing.T) {
	r := reporter.New("d1")
	r.Request("s1", cottonlanding.Ran, 3*time.Millisecond)
	r.Job("PUT", http.StatusOK)
	r.Call("GET", http.StatusGone, 5*time.Millisecond)
	r.Gauge("gauge", 1.5)
	require.NoError(t, r.Close()) // reports what was counted
	recorded := httptest.NewRecorder()
	r.Handler().ServeHTTP(recorded, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	var out []string
	for line := range strings.Lines(recorded.Body.String()) {
		if strings.Contains(line, "cottonlanding") {
			out = append(out, strings.TrimSpace(line))
		}
	}
	transcriber.RequireFile(t, "metrics.txt", transcriber.JoinLines(out))
}
