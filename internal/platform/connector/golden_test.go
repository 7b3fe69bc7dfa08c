package connector_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/golden/transcriber"
	"github.com/cottonlanding/cottonlanding/internal/platform/connector"
	"github.com/cottonlanding/cottonlanding/internal/web/caller"
)

// TestGoldenCalls guards against another path or field in what the platform's services are asked,
// and another reading of what they answer.
func TestGoldenCalls(t *testing.T) {
	stand := transcriber.New(t)
	client, err := caller.New("")
	require.NoError(t, err)
	defer client.Close()
	c, ctx := connector.New(client, stand.Address()), context.Background()

	stand.Answer(transcriber.Reply{Status: http.StatusOK, Body: `{"Version":7}`})
	receipt, err := c.Commit(ctx, cottonlanding.Transaction{
		ID:     "id1",
		Checks: []cottonlanding.Check{{Key: "k1", Expect: 1}},
		Writes: []cottonlanding.Write{{Key: "k2", Expect: 2, Value: []byte("v2"), Delete: true, Unchecked: true}},
	})
	require.NoError(t, err)
	require.Equal(t, cottonlanding.Receipt{Version: 7}, receipt)

	stand.Answer(transcriber.Reply{Status: http.StatusOK, Body: `{"Rows":[{"Key":"k1","Version":8,"Transaction":"id2","Value":"djE="}]}`})
	want := []cottonlanding.Row{{Key: "k1", Version: 8, Transaction: "id2", Value: []byte("v1")}}
	rows, err := c.Read(ctx, "k1", "k2")
	require.NoError(t, err)
	require.Equal(t, want, rows)
	rows, err = c.Scan(ctx, "k", "k0", 9)
	require.NoError(t, err)
	require.Equal(t, want, rows)

	stand.Answer(transcriber.Reply{Status: http.StatusOK, Body: `{"Workers":[{"ID":"w1"}],"Executors":[{"ID":"e1"}]}`})
	hosts, err := c.Hosts(ctx, "d 1")
	require.NoError(t, err)
	require.Equal(t, cottonlanding.Hosts{
		Workers: []cottonlanding.WorkerInfo{{ID: "w1"}}, Executors: []cottonlanding.ExecutorInfo{{ID: "e1"}},
	}, hosts)
	require.NoError(t, c.Put(ctx, "o/1", []byte("data")))
	_, err = c.Get(ctx, "o/1")
	require.NoError(t, err)
	require.NoError(t, c.Delete(ctx, "o/1"))
	transcriber.RequireFile(t, "calls.txt", stand.Calls())
	for status, want := range map[int]error{
		http.StatusConflict:            cottonlanding.ErrConflict,
		http.StatusNotFound:            cottonlanding.ErrNotFound,
		http.StatusServiceUnavailable:  cottonlanding.ErrUnavailable,
		http.StatusTooManyRequests:     cottonlanding.ErrUnavailable,
		http.StatusInternalServerError: cottonlanding.ErrAmbiguous,
	} {
		stand.Answer(transcriber.Reply{Status: status})
		require.ErrorIs(t, c.Put(ctx, "o", nil), want, "%d", status)
	}
}

// TestGoldenBodies guards against another field of a body.
func TestGoldenBodies(t *testing.T) {
	transcriber.RoundTrip[connector.ReadRequest](t, "read")
	transcriber.RoundTrip[connector.ScanRequest](t, "scan")
	transcriber.RoundTrip[connector.RowsAnswer](t, "rows")
}
