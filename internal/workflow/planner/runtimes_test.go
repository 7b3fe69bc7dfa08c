package planner_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/selector"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

const (
	// meanRunTime is the mean run time of the first four tasks of a step in a world, 200 to 710 ms.
	meanRunTime = 455 * cottonlanding.Millis(1)
	// tolerance is the relative error that polls every 100 ms and four tasks for each step allow.
	tolerance = 0.3
)

func newLearningWorld(t *testing.T, variant string) *world {
	set, err := selector.New(selector.Names{"RunTimes": variant})
	require.NoError(t, err)
	return newWorldOf(t, set.Planner)
}

// estimated is a step whose tasks take meanRunTime.
func estimated(estimate cottonlanding.Millis) cottonlanding.Step {
	return cottonlanding.Step{Tasks: 4, Estimate: estimate, Resources: cottonlanding.Resources{CPU: 1000}}
}

// playWorkflows runs the given number of workflows one after the other, and returns the most workers that were avoided
// at a time.
func (w *world) playWorkflows(count int, queue cottonlanding.QueueName, step cottonlanding.Step) int {
	avoided := 0
	for number := range count {
		w.submit(cottonlanding.WorkflowID(fmt.Sprintf("%s%d-%d", queue, w.now, number)), queue, step)
		for range 12 {
			w.turn(100)
			avoided = max(avoided, w.cell.AvoidedWorkers(w.now))
		}
	}
	return avoided
}

// TestObjectivesFollowLearntRunTimes guards against workflows whose clients estimate ten times as much as is true, so
// that they are ranked as late though they aren't, and against estimates that are applied to another queue.
func TestObjectivesFollowLearntRunTimes(t *testing.T) {
	for variant, ratio := range map[string]float64{"declared": 10, "learnt": 1} {
		w := newLearningWorld(t, variant)
		w.playWorkflows(20, "Urgent", estimated(10*meanRunTime))
		w.submit("new", "Urgent", estimated(10*meanRunTime), estimated(10*meanRunTime))
		w.submit("other", "Bulk", estimated(10*meanRunTime))
		w.submit("without", "Urgent", estimated(0))
		path := ratio * float64(meanRunTime)
		require.InEpsilon(t, path, float64(w.cell.RemainingPath("new")), tolerance, variant)
		require.InEpsilon(t, 2*path+1000, float64(w.cell.Objective("new")), tolerance, variant)
		require.Equal(t, 10*meanRunTime, w.cell.RemainingPath("other"), "another queue")
		require.Equal(t, 1000*cottonlanding.Millis(1), w.cell.Objective("without"), "no estimate")
	}
}

// TestLowEstimatesMakeNoWorkerSlow guards against workers that get nothing because the estimates of all clients are a
// fiftieth of the truth: each run then makes its worker slow, and runs on slow workers teach nothing.
func TestLowEstimatesMakeNoWorkerSlow(t *testing.T) {
	for variant, slow := range map[string]bool{"declared": true, "learnt": false} {
		w := newLearningWorld(t, variant)
		w.playWorkflows(20, "Urgent", estimated(meanRunTime/50))
		w.playWorkflows(5, "Urgent", estimated(meanRunTime/50)) // the slowness found before the queue was known has ended
		require.Equal(t, slow, w.playWorkflows(10, "Urgent", estimated(meanRunTime/50)) > 0, variant)
	}
}

// TestSlowWorkerIsFound guards against a worker that is eight times as slow as others and isn't found because clients
// estimate ten times as much as is true, and against run times that are learnt from it.
func TestSlowWorkerIsFound(t *testing.T) {
	for variant, found := range map[string]int{"declared": 0, "learnt": 1} {
		w := newLearningWorld(t, variant)
		w.playWorkflows(20, "Urgent", estimated(10*meanRunTime))
		before := w.cell.RemainingPath(w.submitNew(estimated(10 * meanRunTime)))
		w.slowWorker = "w1"
		require.Equal(t, found, w.playWorkflows(20, "Urgent", estimated(10*meanRunTime)), variant)
		require.NotEmpty(t, w.slowTasks)
		after := w.cell.RemainingPath(w.submitNew(estimated(10 * meanRunTime)))
		require.InEpsilon(t, float64(before), float64(after), tolerance, variant)
	}
}

// submitNew submits a workflow of one step under a new name.
func (w *world) submitNew(step cottonlanding.Step) cottonlanding.WorkflowID {
	id := cottonlanding.WorkflowID(fmt.Sprintf("new%d", w.now))
	w.submit(id, "Urgent", step)
	return id
}

