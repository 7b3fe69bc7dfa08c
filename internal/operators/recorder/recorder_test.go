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

// versions returns which evacuations are in force, and as of which versions.
func versions(r *recorder.Recorder) map[cottonlanding.DataCentre]cottonlanding.Version {
	out := make(map[cottonlanding.DataCentre]cottonlanding.Version)
	for dataCentre, evacuation := range r.Current().InForce {
		out[dataCentre] = evacuation.Version
	}
	return out
}

type inForce = map[cottonlanding.DataCentre]cottonlanding.Version

// TestRowsSetEvacuations: a row orders, its removal takes back, and what is no data centre's
// hides no other. What a whole reading lacks was taken back.
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
	require.Equal(t, cottonlanding.Millis(5), r.Current().ReadAt, "there may have been more to read")
	r.Apply(cottonlanding.FeedReading{Rows: []cottonlanding.FeedRow{evacuationRow("out/x", 6)}, At: 9, Version: 6})
	require.Equal(t, inForce{"x": 6, "y": 3}, versions(r), "it is another one")
	r.Apply(cottonlanding.FeedReading{Rows: []cottonlanding.FeedRow{evacuationRow("out/x", 6)}, At: 12, Version: 8, Whole: true})
	require.Equal(t, inForce{"x": 6}, versions(r))
	require.Equal(t, cottonlanding.Millis(12), r.Current().ReadAt)
}

// TestOlderReadingsIgnored: a reading may tell what was before the newest that is known.
func TestOlderReadingsIgnored(t *testing.T) {
	r := newRecorder()
	r.Apply(cottonlanding.FeedReading{Rows: []cottonlanding.FeedRow{evacuationRow("out/x", 8), removedRow("out/y", 9)}, At: 20, Version: 9})
	before := r.Current()
	r.Apply(cottonlanding.FeedReading{Rows: []cottonlanding.FeedRow{evacuationRow("out/y", 4)}, At: 10, Version: 7, Whole: true})
	require.Equal(t, inForce{"x": 8}, versions(r))
	require.Equal(t, before, r.Current())
}
