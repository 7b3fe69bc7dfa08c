package loader_test

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/golden/transcriber"
	"github.com/cottonlanding/cottonlanding/internal/settings/loader"
)

// goldenConfiguration is what testdata/golden/configuration.yaml says.
var goldenConfiguration = cottonlanding.Configuration{
	Deployment: "n1",
	Teams:      []cottonlanding.TeamQuota{{Name: "t1", Weight: 1.5, Quota: cottonlanding.Resources{CPU: 2500, Memory: 3_000_000, Accelerators: 4}}},
	Services:   []cottonlanding.Service{{Name: "s1", Timeout: 5, Slots: 6, Connections: 7, Queue: 8, Repeatable: true}},
	Jobs: []cottonlanding.JobSpec{{
		Name: "j1", Team: "t1", Kind: cottonlanding.Watch, DataCentre: "d1", Tasks: 9,
		Resources: cottonlanding.Resources{CPU: 10_000, Memory: 11_000, Accelerators: 12},
		RunTime:   13 * cottonlanding.Second, Urgent: true, Payload: "p1",
	}},
	Policies:  cottonlanding.Policies{Placement: "pack", Eviction: "youngest", Admission: "leastshare"},
	Limits:    cottonlanding.Limits{Attempts: 14, LeavingWithin: 15 * cottonlanding.Minute, AssignAhead: 16, KeepAnswers: 17 * 60 * cottonlanding.Minute},
	Evacuated: []cottonlanding.DataCentre{"d2"},
}

// TestGoldenFiles guards against another key or unit in the files of operators and processes.
func TestGoldenFiles(t *testing.T) {
	settings, err := loader.LoadSettings("testdata/golden/settings.yaml")
	require.NoError(t, err)
	require.Equal(t, loader.Settings{
		DataCentre: "d1", HTTPAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2", Platform: "10.0.0.2:3",
		Peers: []cottonlanding.Address{"10.0.0.3:4"}, Seats: 5, CellsPerDataCentre: 6,
		Timing: loader.Timing{
			SessionTTL: 2007, LeaseTTL: 20 * cottonlanding.Second, CutOffGrace: 8 * cottonlanding.Minute, Poll: 9,
			CommitSpacing: 10, JobRetention: 11 * 60 * cottonlanding.Minute,
		},
	}, settings)
	configuration, err := loader.LoadConfiguration("testdata/golden/configuration.yaml")
	require.NoError(t, err)
	require.Equal(t, goldenConfiguration, configuration)
	job, err := loader.ParseJob("job", transcriber.Golden(t, "job.yaml"), configuration)
	require.NoError(t, err)
	want := cottonlanding.JobSpec{
		Name: "j2", Team: "t1", Kind: cottonlanding.Batch, DataCentre: "d1", Tasks: 18,
		Resources: cottonlanding.Resources{CPU: 19, Memory: 20 * cottonlanding.Gigabyte, Accelerators: 21},
		RunTime:   22, Urgent: true, Payload: "p2",
	}
	require.Equal(t, want, job)
	evacuated, err := loader.Evacuate("f", transcriber.Golden(t, "configuration.yaml"), "d3", true)
	require.NoError(t, err)
	transcriber.RequireFile(t, "evacuated.yaml", string(evacuated))
}

// TestGoldenDefaults guards against another default of what files leave out.
func TestGoldenDefaults(t *testing.T) {
	settings, err := loader.ParseSettings("f", []byte("{DataCentre: d1, HTTPAddress: '10.0.0.1:1', PeerAddress: '10.0.0.1:2', Platform: '10.0.0.2:3'}"))
	require.NoError(t, err)
	require.Equal(t, loader.Settings{
		DataCentre: "d1", HTTPAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2", Platform: "10.0.0.2:3", Seats: 3, CellsPerDataCentre: 1,
		Timing: loader.Timing{SessionTTL: 3000, LeaseTTL: 13_000, CutOffGrace: 900_000, Poll: 500, CommitSpacing: 100, JobRetention: 86_400_000},
	}, settings)
	configuration, err := loader.ParseConfiguration("f", []byte("{Deployment: n1, Teams: [{Name: t1}], Services: [{Name: s1, Timeout: 1s, Slots: 1, Connections: 1}], Jobs: [{Name: j1, Team: t1, RunTime: 1s, Resources: {CPU: 1, Memory: 1B}}]}"))
	require.NoError(t, err)
	require.Equal(t, cottonlanding.Configuration{
		Deployment: "n1",
		Teams:      []cottonlanding.TeamQuota{{Name: "t1", Weight: 1}},
		Services:   []cottonlanding.Service{{Name: "s1", Timeout: 1000, Slots: 1, Connections: 1, Queue: 256}},
		Jobs: []cottonlanding.JobSpec{{
			Name: "j1", Team: "t1", Kind: cottonlanding.Batch, Tasks: 1, RunTime: 1000, Resources: cottonlanding.Resources{CPU: 1000, Memory: 1},
		}},
		Policies: cottonlanding.Policies{Placement: "spread", Eviction: "leastlost", Admission: "fifo"},
		Limits:   cottonlanding.Limits{Attempts: 3, LeavingWithin: 3000, KeepAnswers: 600_000},
	}, configuration)
}

// TestGoldenFaults guards against another name of a field or value in what operators are told.
func TestGoldenFaults(t *testing.T) {
	out := ""
	add := func(_ any, err error) {
		require.Error(t, err)
		out += err.Error() + "\n\n"
	}
	for _, text := range []string{
		"{}", "{X: 1, Timing: {X: 1}}",
		"{Peers: [x], Seats: -1, CellsPerDataCentre: -1, Timing: {SessionTTL: 1ms, LeaseTTL: 1ms, Poll: 1s}}",
	} {
		add(loader.ParseSettings("settings", []byte(text)))
	}
	for _, text := range []string{
		"{}",
		"{X: 1, Teams: [{X: 1, Quota: {X: 1}}], Services: [{X: 1}], Jobs: [{X: 1, Resources: {X: 1}}], Policies: {X: 1}, Limits: {X: 1}}",
		"{Teams: [{Weight: -1}], Services: [{}], Jobs: [{Kind: x, Tasks: -1}], Policies: {Placement: x, Eviction: x, Admission: x}, Limits: {Attempts: -1, AssignAhead: -1}, Evacuated: [x/y]}",
	} {
		add(loader.ParseConfiguration("configuration", []byte(text)))
	}
	add(loader.ParseJob("job", []byte("{Name: j1}"), goldenConfiguration))
	transcriber.RequireFile(t, "faults.txt", out)
}

// TestGoldenExamples guards against examples that no longer parse.
func TestGoldenExamples(t *testing.T) {
	files, err := filepath.Glob("../../../examples/*/*.yaml")
	require.NoError(t, err)
	require.Len(t, files, 8)
	for _, file := range files {
		if filepath.Base(file) == "configuration.yaml" {
			_, err = loader.LoadConfiguration(file)
		} else {
			_, err = loader.LoadSettings(file)
		}
		require.NoError(t, err, file)
	}
}
