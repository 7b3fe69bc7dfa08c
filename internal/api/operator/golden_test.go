package operator_test

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/api/operator"
	"github.com/cottonlanding/cottonlanding/internal/api/server"
	"github.com/cottonlanding/cottonlanding/internal/golden/transcriber"
	"github.com/cottonlanding/cottonlanding/internal/web/caller"
	"github.com/cottonlanding/cottonlanding/internal/web/responder"
)

// TestGoldenCalls guards against another path, header or field in what an operator's call sends,
// and another reading of answers.
func TestGoldenCalls(t *testing.T) {
	stand := transcriber.New(t)
	client, err := caller.New("")
	require.NoError(t, err)
	defer client.Close()
	o, ctx := operator.New(client, stand.Address()), context.Background()

	stand.Answer(transcriber.Reply{Status: http.StatusOK, Header: map[string]string{"ETag": "7"}, Body: "text"})
	text, generation, err := o.Config(ctx)
	require.NoError(t, err)
	require.Equal(t, []any{"text", cottonlanding.Generation(7)}, []any{string(text), generation})
	require.NoError(t, o.Drain(ctx))
	_, err = o.State(ctx)
	require.NoError(t, err)

	stand.Answer(transcriber.Reply{Status: http.StatusOK, Body: `{"Generation":8,"DryRun":true}`})
	for _, dryRun := range []bool{false, true} {
		applied, err := o.Apply(ctx, []byte("file"), 7, dryRun)
		require.NoError(t, err)
		require.Equal(t, server.Applied{Generation: 8, DryRun: true}, applied)
	}

	stand.Answer(transcriber.Reply{Status: http.StatusOK, Body: `{"Job":{"Spec":{"Name":"j1"},"Cell":"c1","State":"Done","Reason":"r1"},"Tasks":[{"Result":"r2"}]}`})
	want := cottonlanding.JobStatus{
		Job:   cottonlanding.Job{Spec: cottonlanding.JobSpec{Name: "j1"}, Cell: "c1", State: cottonlanding.JobDone, Reason: "r1"},
		Tasks: []cottonlanding.Task{{Result: "r2"}},
	}
	for _, call := range []func() (cottonlanding.JobStatus, error){
		func() (cottonlanding.JobStatus, error) { return o.Submit(ctx, "j1", []byte("job")) },
		func() (cottonlanding.JobStatus, error) { return o.Cancel(ctx, "j1") },
		func() (cottonlanding.JobStatus, error) { return o.Status(ctx, "j1") },
	} {
		status, err := call()
		require.NoError(t, err)
		require.Equal(t, want, status)
	}

	stand.Answer(transcriber.Reply{
		Status: http.StatusServiceUnavailable,
		Header: map[string]string{"Cottonlanding-Outcome": "NotRun", "Retry-After": "9"},
		Body:   `{"Error":"w1","Detail":"d1"}`,
	})
	var refusal *operator.Refusal
	require.True(t, errors.As(o.Drain(ctx), &refusal))
	require.Equal(t, &operator.Refusal{
		Status: http.StatusServiceUnavailable, Problem: responder.Problem{Error: "w1", Detail: "d1"},
		Outcome: cottonlanding.NotRun, RetryAfter: "9",
	}, refusal)
	transcriber.RequireFile(t, "calls.txt", stand.Calls())
}
