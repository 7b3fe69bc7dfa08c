package scheduler_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/stand/worker"
)

func faultless() fate { return delivered }

// run lets the present owner work for a span without faults.
func (w *world) run(span cottonlanding.Millis) {
	for end := w.now + span; w.now < end; w.now += 50 {
		c := w.owner()
		c.cell.Decide(w.now)
		w.commit(c)
		w.visit(c, faultless)
	}
}

func (w *world) accept(t *testing.T, spec cottonlanding.JobSpec) {
	accepted := false
	w.owner().cell.Submit(spec, w.now, func(err error) {
		require.NoError(t, err)
		accepted = true
	})
	w.commit(w.owner())
	require.True(t, accepted)
	w.accepted[spec.Name] = true
}

func job(name string, tasks int, cores cottonlanding.Millicores, runTime cottonlanding.Millis) cottonlanding.JobSpec {
	return cottonlanding.JobSpec{
		Name: cottonlanding.JobName(name), Team: "members", Kind: cottonlanding.Batch, Tasks: tasks, RunTime: runTime,
		Resources: cottonlanding.Resources{CPU: cores * cottonlanding.Core, Memory: cottonlanding.Gigabyte},
	}
}

func TestLateStartIsRefusedAfterTheTaskMoved(t *testing.T) {
	w := newWorld(t, 0, []int{0, 0})
	w.run(2000)
	w.accept(t, job("plan", 1, 8, 60000))
	c := w.owner()
	c.cell.Decide(w.now)
	w.commit(c)
	w.visit(c, func() fate { return delayed }) // the start hangs in the network
	require.NotEmpty(t, w.late)
	start := w.late[0]
	c.cut[start.at] = true
	w.run(leaseMS + 2000) // the task moves to the other worker
	c.cut[start.at] = false
	w.run(2000) // the first worker has a lease again
	w.arrive(0)
	w.run(1000)
	w.check(t)
	status, _ := c.cell.Job("plan")
	require.Equal(t, cottonlanding.Attempt(2), status.Tasks[0].Attempt)
}

func TestEvictedTaskResumesFromItsCheckpoint(t *testing.T) {
	w := newWorld(t, 0, []int{0})
	w.run(2000)
	w.accept(t, job("strips", 1, 8, 10000))
	w.run(4000)
	urgent := job("cover", 1, 8, 1000)
	urgent.Urgent = true
	w.accept(t, urgent)
	w.run(3500)
	status, _ := w.owner().cell.Job("cover")
	require.Equal(t, cottonlanding.JobDone, status.Job.State, "an urgent task starts within 3.5 s")
	w.heal(t)
	w.check(t)
	w.checkEnds(t)
	entries := w.hosts[0].Ledger()
	require.Len(t, entries, 3)
	require.Equal(t, string(cottonlanding.Saved), entries[0].End)
	require.NotEmpty(t, entries[2].Checkpoint)
	require.Equal(t, cottonlanding.Millis(10000), entries[2].Done, "all work counts once")
}

func TestStoreOutageKeepsVictimsRunning(t *testing.T) {
	w := newWorld(t, 0, []int{0})
	w.run(2000)
	w.accept(t, job("strips", 1, 8, 60000))
	w.run(1000)
	w.store.down = true
	urgent := job("cover", 1, 8, 1000)
	urgent.Urgent = true
	w.accept(t, urgent)
	w.run(10000)
	entries := w.hosts[0].Ledger()
	require.Len(t, entries, 1, "nothing may be stopped without a checkpoint")
	require.Equal(t, cottonlanding.Millis(-1), entries[0].Until)
	w.store.down = false
	w.run(20000)
	status, _ := w.owner().cell.Job("cover")
	require.Equal(t, cottonlanding.JobDone, status.Job.State)
}

func TestJobsThatFailEverywhereDoNotQuarantineTheCell(t *testing.T) {
	w := newWorld(t, 0, []int{0, 0, 0})
	w.run(2000)
	for i := range 6 {
		spec := job(fmt.Sprintf("bad-%d", i), 1, 1, 1000)
		spec.Payload = worker.FailPayload
		w.accept(t, spec)
	}
	w.run(30000)
	for i := range 6 {
		status, _ := w.owner().cell.Job(cottonlanding.JobName(fmt.Sprintf("bad-%d", i)))
		require.Equal(t, cottonlanding.JobFailed, status.Job.State)
		require.Contains(t, status.Job.Reason, "told to fail")
	}
	for _, state := range w.owner().cell.State(w.now).Workers {
		require.False(t, state.Quarantined)
	}
}

func TestWorkerThatFailsEverythingIsQuarantinedAndComesBack(t *testing.T) {
	w := newWorld(t, 0, []int{0, 0, 0})
	w.run(2000)
	w.hosts[0].SetFaults(worker.Faults{FailEverything: true})
	for i := range 20 {
		w.accept(t, job(fmt.Sprintf("plan-%d", i), 1, 1, 1000))
	}
	w.run(8000)
	require.True(t, w.owner().cell.State(w.now).Workers[0].Quarantined)
	w.hosts[0].SetFaults(worker.Faults{})
	w.heal(t)
	for name := range w.accepted {
		status, _ := w.owner().cell.Job(name)
		require.Equal(t, cottonlanding.JobDone, status.Job.State, "%s: %s", name, status.Job.Reason)
	}
	w.run(15000)
	for i := range 6 {
		w.accept(t, job(fmt.Sprintf("later-%d", i), 1, 8, 1000))
	}
	w.heal(t)
	require.False(t, w.owner().cell.State(w.now).Workers[0].Quarantined)
}

