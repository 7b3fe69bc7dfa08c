package commander_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/golden/transcriber"
	"github.com/cottonlanding/cottonlanding/internal/target/commander"
	"github.com/cottonlanding/cottonlanding/internal/web/caller"
)

// TestGoldenCalls guards against another path or field in what workers are told.
func TestGoldenCalls(t *testing.T) {
	stand := transcriber.New(t)
	client, err := caller.New("")
	require.NoError(t, err)
	defer client.Close()
	c, ctx, worker := commander.New(client), context.Background(), stand.Address()
	stand.Answer(transcriber.Reply{Status: http.StatusOK, Body: `{"Worker":"w1","Incarnation":"i1","Epoch":1,"Reading":2,"LeaseRemaining":3,"Leaving":true,` +
		`"Digest":"d1","Unchanged":true,"Runs":[{"Task":{"Job":"j1","Index":4},"Attempt":5,"State":"Running","Resources":{"CPU":6,"Memory":7,"Accelerators":8},` +
		`"Checkpoint":"c1","Result":"r1","Ran":9,"Used":{"CPU":10,"Memory":11,"Accelerators":12}}]}`})
	fence := cottonlanding.Fence{Cell: "c1", Epoch: 1, Incarnation: "i1", Reading: 2, TTL: 3, Digest: "d1"}
	inventory, err := c.Renew(ctx, worker, fence)
	require.NoError(t, err)
	task := cottonlanding.TaskID{Job: "j1", Index: 4}
	require.Equal(t, cottonlanding.Inventory{
		Worker: "w1", Incarnation: "i1", Epoch: 1, Reading: 2, LeaseRemaining: 3, Leaving: true, Digest: "d1", Unchanged: true,
		Runs: []cottonlanding.TaskRun{{
			Task: task, Attempt: 5, State: cottonlanding.Running, Resources: cottonlanding.Resources{CPU: 6, Memory: 7, Accelerators: 8},
			Checkpoint: "c1", Result: "r1", Ran: 9, Used: cottonlanding.Resources{CPU: 10, Memory: 11, Accelerators: 12},
		}},
	}, inventory)
	command := cottonlanding.Command{Fence: fence, Task: task, Attempt: 5, Object: "o1", Percent: 6}
	require.NoError(t, c.Start(ctx, worker, cottonlanding.Start{
		Fence: fence, Task: task, Attempt: 5, Resources: cottonlanding.Resources{CPU: 6, Memory: 7, Accelerators: 8}, RunTime: 9, Payload: "p1", Checkpoint: "o1",
	}))
	require.NoError(t, c.Stop(ctx, worker, command))
	require.NoError(t, c.Checkpoint(ctx, worker, command))
	require.NoError(t, c.Throttle(ctx, worker, command))
	require.NoError(t, c.Acknowledge(ctx, worker, command))
	transcriber.RequireFile(t, "calls.txt", stand.Calls())
	stand.Answer(transcriber.Reply{Status: http.StatusConflict, Body: `{"Error":"StaleEpoch","Detail":"d1"}`})
	require.ErrorIs(t, c.Stop(ctx, worker, command), cottonlanding.ErrStaleEpoch)
}
