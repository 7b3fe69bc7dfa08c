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
	// ownerTimeToLive is how long an owner is guaranteed to own its cell after a beat, as in production.
	ownerTimeToLive = 1200 * cottonlanding.Millis(1)
	// ownerGoneAfter is how long after its last beat an owner is guaranteed to renew nothing any more: its time to
	// live, and the grace of an owner that has lost the table.
	ownerGoneAfter = ownerTimeToLive + 2*cottonlanding.Second
)

// newOwnedWorld returns a world with the timing of production whose owners know until when they own the cell.
func newOwnedWorld(t require.TestingT) *world {
	w := newSpreadWorld(t)
	w.timing.CutOffGrace, w.timing.MaxLeasePastAnswer = ownerGoneAfter-ownerTimeToLive, platformTiming.MaxLeasePastAnswer
	w.limitsLeases = true
	w.takeOver()
	return w
}

// crashForGood crashes a worker that does not come back. Its entry stays until delist, some seconds later.
func (w *world) crashForGood(id cottonlanding.WorkerID) { w.runner.Crash(id) }

// delist removes a worker from the list.
func (w *world) delist(id cottonlanding.WorkerID) {
	w.workers = slices.DeleteFunc(slices.Clone(w.workers), func(info cottonlanding.WorkerInfo) bool { return info.ID == id })
	w.cell.SetWorkers(slices.Clone(w.workers), w.now)
}

// downAfterLoss loses a worker with four lasting tasks for good while the owner changes a number of times, and
// returns how long after the loss all tasks run again.
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

// TestLeaseWaitSurvivesOwnerChanges guards against a wait for the leases of a lost worker that restarts with each
// change of owner, so that its lasting tasks stay down for as long as owners change.
func TestLeaseWaitSurvivesOwnerChanges(t *testing.T) {
	for _, first := range []cottonlanding.Millis{2500, 3000, 4000, 5000} {
		for _, every := range []cottonlanding.Millis{2000, 3000, 5000, 7000} {
			t.Run(fmt.Sprintf("first %s, then every %s", first, every), func(t *testing.T) {
				require.LessOrEqual(t, downAfterLoss(t, first, every, 3), otherCellRestartTimeout)
			})
		}
	}
}

// playWithoutCommits lets time pass in which nothing is committed.
func (w *world) playWithoutCommits(span cottonlanding.Millis) {
	for end := w.now + span; w.now < end; {
		w.now += turnSpan
		w.makePlan()
		w.orders(func() string { return "" })
		w.pollAll()
	}
}

// TestLeasesRespectWrittenBound guards against a lease that is granted while a bound of its worker is stored: a
// worker is back before its bound can be removed, and silent again when the owner changes. Its runs would go on
// beside those that the next owner starts.
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

// TestLeaseBoundsUnderFaults guards against tasks that run twice because they were given up while a lease of their
// silent worker still lasted, through any number of owners.
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

// TestBoundsOfOlderOwnersAreIgnored guards against the use of bounds although an owner of older code came after the
// one that wrote them: it does not know the row, and grants leases beyond the bounds.
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

// TestTaskLostWithItsOwnerRunsAgain guards against a downtime beyond the users' rule of a lasting task whose worker
// and owner are lost at the same instant: a cut-off owner was assumed to renew the lease for long.
func TestTaskLostWithItsOwnerRunsAgain(t *testing.T) {
	require.LessOrEqual(t, downAfterLoss(t, 0, 0, 1), otherCellRestartTimeout)
}

// TestCutOffOwnerRespectsLeaseTail guards against an owner that is cut off and renews leases for longer than the
// next owner assumes, which cannot reach the workers.
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

// TestLastingTasksAvoidNewLife guards against lasting tasks that are placed on a life that has just begun. Leases
// meant for the previous life may reach it, and it cuts them to the longest that workers accept: a task that lost
// this worker too would be down for that long.
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

// TestPausedOwnerRenewsLeasesAtOnce guards against leases that run out although their owner polls again in time after it
// was cut off: its first poll extends none, since the last answer is too old, and the worker held back the answer to it.
func TestPausedOwnerRenewsLeasesAtOnce(t *testing.T) {
	w := newLastingWorld(t)
	w.now += maxAnswerAge
	next, found := w.cell.NextPoll("w1", w.now)
	require.True(t, found)
	require.Less(t, next.Poll.Wait, 100*cottonlanding.Millis(1))
	report, err := w.runner.Poll(t.Context(), next.Worker, next.Poll)
	require.NoError(t, err)
	w.cell.PollAnswered(next, report, w.now, w.now)
	again, _ := w.cell.NextPoll("w1", w.now)
	require.Greater(t, again.Poll.LeaseUntil, next.Poll.LeaseUntil)
	require.Greater(t, again.Poll.Wait, next.Poll.Wait)
}

// maxAnswerAge is the age from which an answer shows nothing any more.
const maxAnswerAge = 3 * cottonlanding.Second

// TestLeasesSurviveSlowTable guards against tasks that are lost because a worker is cut off for a moment while the
// table is slow: its lease runs out if it has to wait for two slow commits, one for its bound and one to remove
// that.
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

// playSlowTable lets time pass in which each commit takes two and a half seconds.
func (w *world) playSlowTable(span cottonlanding.Millis) {
	for end := w.now + span; w.now < end; {
		w.playWithoutCommits(min(2500, end-w.now))
		w.commit()
	}
}
