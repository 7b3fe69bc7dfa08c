package planner

import (
	"maps"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// Only one process at a time has an address. A life that is no longer listed has ended once another one has answered
// at its address to a poll that was sent after that life's last answer. A list entry of the other life proves nothing:
// entries of ended lives stay listed for some seconds, also beside and after those of their replacements.

// endReplacedWorkers ends the runs, and resolves the open lives, of workers that are no longer listed and at whose
// addresses others answer.
func (c *Cell) endReplacedWorkers(now cottonlanding.Millis) {
	var gone []*worker
	for _, w := range c.sortedWorkers() {
		if !w.listed && w.runs.size() > 0 {
			gone = append(gone, w)
		}
	}
	if len(gone) == 0 && len(c.openLivesByWorker) == 0 {
		return
	}
	answering := c.answeringByAddress()
	for _, w := range gone {
		if replacement := answering[w.info.Address]; replacement != nil && replacement.lastAnswerPollSentAt > w.lastAnswerAt {
			c.loseWorker(w, now, lossByReplacement)
			c.forgetWorker(w.info.ID)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.openLivesByWorker)) {
		if c.isReplaced(id, answering) {
			c.resolveOpenLives(id, assumeEnded, now)
		}
	}
}

// answeringByAddress returns the listed workers that answer, by address.
func (c *Cell) answeringByAddress() map[cottonlanding.Address]*worker {
	out := make(map[cottonlanding.Address]*worker)
	for _, w := range c.sortedWorkers() {
		if w.listed && w.lastAnswerAt > 0 && !w.pollFailed && w.info.Address != "" {
			out[w.info.Address] = w
		}
	}
	return out
}

// isReplaced reports whether another worker has answered at the address of one of which tasks have an open life.
func (c *Cell) isReplaced(id cottonlanding.WorkerID, answering map[cottonlanding.Address]*worker) bool {
	w := c.workers[id]
	replacement := answering[c.openLivesByWorker[id].address]
	if replacement == nil || replacement.info.ID == id || w != nil && w.listed {
		return false
	}
	return w == nil || replacement.lastAnswerPollSentAt > w.lastAnswerAt
}
