package planner

import (
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// placeGang places all tasks of a step or none. They share one run number.
func (c *Cell) placeGang(s *stage, now cottonlanding.Millis) int {
	number := cottonlanding.RunNumber(0)
	for _, t := range s.tasks {
		if t.state != taskWaiting || t.mayHaveStray(now) {
			return 0 // the last run has not ended on all workers
		}
		number = max(number, t.number)
	}
	for _, rack := range c.gangRacks(s) {
		if c.placeGangIn(s, rack, number+1, now) {
			return len(s.tasks)
		}
	}
	return 0
}

// gangRacks returns the racks to try; the empty one means any rack.
func (c *Cell) gangRacks(s *stage) []cottonlanding.Rack {
	if !s.SameRack {
		return []cottonlanding.Rack{""}
	}
	var racks []cottonlanding.Rack
	for _, w := range c.sortedWorkers() {
		if !slices.Contains(racks, w.info.Rack) {
			racks = append(racks, w.info.Rack)
		}
	}
	return append(racks, "")
}

func (c *Cell) placeGangIn(s *stage, rack cottonlanding.Rack, number cottonlanding.RunNumber, now cottonlanding.Millis) bool {
	chosen := make([]*worker, 0, len(s.tasks))
	defer func() {
		for i, w := range chosen {
			w.removeRun(cottonlanding.RunKey{Task: s.tasks[i].ref})
		}
		if s.Lasting {
			c.countFreeSlots(now) // the members' slots were deducted when they were chosen
		}
	}()
	for _, t := range s.tasks {
		w := c.pickInRack(t, rack, now)
		if w == nil {
			return false
		}
		// A placeholder run without a number reserves the room, so that the next member finds what is left.
		if s.Lasting {
			c.takeSlots(t, w, now)
		}
		key := cottonlanding.RunKey{Task: t.ref}
		w.addRun(&run{RunKey: key, worker: w, step: s.Step, paceGoal: fullPace})
		chosen = append(chosen, w)
	}
	if !s.tasks[0].job.hasRoomForLives(livesBytes(chosen)) {
		c.logRowFull(s.tasks[0], now)
		return false
	}
	s.levelFailures()
	for i, t := range s.tasks {
		chosen[i].removeRun(cottonlanding.RunKey{Task: t.ref}) // the placeholder, which assign replaces
		c.assign(t, chosen[i], number, now)
	}
	c.logPlaced()
	chosen = nil
	return true
}

func (c *Cell) pickInRack(t *task, rack cottonlanding.Rack, now cottonlanding.Millis) *worker {
	if rack == "" {
		return c.pick(t, now)
	}
	var candidates []*worker
	for _, w := range c.sortedWorkers() {
		if w.info.Rack == rack && c.fits(t, w, now) {
			candidates = append(candidates, w)
		}
	}
	return c.choose(t, candidates, now)
}

// livesBytes returns by how many bytes a gang's row grows at most when it is placed on the workers.
func livesBytes(chosen []*worker) int {
	sum := 0
	for _, w := range chosen {
		sum += lifeBytes(w.life())
	}
	return sum
}

// A gang fails once a run, however many of its members do. A member's failures are those of the gang when its run was placed, and
// one more if it failed in that run. So the row that is stored between the ends of two members says which of them have counted.

// failedRuns returns the number of runs in which the task or, in a gang, any member has failed.
func (t *task) failedRuns() int {
	if !t.stage.Gang {
		return t.failures
	}
	failed := 0
	for _, member := range t.stage.tasks {
		failed = max(failed, member.failures)
	}
	return failed
}

// levelFailures sets the failures of all members to those of the gang. No member may have a run.
func (s *stage) levelFailures() {
	failed := s.tasks[0].failedRuns()
	for _, t := range s.tasks {
		t.failures = failed
	}
}

// loadFailures sets the failures of a stored task. Owners of older code counted each failed member of a gang as a failure of all
// of them: no member has failed in more runs than it has ended.
func (t *task) loadFailures(row taskRow) {
	t.failures = row.Failures
	if !t.stage.Gang {
		return
	}
	ended := int(row.Number)
	if row.State == taskAssigned {
		ended--
	}
	t.failures = min(t.failures, ended)
}
