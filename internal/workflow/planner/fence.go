package planner

import (
	"cmp"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// A life is fenced once it has answered a poll with an epoch above those of all calls that were sent before the life was
// known: it refuses those from then on.

// forgottenLife is what is kept of a life that was forgotten because nothing ran on it.
type forgottenLife struct {
	born    cottonlanding.Birth
	epoch   cottonlanding.Epoch
	adopted adoption
}

// firstEpoch returns the epoch of the calls to a worker that becomes known. A life that follows a forgotten one must
// refuse the calls to that one.
func (c *Cell) firstEpoch(id cottonlanding.WorkerID) cottonlanding.Epoch {
	if before, found := c.forgotten[id]; found {
		return c.nextEpoch(before.epoch)
	}
	return c.setup.FirstEpoch
}

// rememberLife keeps what must be known of the worker if it is listed again.
func (c *Cell) rememberLife(w *worker) {
	born := cmp.Or(w.born, c.forgotten[w.info.ID].born) // it may never have answered since it was listed again
	c.forgotten[w.info.ID] = forgottenLife{born, w.epoch, w.adopted}
}

// nextEpoch returns the epoch after one of this owner. An owner that has used all of its epochs must be replaced.
func (c *Cell) nextEpoch(epoch cottonlanding.Epoch) cottonlanding.Epoch {
	if epoch < c.setup.Epoch {
		return epoch + 1
	}
	c.log.Warn("no epoch is left", "Epoch", epoch)
	c.superseded = true
	return epoch
}

// followsAnother reports whether an earlier owner, or this one before it forgot the worker, knew another life than the
// one that has just answered for the first time, and no owner has fenced it.
func (c *Cell) followsAnother(w *worker) bool {
	if w.adopted.born != 0 && w.adopted.born == w.born {
		return false
	}
	return c.forgotten[w.info.ID].born.DiffersFrom(w.born) || w.adopted.born.DiffersFrom(w.born) ||
		slices.ContainsFunc(w.runs.all(), func(r *run) bool { return r.born.DiffersFrom(w.born) })
}

// recordFence records that a life has answered a poll. Of the leases that it adopted before, none lasts longer than
// MaxLease from now.
func (c *Cell) recordFence(w *worker, poll NextPoll, now cottonlanding.Millis) {
	if w.fenced || poll.Poll.Epoch < w.epoch {
		return
	}
	w.fenced = true
	if !w.followsAnother {
		return
	}
	w.adopted = adoption{w.born, now + withDriftMargin(c.timing.MaxLease)}
	w.bound = c.newBound(w.adopted.until, boundByNextLife, now)
	c.log.Info("life of a worker fenced", "Worker", w.info.ID, "Born", w.born, "Epoch", w.epoch, "Runs", w.runs.size())
}

// boundUnfenced sets the bound of a life that may still carry out calls to an earlier one.
func (c *Cell) boundUnfenced(w *worker, source boundSource, now cottonlanding.Millis) {
	w.adopted = adoption{w.born, max(now, w.lastLeaseAt+c.timing.MaxCallDelay) + withDriftMargin(c.timing.MaxLease)}
	w.bound = w.bound.latest(c.newBound(w.adopted.until, source, now))
}

// refusesStarts reports whether the present life refuses all starts of a run: they were sent before it was known.
func (w *worker) refusesStarts(r *run) bool {
	return w.fenced && r.startEpoch < w.epoch && !r.startInFlight
}
