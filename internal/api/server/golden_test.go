package server_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/api/server"
	"github.com/cottonlanding/cottonlanding/internal/coordination/follower"
	"github.com/cottonlanding/cottonlanding/internal/golden/transcriber"
	"github.com/cottonlanding/cottonlanding/internal/request/dispatcher"
)

const goldenFile = `{Deployment: n1, Teams: [{Name: t1}], Services: [{Name: s1, Timeout: 1s, Slots: 1, Connections: 1}]}`

const goldenJob = `{Name: j1, Team: t1, Kind: Batch, DataCentre: d1, Tasks: 2, Resources: {CPU: 3, Memory: 4B, Accelerators: 5}, RunTime: 6ms, Urgent: true, Payload: p1}`

// daemon stands for all that a server works with, and notes what it is told.
type daemon struct {
	reply   dispatcher.Reply
	err     error
	ready   bool
	current follower.Snapshot
	notes   string
}

func (d *daemon) note(format string, arguments ...any) {
	d.notes += fmt.Sprintf(format, arguments...) + "\n"
}

func (d *daemon) Submit(_ context.Context, spec cottonlanding.JobSpec) error {
	d.note("submit %s", spec.Name)
	return d.err
}

func (d *daemon) Cancel(_ context.Context, name cottonlanding.JobName) error {
	d.note("cancel %s", name)
	return d.err
}

func (d *daemon) Status(_ context.Context, name cottonlanding.JobName) (cottonlanding.JobStatus, error) {
	return cottonlanding.JobStatus{Job: cottonlanding.Job{Spec: cottonlanding.JobSpec{Name: name}, Cell: "c1", State: cottonlanding.JobDone, Reason: "r1"}}, d.err
}

func (d *daemon) Handle(_ context.Context, call dispatcher.Call) dispatcher.Reply {
	request := call.Request
	d.note("handle %s %s of %s for %s, key %s, %d ms, %q", request.Method, request.Path, request.Service, request.Team, call.Key, call.Remaining, request.Body)
	return d.reply
}

func (d *daemon) Apply(_ context.Context, text []byte, expected cottonlanding.Generation) (cottonlanding.Generation, error) {
	d.note("apply %q after %d", text, expected)
	return expected + 1, d.err
}

func (d *daemon) Current() follower.Snapshot { return d.current }

func (d *daemon) Request(service cottonlanding.ServiceName, outcome cottonlanding.Outcome, _ time.Duration) {
	d.note("metric: request %s %s", service, outcome)
}

func (d *daemon) Job(operation string, status int) { d.note("metric: job %s %d", operation, status) }

func (d *daemon) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "metrics") })
}

