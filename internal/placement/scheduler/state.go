package scheduler

import "github.com/cottonlanding/cottonlanding"

// State is a cell's dump.
type State struct {
	Cell    cottonlanding.CellID
	Epoch   cottonlanding.Epoch
	Jobs    int
	Open    int
	Queued  int
	Pending int
	Workers []WorkerState
	Counts  Counts
}

// WorkerState is a worker's part of the dump.
type WorkerState struct {
	ID          cottonlanding.WorkerID
	Listed      bool
	Leaving     bool
	Usable      bool
	Quarantined bool
	Capacity    cottonlanding.Resources
	Free        cottonlanding.Resources
	Holds       int
	// LeaseRemaining is how long the worker surely keeps its lease.
	LeaseRemaining cottonlanding.Millis
}

// Summary is what other daemons need to know to send jobs here.
type Summary struct {
	Cell   cottonlanding.CellID
	Epoch  cottonlanding.Epoch
	Free   cottonlanding.Resources
	Queued int
}

// State returns the dump.
func (c *Cell) State(now cottonlanding.Millis) State {
	state := State{
		Cell:    c.setup.ID,
		Epoch:   c.setup.Epoch,
		Jobs:    len(c.jobs),
		Queued:  len(c.queue),
		Pending: len(c.dirtyJobs) + len(c.dirtyTasks),
		Counts:  c.counts,
	}
	for _, j := range c.jobs {
		if !j.State.Final() {
			state.Open++
		}
	}
	for _, w := range c.sortedWorkers() {
		state.Workers = append(state.Workers, WorkerState{
			ID:             w.info.ID,
			Listed:         w.listed,
			Leaving:        w.leaving,
			Usable:         c.takes(w, now),
			Quarantined:    now < w.quarantinedUntil,
			Capacity:       w.info.Capacity,
			Free:           w.free(),
			Holds:          len(w.holds),
			LeaseRemaining: max(0, w.leasedUntil-now),
		})
	}
	return state
}

// Summary returns the free capacity of the usable workers.
func (c *Cell) Summary(now cottonlanding.Millis) Summary {
	out := Summary{Cell: c.setup.ID, Epoch: c.setup.Epoch, Queued: len(c.queue)}
	for _, w := range c.workers {
		if c.takes(w, now) {
			out.Free = out.Free.Plus(w.free())
		}
	}
	return out
}
