package worker

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/cottonlanding/cottonlanding"
)

// Renew extends the lease and returns the inventory.
func (w *Worker) Renew(fence cottonlanding.Fence) (cottonlanding.Inventory, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.admit(fence); err != nil {
		return cottonlanding.Inventory{}, err
	}
	if w.fresh(fence) {
		w.leaseEnd = max(w.leaseEnd, expiry(fence))
	}
	now := w.clock.Now()
	out := cottonlanding.Inventory{
		Worker:         w.info.ID,
		Incarnation:    w.incarnation,
		Epoch:          w.epoch,
		Reading:        cottonlanding.Reading(max(now, 1)),
		LeaseRemaining: max(0, w.leaseEnd-now),
		Leaving:        w.faults.Leaving,
	}
	out.Digest = w.digest()
	if out.Unchanged = fence.Digest == out.Digest; out.Unchanged {
		return out, nil
	}
	for _, r := range w.runs {
		out.Runs = append(out.Runs, r.report(now))
	}
	slices.SortFunc(out.Runs, func(a, b cottonlanding.TaskRun) int {
		return strings.Compare(a.Task.String(), b.Task.String())
	})
	return out, nil
}

// digest sums up the life and the runs, in any order of the runs.
func (w *Worker) digest() string {
	sum := xxhash.Sum64String(string(w.incarnation))
	for id, r := range w.runs {
		sum += xxhash.Sum64String(fmt.Sprintf("%s|%s|%d|%s", w.incarnation, id, r.start.Attempt, r.state))
	}
	return strconv.FormatUint(sum, 16)
}

func (r *activeRun) report(now cottonlanding.Millis) cottonlanding.TaskRun {
	ran := r.entry.Until - r.entry.From
	if r.state == cottonlanding.Running {
		ran = now - r.entry.From
	}
	return cottonlanding.TaskRun{
		Task:       r.start.Task,
		Attempt:    r.start.Attempt,
		State:      r.state,
		Resources:  r.start.Resources,
		Checkpoint: r.object,
		Result:     r.result,
		Ran:        ran,
		Used:       r.start.Resources,
	}
}
