package planner_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// These tests guard against starting a task that crashes its workers once too often when its losses coincide with
// changes of owner, because knowledge of one life is applied to another. Either the worker is back under its id before
// the next owner hears of the ended life, and that owner reads the entry of the new life, which is already leaving, so
// that the end of the previous life looks expected. Or the owner gives the run up when its lease expires, and retracts
// the loss when the worker answers again, though in another life.

// crashesPlayed is more crashes than a task may have before it is given up.
const crashesPlayed = 8

// newFaultyTask submits a task that crashes its workers and that only the first worker may run.
func newFaultyTask(t require.TestingT) *world {
	w := newWorldWithBirths(t)
	w.faultyTasks, w.crashAfter = map[cottonlanding.TaskRef]bool{firstTask("culprit"): true}, crashDelay
	w.submit("culprit", "Urgent", quickOn("w1", 1))
	return w
}

// crashFirstWorker lets the task begin and end its worker's life before its owner notices.
func (w *world) crashFirstWorker() {
	w.play(cottonlanding.Second)
	for range 40 {
		w.decide(turnSpan)
		w.now += crashDelay
		if len(w.runner.TakeCrashed()) > 0 {
			return
		}
	}
}

// requireGivenUp checks that the task was given up in time.
func (w *world) requireGivenUp() {
	require.Empty(w.t, w.runner.Violations())
	w.requireState("culprit", cottonlanding.WorkflowFailed)
}

// setState publishes another state of the first worker.
func (w *world) setState(state cottonlanding.HostState) {
	w.workers[0].State = state
	w.relist()
}

// TestCrashBeforeLeavingLifeCounts: the next life already leaves when its entry is read, and the crash of the life
// before it must count all the same.
func TestCrashBeforeLeavingLifeCounts(t *testing.T) {
	for name, next := range map[string]func(*world){
		"same owner": func(w *world) { w.relist() },
		"next owner": func(w *world) { w.takeOver() },
	} {
		t.Run(name, func(t *testing.T) {
			w := newFaultyTask(t)
			for range crashesPlayed {
				w.crashFirstWorker()
				w.restartWorker(0)
				w.workers[0].State = cottonlanding.Leaving
				next(w)
				w.pollAll()
				w.setState(cottonlanding.Live)
			}
			w.requireGivenUp()
		})
	}
}

// TestCrashOfLeavingLifeCounts guards against excusing crashes of leaving lives: the life was sent the task before it
// announced that it leaves. Its end is expected within the time that it needs to leave, but not just after the task
// began.
func TestCrashOfLeavingLifeCounts(t *testing.T) {
	w := newFaultyTask(t)
	for range crashesPlayed {
		w.crashFirstWorker()
		w.setState(cottonlanding.Leaving)
		w.poll("w1", true) // its connection breaks
		w.answerFromNextLife()
	}
	w.requireGivenUp()
}

// answerFromNextLife has the first worker be back after a second and answer before its new entry is read.
func (w *world) answerFromNextLife() {
	w.restartWorker(0)
	w.now += cottonlanding.Second
	w.poll("w1", true)
	w.setState(cottonlanding.Live)
}

// TestLapseBeforeNextLifeCounts: the run is given up when its lease expires, and an answer of another life must not
// retract the loss.
func TestLapseBeforeNextLifeCounts(t *testing.T) {
	w := newFaultyTask(t)
	for range crashesPlayed {
		w.crashFirstWorker()
		w.takeOver()
		w.play(20 * cottonlanding.Second)
		w.restartWorker(0)
		w.relist()
	}
	w.requireGivenUp()
}

// TestOneOfManyRunsIsInnocent guards against giving up an innocent workflow after two unrelated crashes. At the first,
// many tasks have begun on the worker within recentWindow and none within promptWindow: none stands out, but each was
// counted as a likely cause. At the second, at least one of them has begun again within promptWindow, and was given up.
func TestOneOfManyRunsIsInnocent(t *testing.T) {
	w := newWorldWithBirths(t)
	w.submit("slow", "Urgent", quickOn("w1", 6))
	w.play(cottonlanding.Second)
	require.Equal(t, 6, w.runner.Running())
	w.restartWorker(0)
	w.relist()
	w.pollAll()
	before := w.runner.Starts()
	for range 100 {
		if w.runner.Starts() > before {
			break
		}
		w.turn(turnSpan)
	}
	require.Greater(t, w.runner.Starts(), before)
	w.restartWorker(0)
	w.relist()
	w.pollAll()
	require.Zero(t, w.cell.Counts().FailedByCrashes)
}

// leavingOdds is one in how many lives announces that it leaves as soon as it has begun, for leavingSpan.
const (
	leavingOdds = 4
	leavingSpan = 2 * cottonlanding.Second
)

// restartHistory plays a history whose workers are back under their ids.
type restartHistory struct {
	*history
	// restartAt is when a crashed worker is back, leavingUntil when a leaving worker decides to stay.
	restartAt    map[cottonlanding.WorkerID]cottonlanding.Millis
	leavingUntil map[cottonlanding.WorkerID]cottonlanding.Millis
}

// restartCrashed replaces relist.
func (r *restartHistory) restartCrashed() {
	for _, id := range r.runner.TakeCrashed() {
		r.crashedAt[id] = r.now
	}
	changed := false
	for at, info := range r.workers {
		switch {
		case r.leavingUntil[info.ID] > 0 && r.now >= r.leavingUntil[info.ID]:
			delete(r.leavingUntil, info.ID)
			r.workers[at].State, changed = cottonlanding.Live, true
		case r.crashedAt[info.ID] == 0:
		case r.restartAt[info.ID] == 0:
			r.restartAt[info.ID] = r.crashedAt[info.ID] + cottonlanding.Millis(r.random.Intn(int(restartDelay)))
		case r.now >= r.restartAt[info.ID]:
			delete(r.crashedAt, info.ID)
			delete(r.restartAt, info.ID)
			r.restartWorker(at)
			if r.random.Intn(leavingOdds) == 0 {
				r.workers[at].State = cottonlanding.Leaving
				r.leavingUntil[info.ID] = r.now + leavingSpan
			}
			changed = true
		}
	}
	if changed && r.random.Intn(2) == 0 { // otherwise the entries are read later
		r.world.relist()
	}
}

// TestBlameAcrossLives is TestBlameAmongRandomFaults with workers that are back under their ids within three seconds,
// some of them to leave at once. Unrelated crashes are so frequent that an innocent workflow may be given up, but
// only if at least two workers ended under one of its tasks.
//
//	go test ./internal/workflow/planner -run TestBlameAcrossLives -args -blame.histories 1000
func TestBlameAcrossLives(t *testing.T) {
	t.Parallel()
	wronglyGivenUp, submitted := 0, 0
	for at := range *blameHistories {
		seed := *blameFirst + int64(at)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			r := &restartHistory{
				history:      newHistory(t, seed, "fair", denseFaultOdds),
				restartAt:    make(map[cottonlanding.WorkerID]cottonlanding.Millis),
				leavingUntil: make(map[cottonlanding.WorkerID]cottonlanding.Millis),
			}
			for at := range r.workers {
				r.restartWorker(at)
			}
			r.takeOver()
			r.restartWorkers = r.restartCrashed
			r.run()
			require.Empty(t, r.runner.Violations())
			r.requireFinal(t)
			r.requireMinEnds(t)
			wronglyGivenUp, submitted = wronglyGivenUp+len(r.wronglyGivenUp()), submitted+len(r.submitted)
		})
	}
	t.Logf("%d of %d workflows were given up without a faulty task", wronglyGivenUp, submitted)
}
