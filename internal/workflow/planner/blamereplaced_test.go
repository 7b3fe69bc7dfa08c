package planner_test

import (
	"fmt"
	"testing"

	"github.com/cottonlanding/cottonlanding"
)

// TestCrashOfReplacedLifeCounts: in a soak of real processes (seed 71011) a task that crashes its workers was
// started a sixth time. Its worker was back under another id before the next owner came, which had never read the
// entry of the life before: the lease ran out, nobody could ever tell what became of that life, and the loss
// stayed open for good.
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
