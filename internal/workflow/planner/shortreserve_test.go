package planner_test

import (
	"bytes"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/selector"
)

// shortReserves are the variants of the decision ShortReserve.
var shortReserves = []string{"recent", "none"}

// fullWorld returns a cell of nine workers of which lasting tasks hold nearly nine tenths: one on each, which leaves
// it a processor. A tenth task of their step waits for another worker if there are ten.
func fullWorld(t require.TestingT, variant string, tasks int) *world {
	set, err := selector.New(selector.Names{"ShortPlacement": "spread", "LastingPlacement": "spread", "ShortReserve": variant})
	require.NoError(t, err)
	w := newWorldOf(t, set.Planner)
	for range 5 {
		w.addWorker()
	}
	w.relist()
	w.play(cottonlanding.Second)
	w.submit("lasting", "Urgent", lasting(tasks, 0, 7000))
	w.play(cottonlanding.Second)
	require.Equal(t, 9, w.runner.Lasting())
	return w
}

// playShort plays a number of seconds, each of which begins with a burst of short tasks that need twelve processors for
// 0.2 s. Between the bursts none of them waits.
func (w *world) playShort(queue cottonlanding.QueueName, seconds int) {
	for range seconds {
		for i := range 12 {
			w.submit(cottonlanding.WorkflowID(fmt.Sprintf("short-%s-%d-%d", queue, w.now, i)), queue, short(1000))
		}
		w.play(cottonlanding.Second)
	}
}

// TestLastingTasksLeaveRoomToShortOnes guards against lasting tasks that take each hole as it appears while they hold
// nine tenths and short tasks wait, and against holes that stay reserved once the short tasks are gone.
func TestLastingTasksLeaveRoomToShortOnes(t *testing.T) {
	for _, variant := range shortReserves {
		t.Run(variant, func(t *testing.T) {
			w := fullWorld(t, variant, 10)
			w.playShort("Urgent", 3)
			w.addWorker()
			w.relist()
			w.playShort("Urgent", 3)
			require.Equal(t, variant == "none", w.runner.Lasting() == 10, "the tenth task takes the new worker")
			require.Zero(t, w.cell.Counts().Preempted)
			w.play(11 * cottonlanding.Second)
			require.Equal(t, 10, w.runner.Lasting(), "nothing is reserved without demand")
			require.Empty(t, w.runner.Violations())
		})
	}
}

// TestLastingWorkflowGetsFirstRunInTime guards against a lasting workflow that has no run after 3 s because its room
// is reserved, and against members of a gang that take reserved room together although each alone would leave enough.
func TestLastingWorkflowGetsFirstRunInTime(t *testing.T) {
	for _, variant := range shortReserves {
		for name, step := range map[string]cottonlanding.Step{
			"task": lasting(1, 0, 7000),
			"gang": {Tasks: 2, Lasting: true, Gang: true, Resources: cottonlanding.Resources{CPU: 3500, Memory: cottonlanding.Gigabyte}},
		} {
			t.Run(variant+", "+name, func(t *testing.T) {
				w := fullWorld(t, variant, 9)
				w.playShort("Urgent", 3)
				w.addWorker()
				w.relist()
				w.submit("later", "Urgent", step)
				w.playShort("Urgent", 1)
				require.Equal(t, variant == "none", w.runs("later", 0), "its room is reserved at first")
				w.playShort("Urgent", 2)
				require.True(t, w.runsAll("later", step.Tasks))
			})
		}
	}
}

// TestInterruptedTasksIgnoreShortReserve guards against a lasting task that ran before and is held back, itself or
// behind one of its step that never ran.
func TestInterruptedTasksIgnoreShortReserve(t *testing.T) {
	for _, variant := range shortReserves {
		t.Run(variant, func(t *testing.T) {
			w := fullWorld(t, variant, 10)
			ran := slices.DeleteFunc([]int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}, func(index int) bool { return !w.runs("lasting", index) })
			w.playShort("Urgent", 3)
			w.workers[0].State = cottonlanding.Leaving
			w.addWorker()
			w.relist()
			w.playShort("Urgent", 3)
			for _, index := range ran {
				require.True(t, w.runs("lasting", index), "task %d ran before", index)
			}
		})
	}
}

// TestAmpleRoomIsNotReserved guards against lasting tasks that wait although there is room for them and for the short
// ones, and against a reserve for short tasks that are less urgent or fit on no worker.
func TestAmpleRoomIsNotReserved(t *testing.T) {
	for _, variant := range shortReserves {
		for name, load := range map[string]func(*world){
			"room for both": func(w *world) {
				for range 3 {
					w.addWorker()
				}
				w.relist()
				w.playShort("Urgent", 1)
			},
			"less urgent": func(w *world) {
				w.playShort("Bulk", 3)
				w.addWorker()
				w.relist()
				w.playShort("Bulk", 1)
			},
			"too large": func(w *world) {
				w.submit("first", "Urgent", short(1000)) // its size is the mean
				large := short(9000)
				large.Tasks = 100
				w.submit("large", "Urgent", large)
				w.submit("none", "Urgent", short(0))
				w.play(3 * cottonlanding.Second)
				w.addWorker()
				w.relist()
				w.play(cottonlanding.Second)
			},
		} {
			t.Run(variant+", "+name, func(t *testing.T) {
				w := fullWorld(t, variant, 10)
				load(w)
				require.Equal(t, 10, w.runner.Lasting())
			})
		}
	}
}

// TestShortReserveAfterChangeOfOwner guards against an owner that doesn't know the demand, and so gives the next hole
// to a lasting task, and against a line "use of workers" that doesn't show the reserve.
func TestShortReserveAfterChangeOfOwner(t *testing.T) {
	for _, variant := range shortReserves {
		t.Run(variant, func(t *testing.T) {
			w := fullWorld(t, variant, 10)
			w.playShort("Urgent", 3)
			var log bytes.Buffer
			w.log = slog.New(slog.NewTextHandler(&log, nil))
			w.takeOver()
			w.playShort("Urgent", 3)
			w.addWorker()
			w.relist()
			w.playShort("Urgent", 3)
			require.Equal(t, variant == "none", w.runner.Lasting() == 10)
			lines := strings.Count(log.String(), "use of workers")
			require.Positive(t, lines)
			require.Equal(t, variant == "none", strings.Count(log.String(), "ReservedSlots=0 ") == lines)
		})
	}
}

// TestShortReserveOfOtherService guards against short tasks of one service that hold back lasting tasks of another.
func TestShortReserveOfOtherService(t *testing.T) {
	for _, variant := range shortReserves {
		t.Run(variant, func(t *testing.T) {
			w := fullWorld(t, variant, 10)
			w.queues.Version++
			w.queues.Queues["Other"] = cottonlanding.Queue{Name: "Other", Service: "Other", Attempts: 3, Stretch: 2, LatencyTarget: 1000}
			w.cell.SetQueues(w.queues)
			w.addWorker()
			w.workers[len(w.workers)-1].Service = "Other"
			w.relist()
			w.playShort("Other", 3)
			w.addWorker()
			w.relist()
			w.playShort("Other", 1)
			require.Equal(t, 10, w.runner.Lasting())
		})
	}
}
