package returner_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/returner"
)

const (
	// returns is how often callers come back. Source: the users' clients.
	returns = 4
	// outage is the length of the outages of the store and of its links that were seen.
	outage = 6 * cottonlanding.Second
)

// served reports whether a caller that comes at an instant of an outage is served, and
// how long after the outage.
func served(policy cottonlanding.ReturnPolicy, at cottonlanding.Millis) (cottonlanding.Millis, bool) {
	for range returns {
		at += policy.RetryAfter(at)
		if at >= outage {
			return at - outage, true
		}
	}
	return 0, false
}

func TestCallersOutlastAnOutage(t *testing.T) {
	lost := 0
	for at := cottonlanding.Millis(0); at < outage; at += 100 {
		late, ok := served(returner.Growing{}, at)
		require.True(t, ok, "a caller that comes at %s gives up", at)
		require.LessOrEqual(t, late, 4*cottonlanding.Second)
		if _, ok := served(returner.Constant{}, at); !ok {
			lost++
		}
	}
	require.Equal(t, 20, lost, "the baseline loses those of the first two seconds")
}

// TestTrackerMeasuresTheOutage checks that the wait grows from the first refusal on, is
// spread over whole seconds, and begins anew once a caller was accepted.
func TestTrackerMeasuresTheOutage(t *testing.T) {
	now := cottonlanding.Millis(5000)
	draw := int64(0)
	tracker := returner.NewTracker(returner.Growing{}, cottonlanding.ClockOf(func() cottonlanding.Millis { return now }),
		func(int64) int64 { return draw })
	require.Equal(t, cottonlanding.Second, tracker.Refused())
	now += 3000
	require.Equal(t, 3*cottonlanding.Second, tracker.Refused(), "2.5 s rounded up")
	draw = 999
	require.Equal(t, 2*cottonlanding.Second, tracker.Refused(), "2.5 s rounded down")
	tracker.Accepted()
	require.Equal(t, cottonlanding.Second, tracker.Refused())
}
