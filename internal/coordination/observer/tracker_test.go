package observer_test

import (
	"encoding/json"
	"flag"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/coordination/observer"
	"github.com/cottonlanding/cottonlanding/internal/coordination/registrar"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261202") // a fixed seed, so that runs are reproducible
	}
	os.Exit(m.Run())
}

const (
	ttl  = 3 * cottonlanding.Second
	poll = 500 * cottonlanding.Millis(1)
)

func sessionRow(t require.TestingT, id cottonlanding.SessionID, version cottonlanding.Version) cottonlanding.Row {
	value, err := json.Marshal(registrar.Session{ID: id})
	require.NoError(t, err)
	return cottonlanding.Row{Key: registrar.SessionKey(id), Version: version, Value: value}
}

// TestObserverEndsSessionAfterRegistrar guards against an observer that counts a
// session as ended while its registrar still counts it as valid. The registrar
// counts from before it sent its last successful renewal; the observer's reads
// are delayed and pause.
func TestObserverEndsSessionAfterRegistrar(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := observer.NewSessionTracker(ttl, 3*poll)
		now := cottonlanding.Millis(1)
		version := cottonlanding.Version(1)
		validUntil := now + ttl
		span := rapid.IntRange(1, 2000)
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) { now += cottonlanding.Millis(span.Draw(t, "span")) },
			"renew": func(t *rapid.T) {
				sent := now
				now += cottonlanding.Millis(rapid.IntRange(0, 500).Draw(t, "delay"))
				version++
				validUntil = sent + ttl
			},
			"read": func(t *rapid.T) {
				sent := now
				row := sessionRow(t, "holder", version)
				now += cottonlanding.Millis(rapid.IntRange(0, 500).Draw(t, "delay"))
				_, before := tracker.Ended()["holder"]
				require.NoError(t, tracker.Observe([]cottonlanding.Row{row}, sent, now))
				_, after := tracker.Ended()["holder"]
				if after && !before {
					require.GreaterOrEqual(t, now, validUntil, "ended while still valid for its registrar")
				}
			},
		})
	})
}

// TestUnrenewedSessionEndsAfterTTL guards against a session that ends before
// its time to live has passed, or stays alive after it.
func TestUnrenewedSessionEndsAfterTTL(t *testing.T) {
	tracker := observer.NewSessionTracker(ttl, 3*poll)
	rows := []cottonlanding.Row{sessionRow(t, "dead", 7)}
	for now := cottonlanding.Millis(0); now < ttl; now += poll {
		require.NoError(t, tracker.Observe(rows, now, now))
		require.True(t, tracker.Alive("dead"))
	}
	require.NoError(t, tracker.Observe(rows, ttl, ttl))
	require.False(t, tracker.Alive("dead"))
}

// TestTableOutageKeepsSessions guards against sessions that end because they
// couldn't be renewed during an outage of the table.
func TestTableOutageKeepsSessions(t *testing.T) {
	tracker := observer.NewSessionTracker(ttl, 3*poll)
	rows := []cottonlanding.Row{sessionRow(t, "held", 7)}
	require.NoError(t, tracker.Observe(rows, 0, 0))
	outage := 10 * cottonlanding.Minute
	require.NoError(t, tracker.Observe(rows, outage, outage))
	require.True(t, tracker.Alive("held"), "no session could be renewed during the outage")
}

// TestDeletedRowEndsSession guards against a closed session that counts as alive
// until its time to live has passed.
func TestDeletedRowEndsSession(t *testing.T) {
	tracker := observer.NewSessionTracker(ttl, 3*poll)
	require.NoError(t, tracker.Observe([]cottonlanding.Row{sessionRow(t, "left", 7)}, 0, 0))
	require.NoError(t, tracker.Observe(nil, 1, 1))
	require.False(t, tracker.Alive("left"))
}
