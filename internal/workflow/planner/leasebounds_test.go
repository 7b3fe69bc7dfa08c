package planner_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

const (
	// ownerTimeToLive is how long an owner surely owns its cell after a beat, as in service.
	ownerTimeToLive = 1200 * cottonlanding.Millis(1)
	// ownerGoneAfter is how long after its last beat an owner surely renews nothing any more: its time to live
	// and the grace of one that has lost the table.
	ownerGoneAfter = ownerTimeToLive + 2*cottonlanding.Second
)

// newOwnedWorld returns a world with the spans of service whose owners know until when they own the cell.
func newOwnedWorld(t require.TestingT) *world {
	w := newSpreadWorld(t)
	w.timing.CutOffGrace, w.timing.MaxLeasePastOwnership = ownerGoneAfter-ownerTimeToLive, w.timing.Lease+cottonlanding.Second
	w.ownedFor = ownerTimeToLive
	w.takeOver()
	return w
}

// crashForGood crashes a worker for good. Its entry goes some seconds later.
func (w *world) crashForGood(id cottonlanding.WorkerID) { w.runner.Crash(id) }

// delist takes a worker off the list.
func (w *world) delist(id cottonlanding.WorkerID) {
	w.workers = slices.DeleteFunc(slices.Clone(w.workers), func(info cottonlanding.WorkerInfo) bool { return info.ID == id })
	w.cell.SetWorkers(slices.Clone(w.workers), w.now)
}

// downAfterLoss plays a worker that is lost for good under four lasting tasks, with owners that change some times at a
// distance, and returns how long after the loss all run again.
func downAfterLoss(t require.TestingT, first, every cottonlanding.Millis, changes int) cottonlanding.Millis {
	const step, unlisted = 50 * cottonlanding.Millis(1), 4500 * cottonlanding.Millis(1)
	w := newOwnedWorld(t)
	w.play(cottonlanding.Second)
	w.submit("lasts", "Urgent", cottonlanding.Step{Tasks: 4, Lasting: true, Resources: cottonlanding.Resources{CPU: 2000, Memory: cottonlanding.Gigabyte}})
	w.play(4 * cottonlanding.Second)
	require.Equal(t, 4, w.runner.Lasting())
	w.crashForGood("w1")
	lost, next := w.now, w.now+first
	for w.runner.Lasting() < 4 && w.now < lost+cottonlanding.Minute {
		if w.now >= next && changes > 0 {
			changes--
			next += every
			w.takeOverFrom(w.now + ownerGoneAfter)
		}
		if w.now-lost == unlisted {
			w.delist("w1")
		}
		w.turn(step)
		require.Empty(t, w.runner.Violations())
	}
	return w.now - lost
}

// TestLeaseWaitSurvivesOwnerChanges: each change of owner began the wait anew for the leases of a worker that is lost, so that its
// lasting tasks stayed down for as long as owners changed.
func TestLeaseWaitSurvivesOwnerChanges(t *testing.T) {
	for _, first := range []cottonlanding.Millis{2500, 3000, 4000, 5000} {
		for _, every := range []cottonlanding.Millis{2000, 3000, 5000, 7000} {
			t.Run(fmt.Sprintf("first %s, then every %s", first, every), func(t *testing.T) {
				require.LessOrEqual(t, downAfterLoss(t, first, every, 3), otherCellRestartTimeout)
			})
		}
	}
}

// playWithoutCommits lets a while pass in which nothing is committed.
func (w *world) playWithoutCommits(span cottonlanding.Millis) {
	for end := w.now + span; w.now < end; {
		w.now += turnSpan
		w.makePlan()
		w.orders(func() string { return "" })
		w.pollAll()
	}
}

