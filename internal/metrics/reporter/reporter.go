// Package reporter collects metrics with tally and serves them as Prometheus text.
package reporter

import (
	"fmt"
	"io"
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/cottonlanding/cottonlanding"
)

const reportEvery = time.Second

// latencies are the bounds of the latency histograms.
var latencies = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

// Reporter holds a process's metrics.
type Reporter struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
}

// New returns a reporter without metrics.
func New(dataCentre cottonlanding.DataCentre) *Reporter {
	registry := client.NewRegistry() // its own, so that one process can hold several reporters
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "cottonlanding",
		Tags:           map[string]string{"data_centre": string(dataCentre)},
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
		// tally's own gauges have dots in their names.
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportEvery)
	return &Reporter{scope: scope, closer: closer, handler: reporter.HTTPHandler()}
}

// Handler serves the metrics.
func (r *Reporter) Handler() http.Handler { return r.handler }

// Close stops collecting.
func (r *Reporter) Close() error {
	if err := r.closer.Close(); err != nil {
		return fmt.Errorf("close metrics: %w", err)
	}
	return nil
}

// Request counts a caller's request.
func (r *Reporter) Request(service cottonlanding.ServiceName, outcome cottonlanding.Outcome, latency time.Duration) {
	scope := r.scope.Tagged(map[string]string{"service": string(service), "outcome": string(outcome)})
	scope.Counter("requests").Inc(1)
	scope.Histogram("request_latency", latencies).RecordDuration(latency)
}

// Job counts an answer to an operation on a job.
func (r *Reporter) Job(operation string, status int) {
	r.scope.Tagged(map[string]string{"operation": operation, "status": fmt.Sprint(status)}).Counter("job_operations").Inc(1)
}

// Call counts a client's call about workflows, by what it asked and how it was answered.
func (r *Reporter) Call(operation string, status int, latency time.Duration) {
	scope := r.scope.Tagged(map[string]string{"operation": operation, "status": fmt.Sprint(status)})
	scope.Counter("workflow_calls").Inc(1)
	scope.Histogram("workflow_call_latency", latencies).RecordDuration(latency)
}

// Gauge sets a number of the process's state.
func (r *Reporter) Gauge(name string, value float64) { r.scope.Gauge(name).Update(value) }
