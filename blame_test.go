package cottonlanding_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// TestCrashFinding guards against workflows that fail because leases expire or workers end by
// themselves. Each row changes one thing in the clearest case of a crash.
func TestCrashFinding(t *testing.T) {
	clear := cottonlanding.RunLoss{LifeEnded: true, Answered: true, StartConfirmed: true, Recent: true, StandsOut: true}
	for name, c := range map[string]struct {
		change                   func(*cottonlanding.RunLoss)
		finding, outlivedFinding cottonlanding.Finding
	}{
		"nothing else explains the end":    {func(*cottonlanding.RunLoss) {}, cottonlanding.LikelyCrash, cottonlanding.LikelyCrash},
		"an expired lease, or a partition": {func(l *cottonlanding.RunLoss) { l.LifeEnded = false }, cottonlanding.NoProof, cottonlanding.NoProof},
		"the run is old":                   {func(l *cottonlanding.RunLoss) { l.Recent = false }, cottonlanding.NoProof, cottonlanding.NoProof},
		"one of many":                      {func(l *cottonlanding.RunLoss) { l.StandsOut = false }, cottonlanding.PossibleCrash, cottonlanding.PossibleCrash},
		"an end unseen by this owner":      {func(l *cottonlanding.RunLoss) { l.Answered = false }, cottonlanding.PossibleCrash, cottonlanding.NoProof},
		"a worker that ends by itself":     {func(l *cottonlanding.RunLoss) { l.Unstable = true }, cottonlanding.PossibleCrash, cottonlanding.NoProof},
		"a worker that has just started":   {func(l *cottonlanding.RunLoss) { l.Young = true }, cottonlanding.LikelyCrash, cottonlanding.NoProof},
		"a leaving worker":                 {func(l *cottonlanding.RunLoss) { l.Leaving = true }, cottonlanding.PossibleCrash, cottonlanding.NoProof},
		"a start without an answer":        {func(l *cottonlanding.RunLoss) { l.StartConfirmed = false }, cottonlanding.PossibleCrash, cottonlanding.PossibleCrash},
		"an external cause":                {func(l *cottonlanding.RunLoss) { l.ExternalCause = true }, cottonlanding.PossibleCrash, cottonlanding.NoProof},
	} {
		t.Run(name, func(t *testing.T) {
			loss := clear
			c.change(&loss)
			require.Equal(t, c.finding, loss.Finding())
			loss.Outlived = true
			require.Equal(t, c.outlivedFinding, loss.Finding(), "the run had outlived its start")
		})
	}
}
