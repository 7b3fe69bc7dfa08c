package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

const (
	// clientTimeout is the time limit of a client's call.
	clientTimeout = 1200 * time.Millisecond
	// reconnectWithin is how soon later calls must use another connection than one on which a call waits.
	reconnectWithin = 700 * time.Millisecond
	// answerTimeout is the time limit of calls that must succeed. A call on a silent connection fails earlier.
	answerTimeout = 10 * time.Second
)

// submitOnce submits a workflow with a single call.
func (d *deployment) submitOnce(host int, id string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return d.hosts[host].Submit(ctx, workflow(cottonlanding.WorkflowID(id)))
}

// connect waits until a host has a connection to the owner that answers quickly.
func (d *deployment) connect(host int) {
	require.Eventually(d.t, func() bool {
		began := time.Now()
		_, err := d.hosts[host].Waiting(context.Background(), "Q")
		return err == nil && time.Since(began) < 200*time.Millisecond
	}, answerTimeout, time.Millisecond)
}

// TestSilentPeerConnections guards against calls that are lost because all connections between hosts drop packets
// without an error. The first call fails in time as ambiguous; a call a little later and the next one must succeed on a
// new connection.
func TestSilentPeerConnections(t *testing.T) {
	d := deploy(t)
	owner := d.owner()
	host := (owner + 1) % 3
	d.submit(host, workflow("first"))
	for round := range 3 {
		d.connect(host)
		before := d.proxies[owner].Accepted()
		for _, peerProxy := range d.proxies {
			peerProxy.Silence()
		}
		lost := make(chan error, 1)
		go func() { lost <- d.submitOnce(host, fmt.Sprintf("lost%d", round), clientTimeout) }()
		time.Sleep(reconnectWithin)
		later := fmt.Sprintf("later%d", round)
		require.NoError(t, d.submitOnce(host, later, answerTimeout))
		require.ErrorIs(t, <-lost, cottonlanding.ErrAmbiguous, "the call may have been executed")
		require.NoError(t, d.submitOnce(host, fmt.Sprintf("next%d", round), answerTimeout))
		require.Equal(t, before+1, d.proxies[owner].Accepted())
		d.requireSuccess(host, cottonlanding.WorkflowID(later))
	}
}

// TestSlowOwnerKeepsConnection guards against ever more connections to an owner that is slow to commit but answers
// other calls.
func TestSlowOwnerKeepsConnection(t *testing.T) {
	d := deploy(t)
	owner := d.owner()
	host := (owner + 1) % 3
	d.submit(host, workflow("first"))
	d.requireSuccess(host, "first")
	before := d.proxies[owner].Accepted()
	d.table.commitDelay.Store(int64(reconnectWithin))
	done := make(chan error, 1)
	go func() {
		done <- d.submitOnce(host, "slow", answerTimeout)
	}()
	for {
		select {
		case err := <-done:
			require.NoError(t, err)
			require.Equal(t, before, d.proxies[owner].Accepted())
			return
		case <-time.After(50 * time.Millisecond):
			ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
			if _, err := d.hosts[host].State(ctx, "first"); errors.Is(err, cottonlanding.ErrNotFound) {
				t.Error("an accepted workflow is not found")
			}
			cancel()
		}
	}
}
