package planner_test

import (
	"fmt"
	"testing"

	"github.com/cottonlanding/cottonlanding"
)

// TestCrashOfReplacedLifeCounts guards against a loss that stays open for good: the worker is back under another id
// before the next owner takes over, which never read the entry of the previous life. The lease expired, nothing could
// tell the outcome of that life, and a task that crashes its workers was started a sixth time.
func TestCrashOfReplacedLifeCounts(t *testing.T) {
	w := newFaultyTask(t)
	for number := range crashesPlayed {
		w.crashFirstWorker()
		info := &w.workers[0]
		info.ID = cottonlanding.WorkerID(fmt.Sprintf("next%d", number))
		info.Born += 1000
		w.runner.Rebirth(info.ID, info.Address, info.Born)
		w.takeOver()
		w.play(20 * cottonlanding.Second)
	}
	w.requireGivenUp()
}