// TestLeasesRespectWrittenBound: a worker is back while its bound can't be taken off, and silent again when the owner changes. A lease that
// was granted meanwhile would let its runs go on beside those that the next owner starts.
func TestLeasesRespectWrittenBound(t *testing.T) {
	for back := cottonlanding.Second; back < 5*cottonlanding.Second; back += 500 {
		w := newOwnedWorld(t)
		w.play(cottonlanding.Second)
		w.submit("lasts", "Urgent", cottonlanding.Step{Tasks: 4, Lasting: true, Resources: cottonlanding.Resources{CPU: 2000, Memory: cottonlanding.Gigabyte}})
		w.play(2 * cottonlanding.Second)
		w.runner.Dark("w1", true)
		w.play(2 * cottonlanding.Second)
		w.runner.Dark("w1", false)
		w.playWithoutCommits(back)
		w.runner.Dark("w1", true)
		w.takeOverFrom(w.now + ownerGoneAfter)
		for range 200 {
			w.turn(turnSpan)
			require.Empty(t, w.runner.Violations(), "back for %s", back)
		}
	}
}

// TestLeaseBoundsUnderFaults: a worker that is silent and back, behind any number of owners, runs no task that was given up while its
// lease still lasted.
func TestLeaseBoundsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newOwnedWorld(t)
		w.play(cottonlanding.Second)
		w.submit("lasts", "Urgent", cottonlanding.Step{Tasks: 6, Lasting: true, Resources: cottonlanding.Resources{CPU: 2000, Memory: cottonlanding.Gigabyte}})
		w.play(2 * cottonlanding.Second)
		for range rapid.IntRange(1, 12).Draw(t, "Events") {
			id := w.workers[rapid.IntRange(0, len(w.workers)-1).Draw(t, "Worker")].ID
			switch rapid.IntRange(0, 6).Draw(t, "Event") {
			case 0, 1:
				w.runner.Dark(id, true)
			case 2:
				w.runner.Dark(id, false)
			case 3:
				w.takeOverFrom(w.now + ownerGoneAfter)
			case 4:
				w.commit()
				w.takeOverFrom(w.now + ownerGoneAfter)
			case 5:
				w.playWithoutCommits(cottonlanding.Millis(rapid.IntRange(100, 5000).Draw(t, "Silent")))
			case 6:
				if w.makePlan(); w.plan != nil { // its answer is lost
					w.apply()
					w.takeOverFrom(w.now + ownerGoneAfter)
				}
			}
			for range rapid.IntRange(1, 60).Draw(t, "Turns") {
				w.turn(100)
				require.Empty(t, w.runner.Violations())
			}
		}
		for _, info := range w.workers {
			w.runner.Dark(info.ID, false)
		}
		w.play(20 * cottonlanding.Second)
		require.Empty(t, w.runner.Violations())
		require.Equal(t, 6, w.runner.Lasting())
	})
}

// TestBoundsOfOlderOwnersAreIgnored: an owner of older code grants leases beside bounds that it doesn't know of. What the
// owner before that one has written says nothing of them.
func TestBoundsOfOlderOwnersAreIgnored(t *testing.T) {
	w := newOwnedWorld(t)
	w.play(cottonlanding.Second)
	w.submit("lasts", "Urgent", cottonlanding.Step{Tasks: 4, Lasting: true, Resources: cottonlanding.Resources{CPU: 2000, Memory: cottonlanding.Gigabyte}})
	w.play(2 * cottonlanding.Second)
	w.runner.Dark("w1", true)
	w.play(2 * cottonlanding.Second)
	key := planner.LeaseBoundsKey(partition)
	written := w.rows[key]
	require.Contains(t, string(written.Value), "w1")
	w.runner.Dark("w1", false)
	w.play(5 * cottonlanding.Second) // leases are renewed
	written.Version = w.rows[key].Version
	w.rows[key] = written // as if the owner in between had left the row alone
	w.epoch++
	w.boundsKeptSince = w.epoch + 1
	w.runner.Dark("w1", true)
	w.takeOverFrom(w.now + ownerGoneAfter)
	for range 200 {
		w.turn(turnSpan)
		require.Empty(t, w.runner.Violations())
	}
}

