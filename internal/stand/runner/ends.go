package runner

import "github.com/cottonlanding/cottonlanding"

// RunsByWorker returns the runs that go on on each worker.
func (r *Runner) RunsByWorker() map[cottonlanding.WorkerID][]cottonlanding.RunKey {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[cottonlanding.WorkerID][]cottonlanding.RunKey, len(r.workers))
	for id, w := range r.workers {
		r.advance(w)
		if r.workers[id] == w { // a run may have crashed it
			out[id] = w.keys()
		}
	}
	return out
}

// EndedAt returns when the last run of a task ended, for whatever cause, or zero if none has.
func (r *Runner) EndedAt(task cottonlanding.TaskRef) cottonlanding.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endedAt[task]
}

// recordEndedAt notes that a run of a task ended at an instant.
func (r *Runner) recordEndedAt(task cottonlanding.TaskRef, at cottonlanding.Millis) {
	r.endedAt[task] = max(r.endedAt[task], at)
}