// TestFillingRunsCountAtFullSpeed guards against filling tasks that got half of the processors that they ask for, or
// half their pace, being taken for tasks that are twice as long.
func TestFillingRunsCountAtFullSpeed(t *testing.T) {
	w := newLearningWorld(t, "learnt")
	w.fillReport = func(report *cottonlanding.RunReport) {
		for at := range report.Running {
			report.Running[at].Used = 500
		}
	}
	step := estimated(meanRunTime)
	step.Fills = true
	w.playWorkflows(20, "Bulk", step)
	w.submit("new", "Bulk", step)
	require.InEpsilon(t, float64(meanRunTime)/2, float64(w.cell.RemainingPath("new")), tolerance)
}

// TestUnmeasuredRunsTeachNothing guards against run times of runs that were resumed from a checkpoint, that another
// owner has started, that ended while their worker was not polled, or that ran on a worker where runs fail.
func TestUnmeasuredRunsTeachNothing(t *testing.T) {
	step := estimated(meanRunTime)
	t.Run("measured", func(t *testing.T) {
		w := newLearningWorld(t, "learnt")
		w.playWorkflows(1, "Urgent", step)
		require.EqualValues(t, 4, w.cell.Counts().RunTimesMeasured)
	})
	t.Run("taken over", func(t *testing.T) {
		w := newLearningWorld(t, "learnt")
		w.submit("w", "Urgent", step)
		w.turn(100)
		w.turn(100)
		w.takeOver()
		w.settle()
		require.EqualValues(t, 4, w.cell.Counts().Ends[cottonlanding.EndDone])
		require.Zero(t, w.cell.Counts().RunTimesMeasured)
	})
	t.Run("not polled", func(t *testing.T) {
		w := newLearningWorld(t, "learnt")
		w.submit("w", "Urgent", step)
		w.turn(100)
		w.turn(100)
		w.decide(2000)
		w.settle()
		require.EqualValues(t, 4, w.cell.Counts().Ends[cottonlanding.EndDone])
		require.Zero(t, w.cell.Counts().RunTimesMeasured)
	})
	t.Run("resumed", func(t *testing.T) {
		w := newLearningWorld(t, "learnt")
		w.checkpoints = newCheckpointRecorder()
		step := cottonlanding.Step{Tasks: 1, Estimate: meanRunTime, Checkpoints: true, Resources: cottonlanding.Resources{CPU: 1000}}
		w.submitCheckpointing(cottonlanding.WorkflowID(failOncePrefix), step) // its first runs fail, with checkpoints
		w.settle()
		require.EqualValues(t, 1, w.cell.Counts().Succeeded)
		require.Zero(t, w.cell.Counts().RunTimesMeasured)
	})
}

// TestNextOwnerKeepsRunTimes guards against a new owner that learns anew what the previous one had stored, and against
// one that stops at an unreadable row, or doesn't replace it.
func TestNextOwnerKeepsRunTimes(t *testing.T) {
	w := newLearningWorld(t, "learnt")
	w.playWorkflows(20, "Urgent", estimated(10*meanRunTime))
	w.turn(4000)
	w.takeOver()
	require.NoError(t, w.runTimesErr)
	w.submit("inherited", "Urgent", estimated(10*meanRunTime))
	require.InEpsilon(t, float64(meanRunTime), float64(w.cell.RemainingPath("inherited")), tolerance)
	w.settle()

	key := planner.RunTimesKey(partition)
	row := w.rows[key]
	row.Value = []byte(`{"Queues":7}`)
	w.rows[key] = row
	w.takeOver()
	require.Error(t, w.runTimesErr)
	w.submit("unknown", "Urgent", estimated(10*meanRunTime))
	require.Equal(t, 10*meanRunTime, w.cell.RemainingPath("unknown"))
	w.playWorkflows(10, "Urgent", estimated(10*meanRunTime))
	w.turn(4000)
	w.takeOver()
	require.NoError(t, w.runTimesErr)
}

// TestDeclaredStoresNothing guards against a row that hosts write which don't learn run times.
func TestDeclaredStoresNothing(t *testing.T) {
	w := newLearningWorld(t, "declared")
	w.playWorkflows(10, "Urgent", estimated(meanRunTime))
	w.turn(4000)
	require.NotContains(t, w.rows, planner.RunTimesKey(partition))
}
