// Package generator sends requests at given instants, whatever becomes of the
// earlier ones, and records latencies and outcomes.
package generator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/api/server"
)

const (
	// longestMicros is the longest latency that is recorded, in microseconds.
	longestMicros = 60_000_000
	digits        = 3
	// MostInFlight bounds the requests under way.
	MostInFlight = 4000
	// grace is how long an answer is awaited beyond the deadline.
	grace = 2 * time.Second
)

// Plan is what to send.
type Plan struct {
	// Targets are HTTP addresses that get the requests in turn.
	Targets []cottonlanding.Address
	// Path is that of each request.
	Path string
	Team cottonlanding.Team
	// Rate is in requests a second; the arrivals are a Poisson process.
	Rate     float64
	Duration time.Duration
	Deadline cottonlanding.Millis
	// Booking sends POST with a key of its own, else GET.
	Booking bool
	Seed    uint64
	// Prefix makes the keys of this run differ from those of others.
	Prefix string
}

// Report is what became of a plan.
type Report struct {
	Sent     int64
	Outcomes map[cottonlanding.Outcome]int64
	// Foreign counts answers that belong to another request; Example is one.
	Foreign int64
	Example string `json:",omitempty"`
	// Skipped counts requests that were not sent because too many were under way.
	Skipped int64
	// Seconds is the length of the run until the last answer.
	Seconds float64
	// Goodput is requests that ran and were answered in time, a second.
	Goodput float64
	// Latencies of requests that ran, and of those refused, in milliseconds.
	Ran     Latencies
	Refused Latencies
	// Keys holds the outcome of each booking, for the auditor.
	Keys map[string]cottonlanding.Outcome `json:"-"`
}

// Latencies are quantiles in milliseconds.
type Latencies struct {
	P50, P90, P99, P999, Max float64
}

// run is one plan under way.
type run struct {
	plan   Plan
	client *http.Client

	mu      sync.Mutex
	report  Report
	good    int64
	ran     *hdrhistogram.Histogram
	refused *hdrhistogram.Histogram
}

// Send carries out a plan. It calls through the standard library, as callers do
// and as the daemon does not, so that both ends are judged by another's reading.
func Send(plan Plan) Report {
	transport := &http.Transport{MaxIdleConns: MostInFlight, MaxIdleConnsPerHost: MostInFlight}
	defer transport.CloseIdleConnections()
	r := &run{
		plan:    plan,
		client:  &http.Client{Transport: transport},
		ran:     hdrhistogram.New(1, longestMicros, digits),
		refused: hdrhistogram.New(1, longestMicros, digits),
		report: Report{
			Outcomes: make(map[cottonlanding.Outcome]int64),
			Keys:     make(map[string]cottonlanding.Outcome),
		},
	}
	began := time.Now()
	r.sendAll(began)
	r.report.Seconds = time.Since(began).Seconds()
	r.report.Goodput = float64(r.good) / plan.Duration.Seconds()
	r.report.Ran, r.report.Refused = quantiles(r.ran), quantiles(r.refused)
	return r.report
}

func (r *run) sendAll(began time.Time) {
	random := rand.New(rand.NewPCG(r.plan.Seed, r.plan.Seed))
	slots := make(chan struct{}, MostInFlight)
	var calls sync.WaitGroup
	at := began
	for i := 0; ; i++ {
		at = at.Add(time.Duration(random.ExpFloat64() / r.plan.Rate * float64(time.Second)))
		if at.Sub(began) > r.plan.Duration {
			break
		}
		time.Sleep(time.Until(at))
		select {
		case slots <- struct{}{}:
		default:
			r.report.Skipped++
			continue
		}
		due := at
		calls.Go(func() {
			r.send(i, due)
			<-slots
		})
	}
	calls.Wait()
}

// send sends one request; its latency counts from when it was due.
func (r *run) send(i int, due time.Time) {
	key := r.plan.Prefix + "-" + strconv.Itoa(i)
	ctx, cancel := context.WithTimeout(context.Background(), r.plan.Deadline.Duration()+grace)
	defer cancel()
	request, err := r.request(ctx, i, key)
	if err != nil {
		r.note(key, cottonlanding.NotRun, false, time.Since(due))
		return
	}
	response, body, err := r.call(request)
	latency := time.Since(due)
	if err != nil {
		r.note(key, cottonlanding.Unknown, false, latency)
		return
	}
	outcome := cottonlanding.Outcome(response.Header.Get(server.OutcomeHeader))
	if outcome == "" && response.StatusCode == http.StatusOK {
		outcome = cottonlanding.Ran // an executor was called directly
	}
	foreign := r.plan.Booking && outcome == cottonlanding.Ran && !strings.HasSuffix(string(body), ": "+key)
	r.note(key, outcome, foreign, latency)
	if foreign {
		r.keepExample(key, response, body)
	}
}

// call returns the whole answer.
func (r *run) call(request *http.Request) (*http.Response, []byte, error) {
	response, err := r.client.Do(request)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, body, err
}

func (r *run) keepExample(key string, response *http.Response, body []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Example = fmt.Sprintf("%s got status %d, %v, %q", key, response.StatusCode, response.Header, body)
}

func (r *run) request(ctx context.Context, i int, key string) (*http.Request, error) {
	target := r.plan.Targets[i%len(r.plan.Targets)]
	method, body := http.MethodGet, ""
	if r.plan.Booking {
		method, body = http.MethodPost, key
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+string(target)+r.plan.Path, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	request.Header.Set(server.TeamHeader, string(r.plan.Team))
	request.Header.Set(server.DeadlineHeader, strconv.FormatInt(int64(r.plan.Deadline), 10))
	if r.plan.Booking {
		request.Header.Set(server.KeyHeader, key)
	}
	return request, nil
}

func (r *run) note(key string, outcome cottonlanding.Outcome, foreign bool, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Sent++
	r.report.Outcomes[outcome]++
	if r.plan.Booking {
		r.report.Keys[key] = outcome
	}
	if foreign {
		r.report.Foreign++
	}
	histogram := r.refused
	if outcome == cottonlanding.Ran {
		histogram = r.ran
		if latency <= r.plan.Deadline.Duration() {
			r.good++
		}
	}
	_ = histogram.RecordValue(min(max(latency.Microseconds(), 1), longestMicros)) // it lies within the bounds
}

func quantiles(h *hdrhistogram.Histogram) Latencies {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Latencies{P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: float64(h.Max()) / 1000}
}
