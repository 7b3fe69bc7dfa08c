package runner

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cottonlanding/cottonlanding"
)

// Rebirth ends the present life of a worker, if it has one, and begins another under the same
// id and address. It runs nothing, has seen no owner, and numbers its ends and counts its
// clock anew.
func (r *Runner) Rebirth(id cottonlanding.WorkerID, address cottonlanding.Address, born cottonlanding.Birth) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endLife(id)
	r.workers[id] = newWorker(id, address, 1-r.clock.Now(), born)
}

// Reading returns the present life of a worker and what its clock shows.
func (r *Runner) Reading(id cottonlanding.WorkerID) (cottonlanding.Life, cottonlanding.Reading) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.workers[id]
	if w == nil {
		return cottonlanding.Life{}, 0
	}
	return cottonlanding.Life{Worker: id, Born: w.born}, r.reading(w)
}

// Fingerprint describes what the workers run and have listed, without instants.
func (r *Runner) Fingerprint() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out strings.Builder
	for _, id := range slices.Sorted(maps.Keys(r.workers)) {
		w := r.workers[id]
		r.advance(w)
		fmt.Fprintln(&out, id, w.born, w.epoch, w.serial, w.ruled, w.dark, r.reading(w) < w.lease)
		for _, end := range w.ended {
			fmt.Fprintln(&out, end.RunEnd)
		}
		for _, key := range slices.SortedFunc(maps.Keys(w.runs), func(a, b cottonlanding.RunKey) int {
			return cmp.Or(cmp.Compare(a.Task.String(), b.Task.String()), cmp.Compare(a.Number, b.Number))
		}) {
			fmt.Fprintln(&out, key)
		}
	}
	return out.String()
}