// TestTaskLostWithItsOwnerRunsAgain: a lasting task whose worker and owner are lost at the same instant stayed down for longer than
// its users' rule allows, since a cut-off owner might have renewed the lease for long.
func TestTaskLostWithItsOwnerRunsAgain(t *testing.T) {
	require.LessOrEqual(t, downAfterLoss(t, 0, 0, 1), otherCellRestartTimeout)
}

// TestCutOffOwnerRespectsLeaseTail: an owner that is cut off renews leases on its workers, which its successor can't reach, for no longer
// than the successor counts on.
func TestCutOffOwnerRespectsLeaseTail(t *testing.T) {
	w := newOwnedWorld(t)
	w.play(cottonlanding.Second)
	w.submit("lasts", "Urgent", cottonlanding.Step{Tasks: 4, Lasting: true, Resources: cottonlanding.Resources{CPU: 2000, Memory: cottonlanding.Gigabyte}})
	w.play(2 * cottonlanding.Second)
	lastBeat := w.now
	for w.now < lastBeat+ownerGoneAfter {
		w.now += turnSpan
		w.orders(func() string { return "" })
		w.pollAll()
	}
	for _, info := range w.workers[:2] {
		w.runner.Dark(info.ID, true)
	}
	w.takeOverFrom(lastBeat + ownerGoneAfter)
	for range 200 {
		w.turn(turnSpan)
		require.Empty(t, w.runner.Violations())
	}
	require.Equal(t, 4, w.runner.Lasting())
}

// TestLastingTasksAvoidNewLife: leases that were meant for the life before may reach the next one, which cuts them to the longest
// that workers take. A lasting task that began there and lost its worker once more stayed down for that long.
func TestLastingTasksAvoidNewLife(t *testing.T) {
	w := newOwnedWorld(t)
	w.timing.MaxLease = 10 * cottonlanding.Second
	w.runner.CutLeases(w.timing.MaxLease)
	w.restartWorker(0)
	w.takeOver()
	w.play(cottonlanding.Second)
	w.restartWorker(0)
	w.relist()
	w.play(200)
	step := cottonlanding.Step{Tasks: 12, Lasting: true, Resources: cottonlanding.Resources{CPU: 2000, Memory: cottonlanding.Gigabyte}}
	w.submit("lasts", "Urgent", step)
	w.play(500)
	require.Equal(t, 12, w.runner.Lasting(), "the others have just enough room")
	require.Zero(t, w.runner.RunsOn("w1"))
	step.Tasks = 1
	w.submit("lastsToo", "Urgent", step)
	w.play(500)
	require.Equal(t, 1, w.runner.RunsOn("w1"), "no other has room")
}

// TestLeasesSurviveSlowTable: a worker that is cut off for a moment while the table is slow goes on with its tasks. Its lease would run out
// if it had to wait for two slow commits, one for its bound and one to take that off.
func TestLeasesSurviveSlowTable(t *testing.T) {
	w := newOwnedWorld(t)
	w.play(cottonlanding.Second)
	w.submit("lasts", "Urgent", cottonlanding.Step{Tasks: 4, Lasting: true, Resources: cottonlanding.Resources{CPU: 2000, Memory: cottonlanding.Gigabyte}})
	w.play(2 * cottonlanding.Second)
	started := w.runner.Starts()
	w.cell.SetTableSlow(true)
	for range 4 {
		w.runner.Dark("w1", true)
		w.playSlowTable(4 * cottonlanding.Second)
		w.runner.Dark("w1", false)
		w.playSlowTable(4 * cottonlanding.Second)
	}
	require.Equal(t, started, w.runner.Starts())
}

// playSlowTable lets a while pass in which each commit takes two and a half seconds.
func (w *world) playSlowTable(span cottonlanding.Millis) {
	for end := w.now + span; w.now < end; {
		w.playWithoutCommits(min(2500, end-w.now))
		w.commit()
	}
}
