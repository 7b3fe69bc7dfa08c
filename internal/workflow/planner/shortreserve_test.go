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

// TestLastingTasksLeaveRoomToShortOnes guards against a lasting task that takes the hole which opens between two bursts
// while nine tenths are held, also after a change of owner; and against holes that are reserved without need: where
// there is room for both, for tasks that are less urgent, of another service or fit on no worker, and after the last
// burst. The line "use of workers" shows the reserve.
func TestLastingTasksLeaveRoomToShortOnes(t *testing.T) {
	addWorkers := func(w *world, number int) {
		for range number {
			w.addWorker()
		}
		w.relist()
	}
	for name, load := range map[string]func(*world){
		"reserved": func(w *world) { w.playShort("Urgent", 3); addWorkers(w, 1); w.playShort("Urgent", 3) },
		"reserved by the next owner": func(w *world) {
			w.playShort("Urgent", 3)
			w.takeOver()
			addWorkers(w, 1)
			w.playShort("Urgent", 3)
		},
		"room for both": func(w *world) { addWorkers(w, 3); w.playShort("Urgent", 1) },
		"less urgent":   func(w *world) { w.playShort("Bulk", 3); addWorkers(w, 1); w.playShort("Bulk", 1) },
		"other service": func(w *world) {
			w.queues.Version++
			w.queues.Queues["Other"] = cottonlanding.Queue{Name: "Other", Service: "Other", Attempts: 3, Stretch: 2, LatencyTarget: 1000}
			w.cell.SetQueues(w.queues)
			w.addWorker()
			w.workers[len(w.workers)-1].Service = "Other"
			w.relist()
			w.playShort("Other", 3)
			addWorkers(w, 1)
			w.playShort("Other", 1)
		},
		"too large": func(w *world) {
			w.submit("first", "Urgent", short(1000)) // its size is the mean
			large := short(9000)
			large.Tasks = 100
			w.submit("large", "Urgent", large)
			w.submit("none", "Urgent", short(0))
			w.play(3 * cottonlanding.Second)
			addWorkers(w, 1)
			w.play(cottonlanding.Second)
		},
	} {
		for _, variant := range shortReserves {
			t.Run(variant+", "+name, func(t *testing.T) {
				w := fullWorld(t, variant, 10)
				var log bytes.Buffer
				w.log = slog.New(slog.NewTextHandler(&log, nil))
				w.takeOver()
				reserves := variant == "recent" && strings.HasPrefix(name, "reserved")
				load(w)
				require.Equal(t, !reserves, w.runner.Lasting() == 10)
				require.Zero(t, w.cell.Counts().Preempted)
				if reserves {
					require.Regexp(t, `ReservedSlots=[1-9]`, log.String())
				}
				w.play(11 * cottonlanding.Second)
				require.Equal(t, 10, w.runner.Lasting(), "nothing is reserved without demand")
				require.Empty(t, w.runner.Violations())
			})
		}
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

// TestShortTasksDoNotStarveLastingOnes guards against a lasting task that never starts because short tasks need the room
// all the time: it waits for seven seconds at most.
func TestShortTasksDoNotStarveLastingOnes(t *testing.T) {
	w := fullWorld(t, "recent", 10)
	w.playShort("Urgent", 3)
	w.addWorker()
	w.relist()
	w.playShort("Urgent", 2)
	require.Equal(t, 9, w.runner.Lasting(), "its room is reserved at first")
	w.playShort("Urgent", 3)
	require.Equal(t, 10, w.runner.Lasting())
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