func TestCancellationWaveIsFinalOnceAnswered(t *testing.T) {
	w := newWorld(t, 0, []int{0, 0, 0})
	w.run(2000)
	const count = 1000
	for i := range count {
		w.owner().cell.Submit(job(fmt.Sprintf("plan-%d", i), 1, 1, 500), w.now, func(err error) { require.NoError(t, err) })
	}
	w.run(1000)
	answered := 0
	for i := range count {
		name := cottonlanding.JobName(fmt.Sprintf("plan-%d", i))
		w.owner().cell.Cancel(name, w.now, func(err error) {
			require.NoError(t, err)
			answered++
		})
	}
	w.commit(w.owner())
	require.Equal(t, count, answered)
	started := w.owner().cell.State(w.now).Counts.Started
	w.takeOver(t, false) // what was answered survives the owner
	w.run(20000)
	for i := range count {
		status, found := w.owner().cell.Job(cottonlanding.JobName(fmt.Sprintf("plan-%d", i)))
		require.True(t, found)
		require.True(t, status.Job.State.Final())
	}
	require.Zero(t, w.owner().cell.State(w.now).Counts.Started, "started %d before", started)
	w.check(t)
}

func TestJobThatFitsNoWorkerIsToldAtOnce(t *testing.T) {
	w := newWorld(t, 0, []int{0})
	var answer error
	w.owner().cell.Submit(job("huge", 1, 9, 1000), w.now, func(err error) { answer = err })
	require.ErrorIs(t, answer, cottonlanding.ErrCannotRun)
}

func TestLeavingWorkerGetsNothingNew(t *testing.T) {
	w := newWorld(t, 0, []int{0, 0})
	w.run(2000)
	w.hosts[0].SetFaults(worker.Faults{Leaving: true}) // it says so itself, the list is silent
	w.run(1500)
	for i := range 10 {
		w.accept(t, job(fmt.Sprintf("plan-%d", i), 1, 1, 500))
	}
	w.run(8000)
	require.Empty(t, w.hosts[0].Ledger())
}

// TestEvacuatedDataCentreGetsNothingNew: what is queued or assigned ahead waits while the data
// centre is evacuated, what runs there goes on, and all is done once that is taken back.
func TestEvacuatedDataCentreGetsNothingNew(t *testing.T) {
	w := newWorld(t, 2, []int{0, 0})
	w.run(2000)
	w.accept(t, job("before", 24, 1, 4000))
	w.run(1000)
	cell := w.owner().cell
	evacuated := newRules(2)
	evacuated.Evacuated = []cottonlanding.DataCentre{"brno-a"}
	cell.SetRules(evacuated)
	w.run(500) // what was on its way arrives
	started := len(w.hosts[0].Ledger()) + len(w.hosts[1].Ledger())
	require.Equal(t, 16, started, "one a core")
	w.accept(t, job("meanwhile", 4, 1, 500))
	w.run(20_000)
	require.Equal(t, started, len(w.hosts[0].Ledger())+len(w.hosts[1].Ledger()))
	cell.SetRules(newRules(2))
	w.run(20_000)
	for _, name := range []cottonlanding.JobName{"before", "meanwhile"} {
		status, _ := cell.Job(name)
		require.Equal(t, cottonlanding.JobDone, status.Job.State, name)
	}
}

func TestTakeoverMovesNothingThatIsReached(t *testing.T) {
	w := newWorld(t, 0, []int{0, 0, 0})
	w.run(2000)
	w.accept(t, job("watch", 6, 2, 20000))
	w.run(2000)
	w.takeOver(t, false)
	w.run(3000)
	counts := w.owner().cell.State(w.now).Counts
	require.Equal(t, int64(6), counts.Adopted)
	require.Zero(t, counts.Lost)
	w.heal(t)
	w.check(t)
}

// outage lets the owner go on without the table: nothing new is committed.
func (w *world) outage(span cottonlanding.Millis) {
	for end := w.now + span; w.now < end; w.now += 50 {
		w.owner().cell.Promote(w.now)
		w.visit(w.owner(), faultless)
	}
}

func (w *world) finished() int {
	count := 0
	for _, h := range w.hosts {
		for _, entry := range h.Ledger() {
			if entry.End == string(cottonlanding.Finished) {
				count++
			}
		}
	}
	return count
}

func TestBatchGoesOnWithoutTheTable(t *testing.T) {
	for ahead, want := range map[int]int{0: 4, 4: 12} {
		w := newWorld(t, ahead, []int{0, 0})
		w.run(2000)
		w.accept(t, job("strips", 24, 4, 5000))
		w.run(1000)
		w.outage(60000)
		require.Equal(t, want, w.finished(), "assigned ahead: %d", ahead)
		w.heal(t)
		w.check(t)
		w.checkEnds(t)
		require.Equal(t, 24, w.finished(), "assigned ahead: %d", ahead)
	}
}

func TestWaitingTasksMoveToWorkersWithRoom(t *testing.T) {
	w := newWorld(t, 4, []int{0, 0})
	w.run(2000)
	w.accept(t, job("long", 1, 8, 100000))
	w.accept(t, job("short", 5, 8, 1000))
	w.run(12000)
	status, _ := w.owner().cell.Job("short")
	require.Equal(t, cottonlanding.JobDone, status.Job.State, "the worker without the long task does all short ones")
}
