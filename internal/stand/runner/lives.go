package runner

import "github.com/cottonlanding/cottonlanding"

// Rebirth ends the present life of a worker, if it has one, and begins another under the same
// id and address. It runs nothing, has seen no owner, and numbers its ends and counts its
// clock anew.
func (r *Runner) Rebirth(id cottonlanding.WorkerID, address cottonlanding.Address, born cottonlanding.Birth) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workers[id] = newWorker(id, address, 1-r.clock.Now(), born)
}
