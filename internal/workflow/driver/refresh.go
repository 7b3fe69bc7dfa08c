package driver

import (
	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/duty/waker"
)

// refresh applies the newest configuration, evacuations and list of workers to the cell, and starts pollers. The caller
// holds the lock.
func (d *Driver) refresh(now cottonlanding.Millis) {
	d.cell.SetQueues(d.deps.Queues())
	d.cell.SetEvacuations(d.deps.Evacuations(), now)
	workers, known := d.deps.ListWorkers()
	if !known || sameList(workers, d.lastWorkerList) {
		return
	}
	d.lastWorkerList = workers
	d.cell.SetWorkers(workers, now)
	for _, w := range workers {
		if d.pollers[w.ID] == nil && d.cell.HasWorker(w.ID) {
			woken := waker.New()
			d.pollers[w.ID] = woken
			d.work.Go(func() { d.pollWorker(w.ID, woken) })
		}
	}
}

// sameList reports whether both are the same slice: a new list is a new slice.
func sameList(a, b []cottonlanding.WorkerInfo) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
