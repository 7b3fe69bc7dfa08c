package driver_test

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/platform/keeper"
	"github.com/cottonlanding/cottonlanding/internal/workflow/driver"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// TestUnreadableRunTimesAreLogged guards against an owner that doesn't start, or drops the row silently, if the learnt
// run times of the previous owner can't be read, and against a baseline that looks at them.
func TestUnreadableRunTimesAreLogged(t *testing.T) {
	for learns, lines := range map[bool]int{true: 1, false: 0} {
		synctest.Test(t, func(t *testing.T) {
			table := keeper.New()
			_, err := table.Commit(context.Background(), cottonlanding.Transaction{ID: "t", Writes: []cottonlanding.Write{{Key: planner.RunTimesKey(partition), Value: []byte("{")}}})
			require.NoError(t, err)
			var log strings.Builder
			o := newOwner(t, setup{workers: 1, tasksPerWorker: 2, policy: spreadPlacement(), learnsRunTimes: learns,
				table:  func(cottonlanding.Table) cottonlanding.Table { return table },
				modify: func(deps *driver.Dependencies) { deps.Log = slog.New(slog.NewTextHandler(&log, nil)) }})
			o.submit("w", cottonlanding.Step{Tasks: 1, Estimate: 200})
			o.driver.Close()
			require.Equal(t, lines, strings.Count(log.String(), "learnt run times could not be loaded"))
		})
	}
}
