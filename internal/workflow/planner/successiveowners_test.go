package planner_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// lastingOnEach is a step with one lasting task for each worker.
var lastingOnEach = cottonlanding.Step{Tasks: 4, Lasting: true, Resources: cottonlanding.Resources{CPU: 2000, Memory: cottonlanding.Gigabyte}}

// newLastingWorld returns a world with a lasting task on each worker.
func newLastingWorld(t require.TestingT) *world {
	w := newOwnedWorld(t)
	w.play(cottonlanding.Second)
	w.submit("lasts", "Urgent", lastingOnEach)
	w.play(4 * cottonlanding.Second)
	require.Equal(t, 4, w.runner.Lasting())
	return w
}

// killOwner ends the owner and starts the next one after a gap.
func (w *world) killOwner(gap cottonlanding.Millis, watch func()) {
	killed := w.now
	for w.now < killed+gap {
		w.now += turnSpan
		watch()
	}
	w.takeOverFrom(killed + ownerGoneAfter)
}

// turnWithHangingPolls plays a turn in which polls of one worker hang for pollTimeout before they fail.
func (w *world) turnWithHangingPolls(id cottonlanding.WorkerID, hangsSince *cottonlanding.Millis, pollTimeout cottonlanding.Millis) {
	w.decide(turnSpan)
	for _, info := range w.workers {
		if info.ID != id {
			w.poll(info.ID, true)
			continue
		}
		if *hangsSince == 0 {
			*hangsSince = w.now
		}
		if w.now-*hangsSince >= pollTimeout {
			w.poll(id, true)
			*hangsSince = w.now
		}
	}
}

// TestBoundsSurviveOwnerThatPolledNobody guards against an owner that drops the inherited lease bound of a silent
// worker and is lost before it has polled it, so that the next owner waits for the whole lease again.
func TestBoundsSurviveOwnerThatPolledNobody(t *testing.T) {
	for _, lives := range []cottonlanding.Millis{200, 500, 1000, 1500} {
		for _, unlist := range []bool{true, false} {
			t.Run(fmt.Sprintf("next owner lives %s, unlisted %t", lives, unlist), func(t *testing.T) {
				w := newLastingWorld(t)
				w.crashForGood("w1")
				lost := w.now
				hang := cottonlanding.Millis(0)
				run := func(until cottonlanding.Millis) {
					for w.now < until {
						w.turnWithHangingPolls("w1", &hang, cottonlanding.Second)
						if unlist && w.now-lost == 4500 {
							w.delist("w1")
						}
					}
				}
				run(lost + 2500)
				w.killOwner(600, func() {})
				hang = 0
				began := w.now
				run(began + lives)
				w.killOwner(600, func() {})
				hang = 0
				for w.runner.Lasting() < 4 && w.now < lost+cottonlanding.Minute {
					run(w.now + turnSpan)
				}
				require.Empty(t, w.runner.Violations())
				require.LessOrEqual(t, w.now-lost, 9*cottonlanding.Second)
			})
		}
	}
}

// TestBoundsSurviveOwnerLostWhileLoading guards against lease bounds that can't be used once an owner was lost while it
// loaded the rows.
func TestBoundsSurviveOwnerLostWhileLoading(t *testing.T) {
	w := newLastingWorld(t)
	w.crashForGood("w1")
	lost := w.now
	w.play(2500)
	w.killOwner(600, func() {})
	w.now += 700 // the next owner loads rows
	w.killOwner(600, func() {})
	for w.runner.Lasting() < 4 && w.now < lost+cottonlanding.Minute {
		w.turn(turnSpan)
		if w.now-lost >= 4500 && len(w.workers) == 4 {
			w.delist("w1")
		}
	}
	require.LessOrEqual(t, w.now-lost, 9*cottonlanding.Second)
}

// TestSilentWorkersAreGivenUpInTime guards against owners that each poll a partitioned worker for three seconds first,
// so that its lasting tasks stay down for as long as owners change.
func TestSilentWorkersAreGivenUpInTime(t *testing.T) {
	for _, every := range []cottonlanding.Millis{2500, 3000, 3500, 4000} {
		t.Run(fmt.Sprint(every), func(t *testing.T) {
			w := newLastingWorld(t)
			w.runner.Dark("w1", true)
			hang := cottonlanding.Millis(0)
			next, changes := w.now+1000, 4
			down, longest := cottonlanding.Millis(0), cottonlanding.Millis(0)
			for end := w.now + 40*cottonlanding.Second; w.now < end; {
				if w.now >= next && changes > 0 {
					changes--
					next = w.now + every
					w.killOwner(600, func() {})
					hang = 0
				}
				w.turnWithHangingPolls("w1", &hang, cottonlanding.Second)
				if w.runner.Lasting() < 4 && down == 0 {
					down = w.now
				}
				if down > 0 && w.runner.Lasting() == 4 {
					longest = max(longest, w.now-down)
					down = 0
				}
				require.Empty(t, w.runner.Violations())
			}
			require.LessOrEqual(t, longest, 9*cottonlanding.Second)
		})
	}
}

// TestLeasesFromEarlierOwnersCount guards against an owner that considers only the end of the owner directly before it
// and gives up runs whose leases an earlier, partitioned owner has renewed for longer.
func TestLeasesFromEarlierOwnersCount(t *testing.T) {
	w := newLastingWorld(t)
	// The first owner may own the cell for 4 s more by its last beat, and is partitioned from the table.
	w.renewOwnership()
	firstUntil := w.now + 4000
	firstCell := w.cell
	firstLook := func() {
		if w.now >= firstUntil+2000 {
			return
		}
		if next, found := firstCell.NextPoll("w1", w.now); found && next.After == 0 {
			if report, err := w.runner.Poll(context.Background(), next.Worker, next.Poll); err == nil {
				firstCell.PollAnswered(next, report, w.now, w.now)
			}
		}
	}
	w.now += 400
	// The second one reaches all workers but w1, which answers the first.
	w.takeOverFrom(firstUntil + 2000)
	step := func() {
		w.decide(turnSpan)
		for _, info := range w.workers {
			w.pollUnless(info.ID, "w1")
		}
		firstLook()
		require.Empty(t, w.runner.Violations())
	}
	for range 6 {
		step()
	}
	killed := w.now
	for range 12 {
		w.now += turnSpan
		firstLook()
	}
	w.takeOverFrom(killed + ownerGoneAfter)
	for range 400 {
		step()
	}
}

// pollUnless polls a worker, or fails the poll if it is the silent one.
func (w *world) pollUnless(id, silent cottonlanding.WorkerID) {
	if id != silent {
		w.poll(id, true)
		return
	}
	if next, found := w.cell.NextPoll(id, w.now); found && next.After == 0 {
		w.cell.PollFailed(next, cottonlanding.ErrAmbiguous, w.now)
	}
}
