package recorder_test

import (
	"io"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/operators/recorder"
)

const now = 7 * cottonlanding.Second

func newRecorder() *recorder.Recorder {
	clock := cottonlanding.ClockOf(func() cottonlanding.Millis { return now })
	return recorder.New("out/", clock, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

func evacuationRow(key string, version cottonlanding.Version) cottonlanding.FeedRow {
	return cottonlanding.FeedRow{Key: key, Version: version}
}

func removedRow(key string, version cottonlanding.Version) cottonlanding.FeedRow {
	return cottonlanding.FeedRow{Key: key, Version: version, Deleted: true}
}

// versions returns the versions of the evacuations in force.
func versions(r *recorder.Recorder) map[cottonlanding.DataCentre]cottonlanding.Version {
	out := make(map[cottonlanding.DataCentre]cottonlanding.Version)
	for dataCentre, evacuation := range r.Current().InForce {
		out[dataCentre] = evacuation.Version
	}
	return out
}

type inForce = map[cottonlanding.DataCentre]cottonlanding.Version

// TestRowsSetEvacuations guards against evacuations that are missed or go on after their rows are gone. A row
// orders an evacuation, and its removal, or its absence from a whole reading, ends it. Invalid keys and other rows
// don't affect the rest.
func TestRowsSetEvacuations(t *testing.T) {
	r := newRecorder()
	require.Zero(t, r.Current().ReadAt)
	r.Apply(cottonlanding.FeedReading{
		Rows: []cottonlanding.FeedRow{evacuationRow("out/", 2), evacuationRow("outside", 2), evacuationRow("out/x", 2), evacuationRow("out/y", 3)},
		At:   5, Version: 3, Whole: true,
	})
	require.Equal(t, inForce{"x": 2, "y": 3}, versions(r))
	require.Equal(t, cottonlanding.Evacuation{DataCentre: "x", Version: 2, KnownAt: now}, r.Current().InForce["x"])
	r.Apply(cottonlanding.FeedReading{Rows: []cottonlanding.FeedRow{removedRow("out/x", 4)}, Version: 4})
	require.Equal(t, inForce{"y": 3}, versions(r))
	require.Equal(t, cottonlanding.Millis(5), r.Current().ReadAt, "a reading without a time doesn't change ReadAt")
	r.Apply(cottonlanding.FeedReading{Rows: []cottonlanding.FeedRow{evacuationRow("out/x", 6)}, At: 9, Version: 6})
	require.Equal(t, inForce{"x": 6, "y": 3}, versions(r), "a row written again is a new evacuation")
	r.Apply(cottonlanding.FeedReading{Rows: []cottonlanding.FeedRow{evacuationRow("out/x", 6)}, At: 12, Version: 8, Whole: true})
	require.Equal(t, inForce{"x": 6}, versions(r))
	require.Equal(t, cottonlanding.Millis(12), r.Current().ReadAt)
}

// TestOlderReadingsIgnored guards against a whole reading that is older than the last changes and reverts them.
func TestOlderReadingsIgnored(t *testing.T) {
	r := newRecorder()
	r.Apply(cottonlanding.FeedReading{Rows: []cottonlanding.FeedRow{evacuationRow("out/x", 8), removedRow("out/y", 9)}, At: 20, Version: 9})
	before := r.Current()
	r.Apply(cottonlanding.FeedReading{Rows: []cottonlanding.FeedRow{evacuationRow("out/y", 4)}, At: 10, Version: 7, Whole: true})
	require.Equal(t, inForce{"x": 8}, versions(r))
	require.Equal(t, before, r.Current())
}