// TestGoldenAPI guards against another path, method, header, status, word or field of the HTTP
// interface.
func TestGoldenAPI(t *testing.T) {
	inForce := follower.Snapshot{Generation: 7, Text: []byte(goldenFile)}
	out := ""
	for _, one := range []struct {
		method, path, header, body string
		daemon                     daemon
	}{
		{method: "GET", path: "/healthz"},
		{method: "GET", path: "/readyz", daemon: daemon{ready: true}},
		{method: "GET", path: "/readyz"},
		{method: "GET", path: "/metrics"},
		{method: "GET", path: "/v1/State"},
		{method: "PUT", path: "/v1/State"},
		{method: "POST", path: "/v1/Drain"},
		{method: "GET", path: "/v1/Drain"},
		{method: "GET", path: "/nothing"},
		{method: "GET", path: "/v1/Config", daemon: daemon{current: inForce}},
		{method: "POST", path: "/v1/Config"},
		{method: "PUT", path: "/v1/Config", header: "If-Match: 7", body: goldenFile},
		{method: "PUT", path: "/v1/Config?DryRun=true", header: "If-Match: 7", body: goldenFile, daemon: daemon{current: inForce}},
		{method: "PUT", path: "/v1/Config", body: goldenFile},
		{method: "PUT", path: "/v1/Config", header: "If-Match: 7", body: "{}"},
		{method: "PUT", path: "/v1/Config", header: "If-Match: 6", body: goldenFile, daemon: daemon{err: &follower.Conflict{Expected: 6, Current: inForce}}},
		{method: "PUT", path: "/v1/Config", header: "If-Match: 7", body: goldenFile, daemon: daemon{err: cottonlanding.ErrUnavailable}},
		{method: "PUT", path: "/v1/Jobs/j1", body: goldenJob, daemon: daemon{current: inForce}},
		{method: "PUT", path: "/v1/Jobs/j1", body: goldenJob},
		{method: "PUT", path: "/v1/Jobs/j2", body: goldenJob, daemon: daemon{current: inForce}},
		{method: "GET", path: "/v1/Jobs/j1"},
		{method: "DELETE", path: "/v1/Jobs/j1"},
		{method: "POST", path: "/v1/Jobs/j1"},
		{method: "GET", path: "/v1/Jobs/-"},
		{method: "GET", path: "/v1/Jobs/j1", daemon: daemon{err: cottonlanding.ErrNotFound}},
		{method: "GET", path: "/v1/Jobs/j1", daemon: daemon{err: cottonlanding.ErrAmbiguous}},
		{method: "GET", path: "/v1/Jobs/j1", daemon: daemon{err: cottonlanding.ErrBusy}},
		{method: "GET", path: "/v1/Jobs/j1", daemon: daemon{err: cottonlanding.ErrNotOwner}},
		{method: "GET", path: "/v1/Jobs/j1", daemon: daemon{err: cottonlanding.ErrCannotRun}},
		{method: "GET", path: "/v1/Jobs/j1", daemon: daemon{err: errors.New("other")}},
		{
			method: "POST", path: "/v1/Services/s1/Requests/a/b?q=1", body: "body",
			header: "Cottonlanding-Team: t1|Idempotency-Key: k1|Cottonlanding-Deadline: 9",
			daemon: daemon{reply: dispatcher.Reply{Outcome: cottonlanding.Ran, Answer: cottonlanding.Answer{Status: 201, Header: cottonlanding.Header{"H1": {"v1"}}, Body: []byte("b1")}}},
		},
		{method: "GET", path: "/v1/Services/s1/Requests", daemon: daemon{reply: dispatcher.Reply{Outcome: cottonlanding.NotRun, Status: 503, Word: "w1", Detail: "d1", RetryAfter: 1001}}},
		{method: "GET", path: "/v1/Services/s1/Requests", daemon: daemon{reply: dispatcher.Reply{Outcome: cottonlanding.Unknown, Status: 504, Word: "w2", Detail: "d2"}}},
		{method: "GET", path: "/v1/Services/s1/Requests", header: "Cottonlanding-Deadline: x"},
	} {
		d := &one.daemon
		api := server.New(server.Dependencies{
			Jobs: d, Requests: d, Configurations: d, Metrics: d,
			Ready: func() bool { return d.ready },
			Drain: func() { d.note("drain") },
			State: func() any { return struct{ State int }{1} },
		})
		request := httptest.NewRequest(one.method, one.path, strings.NewReader(one.body))
		for header := range strings.SplitSeq(one.header, "|") {
			if name, value, given := strings.Cut(header, ": "); given {
				request.Header.Set(name, value)
			}
		}
		recorded := httptest.NewRecorder()
		api.ServeHTTP(recorded, request)
		out += fmt.Sprintf("%s %s\n%s%s\n", one.method, one.path, d.notes, transcriber.Response(recorded))
	}
	transcriber.RequireFile(t, "api.txt", out)
}

// TestGoldenBodies guards against another field of an answer.
func TestGoldenBodies(t *testing.T) {
	transcriber.RoundTrip[server.Applied](t, "applied")
	transcriber.RoundTrip[server.Refused](t, "refused")
	transcriber.RoundTrip[cottonlanding.JobStatus](t, "job-status")
	refused, err := server.DecodeRefused(transcriber.Golden(t, "refused.json"))
	require.NoError(t, err)
	require.Equal(t, server.Refused{Error: "s2", Detail: "s3", Generation: 4, Current: "s5"}, refused)
}
