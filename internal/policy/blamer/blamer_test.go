package blamer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/blamer"
)

// TestExternalCauses guards against tasks that are blamed for outages. Each row is a crash as the
// owner of 24 workers in racks of four sees it.
func TestExternalCauses(t *testing.T) {
	alone := cottonlanding.CrashView{Rack: 3, Workers: 23}
	for name, c := range map[string]struct {
		change func(*cottonlanding.CrashView)
		blames bool
	}{
		"one worker alone":           {func(*cottonlanding.CrashView) {}, true},
		"several faulty tasks":       {func(c *cottonlanding.CrashView) { c.Silent, c.RackSilent = 6, 1 }, true},
		"another one, unprovoked":    {func(c *cottonlanding.CrashView) { c.Silent, c.Unprovoked = 1, 1 }, true},
		"two others, unprovoked":     {func(c *cottonlanding.CrashView) { c.Silent, c.Unprovoked = 2, 2 }, false},
		"a rack":                     {func(c *cottonlanding.CrashView) { c.Silent, c.RackSilent = 3, 3 }, false},
		"half of all":                {func(c *cottonlanding.CrashView) { c.Silent = 12 }, false},
		"one of two in a small cell": {func(c *cottonlanding.CrashView) { c.Rack, c.Workers, c.Silent = 2, 2, 1 }, true},
	} {
		t.Run(name, func(t *testing.T) {
			crash := alone
			c.change(&crash)
			require.Equal(t, c.blames, blamer.Fair{}.Blames(crash))
			require.True(t, blamer.Count{}.Blames(crash))
		})
	}
}

// TestGivesUpSoleSuspects guards against tasks that are given up for a crash which another run on the
// worker, or another fault, may have caused.
func TestGivesUpSoleSuspects(t *testing.T) {
	record := func(crashes int) cottonlanding.CrashRecord {
		return cottonlanding.CrashRecord{Losses: crashes, Crashes: crashes}
	}
	for name, c := range map[string]struct {
		suspect cottonlanding.SuspectView
		givenUp bool
	}{
		"first crash":                   {cottonlanding.SuspectView{Record: record(1), Finding: cottonlanding.LikelyCrash, SoleSuspect: true, JustStarted: true}, false},
		"second, alone and early":       {cottonlanding.SuspectView{Record: record(2), Finding: cottonlanding.LikelyCrash, SoleSuspect: true, JustStarted: true}, true},
		"second, while others are lost": {cottonlanding.SuspectView{Record: record(2), Finding: cottonlanding.LikelyCrash, SoleSuspect: true, JustStarted: true, Crash: cottonlanding.CrashView{Workers: 23, Silent: 6}}, false},
		"third, while others are lost":  {cottonlanding.SuspectView{Record: record(3), Finding: cottonlanding.LikelyCrash, SoleSuspect: true, JustStarted: true, Crash: cottonlanding.CrashView{Workers: 23, Silent: 6}}, true},
		"second, alone and late":        {cottonlanding.SuspectView{Record: record(2), Finding: cottonlanding.LikelyCrash, SoleSuspect: true}, false},
		"third, alone and late":         {cottonlanding.SuspectView{Record: record(3), Finding: cottonlanding.LikelyCrash, SoleSuspect: true}, true},
		"fourth, among others":          {cottonlanding.SuspectView{Record: record(4), Finding: cottonlanding.LikelyCrash, JustStarted: true}, false},
		"third, no likely crash":        {cottonlanding.SuspectView{Record: record(3), Finding: cottonlanding.PossibleCrash, SoleSuspect: true, JustStarted: true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.givenUp, blamer.Fair{}.GivesUp(c.suspect))
			require.Equal(t, c.suspect.Record.Losses >= 3, blamer.Count{}.GivesUp(c.suspect))
		})
	}
	require.False(t, blamer.Fair{}.Isolates(cottonlanding.CrashRecord{Losses: 1}))
	require.True(t, blamer.Fair{}.Isolates(record(1)))
	require.True(t, blamer.Fair{}.Isolates(cottonlanding.CrashRecord{Losses: 2}))
}
