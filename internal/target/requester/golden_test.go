package requester_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/golden/transcriber"
	"github.com/cottonlanding/cottonlanding/internal/target/requester"
	"github.com/cottonlanding/cottonlanding/internal/web/caller"
)

// TestGoldenCalls guards against another header between an entry host and an executor.
func TestGoldenCalls(t *testing.T) {
	stand := transcriber.New(t)
	client, err := caller.New("")
	require.NoError(t, err)
	defer client.Close()
	r, ctx := requester.New(client), context.Background()
	request := cottonlanding.Request{
		ID: "id1", Service: "s1", Team: "t1", Method: "PUT", Path: "/p?q=1", Header: cottonlanding.Header{"H1": {"v1"}, "Te": {"x"}}, Body: []byte("b1"),
	}
	stand.Answer(transcriber.Reply{
		Status: http.StatusCreated, Header: map[string]string{"Cottonlanding-Request-Id": "id1", "Cottonlanding-Leaving": "true", "H2": "v2"}, Body: "b2",
	})
	answer, err := r.Call(ctx, stand.Address(), request)
	require.NoError(t, err)
	delete(answer.Header, "Date")
	delete(answer.Header, "Content-Type")
	require.Equal(t, cottonlanding.Answer{Status: http.StatusCreated, Header: cottonlanding.Header{"H2": {"v2"}}, Body: []byte("b2"), Leaving: true}, answer)
	stand.Answer(transcriber.Reply{
		Status: http.StatusServiceUnavailable, Header: map[string]string{"Cottonlanding-Request-Id": "id1", "Cottonlanding-Not-Run": "true"},
	})
	_, err = r.Call(ctx, stand.Address(), request)
	require.ErrorIs(t, err, cottonlanding.ErrUnavailable)
	stand.Answer(transcriber.Reply{Status: http.StatusOK, Header: map[string]string{"Cottonlanding-Request-Id": "other"}})
	_, err = r.Call(ctx, stand.Address(), request)
	require.ErrorIs(t, err, cottonlanding.ErrAmbiguous)
	transcriber.RequireFile(t, "calls.txt", stand.Calls())
}
