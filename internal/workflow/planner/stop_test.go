package planner_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// stops returns the stops among the orders that are due now.
func (w *world) stops() []planner.Order {
	var out []planner.Order
	for _, order := range w.cell.Orders(w.now) {
		if order.Verb == planner.VerbStop {
			out = append(out, order)
		}
	}
	return out
}

// TestStopPrecedesStartAnswer guards against a stop that waits for the answer to the start of its run. The run must end
// whichever of the two the worker handles first.
func TestStopPrecedesStartAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.pollAll()
		w.submit("lasting", "Urgent", lasting(1, 0, 1000))
		w.commit()
		starts := w.cell.Orders(w.now)
		require.Len(t, starts, 1)
		w.cell.Cancel("lasting", w.now, func(error) {})
		stops := w.stops()
		require.Len(t, stops, 1)
		orders := []planner.Order{starts[0], stops[0]}
		if rapid.Bool().Draw(t, "StopFirst") {
			orders[0], orders[1] = orders[1], orders[0]
		}
		for _, order := range orders {
			reading, err := w.send(order)
			w.cell.OrderAnswered(order, reading, err, w.now)
		}
		require.Zero(t, w.runner.Lasting())
		w.settle()
		require.Zero(t, w.runner.Lasting())
	})
}

// TestNewOwnerStopsBeforeFirstPoll guards against a new owner that stops the runs of a cancelled workflow only after
// their worker has answered a poll.
func TestNewOwnerStopsBeforeFirstPoll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.pollAll()
		w.submit("lasting", "Urgent", lasting(1, 0, 1000))
		w.decide(100)
		w.decide(100)
		require.Equal(t, 1, w.runner.Lasting())
		w.cell.Cancel("lasting", w.now, func(error) {})
		w.now += 100
		w.commit()
		w.takeOver()
		stops := w.stops()
		require.Len(t, stops, 1)
		_, err := w.send(stops[0])
		require.NoError(t, err)
		require.Zero(t, w.runner.Lasting())
	})
}

// TestObsoleteRetryIsStopped guards against a run that goes on because the retry of its start was obsolete and not
// sent. The first start, whose answer was lost, may have been carried out.
func TestObsoleteRetryIsStopped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.pollAll()
		w.submit("lasting", "Urgent", lasting(1, 0, 1000))
		w.commit()
		first := w.cell.Orders(w.now)
		require.Len(t, first, 1)
		_, err := w.send(first[0])
		require.NoError(t, err)
		w.cell.OrderAnswered(first[0], 0, cottonlanding.ErrAmbiguous, w.now)
		w.now += 300
		again := w.cell.Orders(w.now)
		require.Len(t, again, 1)
		require.Equal(t, planner.VerbStart, again[0].Verb)
		w.cell.Cancel("lasting", w.now, func(error) {})
		require.True(t, again[0].Obsolete())
		w.cell.OrderAnswered(again[0], 0, planner.ErrObsoleteStart, w.now)
		for _, stop := range w.stops() {
			_, err := w.send(stop)
			require.NoError(t, err)
		}
		require.Zero(t, w.runner.Lasting(), "the run whose start answer was lost goes on")
	})
}

// TestLateStartOfCancelledTaskIsStopped guards against a run that a worker starts long after its workflow was
// cancelled. It must be stopped within seconds, also by an owner that doesn't know the run, and after the workflow's
// rows are deleted.
func TestLateStartOfCancelledTaskIsStopped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.pollAll()
		w.submit("lasting", "Urgent", lasting(1, 0, 1000))
		w.commit()
		w.orders(func() string { return "late" })
		require.Len(t, w.late, 1)
		w.cell.Cancel("lasting", w.now, func(error) {})
		w.now += 100
		w.commit()
		if rapid.Bool().Draw(t, "RowsGone") {
			clear(w.rows)
		}
		if rapid.Bool().Draw(t, "NewOwner") || len(w.rows) == 0 {
			w.takeOver()
			w.play(cottonlanding.Millis(rapid.IntRange(0, 8).Draw(t, "Later")) * cottonlanding.Second)
		}
		_, _ = w.send(w.late[0]) // a worker that has received the stop refuses it
		w.late = nil
		w.play(3 * cottonlanding.Second)
		require.Zero(t, w.runner.Lasting())
		require.Empty(t, w.runner.Violations())
	})
}
