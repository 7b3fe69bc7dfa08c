package planner

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cottonlanding/cottonlanding"
)

// StateOf decodes the state of a workflow from its state row.
func StateOf(row cottonlanding.Row) (cottonlanding.WorkflowState, error) {
	var state stateRow
	if err := json.Unmarshal(row.Value, &state); err != nil {
		return "", fmt.Errorf("row %s: %w", row.Key, err)
	}
	return state.State, nil
}

// Load restores the workflows from the rows of an earlier owner. Runs that it committed may still be running: those
// found on workers are kept, the others are started.
func (c *Cell) Load(specs, states []cottonlanding.Row, now cottonlanding.Millis) error {
	byID := make(map[string]cottonlanding.Row, len(states))
	for _, row := range states {
		byID[lastSegment(row.Key)] = row
	}
	for _, row := range specs {
		state, found := byID[lastSegment(row.Key)]
		if !found {
			return fmt.Errorf("row %s has no state row", row.Key)
		}
		if err := c.loadJob(row, state, now); err != nil {
			return err
		}
	}
	c.logInheritedLosses()
	return nil
}

func lastSegment(key cottonlanding.Key) string {
	return string(key[strings.LastIndex(string(key), "/")+1:])
}

func (c *Cell) loadJob(specAt, stateAt cottonlanding.Row, now cottonlanding.Millis) error {
	var spec specRow
	if err := json.Unmarshal(specAt.Value, &spec); err != nil {
		return fmt.Errorf("row %s: %w", specAt.Key, err)
	}
	var state stateRow
	if err := json.Unmarshal(stateAt.Value, &state); err != nil {
		return fmt.Errorf("row %s: %w", stateAt.Key, err)
	}
	queue := spec.Queue
	if current, known := c.queues.Queues[queue.Name]; known {
		queue = current
	}
	j := newJob(spec.Workflow, queue, now)
	for number := len(j.rounds); number < state.Rounds.Begun; number++ {
		j.addRound(number, now)
	}
	j.state, j.reason, j.delegatedBy = state.State, state.Reason, state.DelegatedBy
	j.placed, j.started = state.Placed, state.Started
	j.persisted, j.committedState = true, state.State
	j.version, j.specVersion = stateAt.Version, specAt.Version
	if j.state.Final() {
		j.ended = now
	}
	j.loadLeftOut(state.Rounds.LeftOut)
	at := 0
	j.eachTaskFrom(j.leftOut, func(t *task) {
		if at < len(state.Tasks) {
			c.loadTask(t, state.Tasks[at], now)
		}
		at++
	})
	j.started = j.started || j.showsStart()
	for _, r := range j.rounds {
		r.markReady(now)
		r.markDelegatedReady()
	}
	if !j.state.Final() {
		j.withdrawUnstartedRounds()
	}
	c.addJob(j)
	return nil
}

// loadLeftOut marks the tasks of the first rounds, which the row omits, as done.
func (j *job) loadLeftOut(rounds int) {
	for number := range min(rounds, len(j.rounds)) {
		for _, s := range j.rounds[number].steps {
			s.done = len(s.tasks)
			for _, t := range s.tasks {
				t.state = taskDone
				j.size.recordDone()
			}
		}
	}
	j.dropFinishedRounds()
}

func (c *Cell) loadTask(t *task, row taskRow, now cottonlanding.Millis) {
	t.state, t.number = row.State, row.Number
	t.loadFailures(row)
	if t.remote() {
		t.job.size.remote += len(t.state)
		t.delegationCommitted = true
	}
	if _, found := t.delegateCell(); found {
		c.remote[t.job.ID] = t.job
	}
	t.setLife(row.Life)
	t.loadCheckpoint(row, now)
	c.beginLoadedDowntime(t, now)
	t.crashes = cottonlanding.CrashRecord{Losses: row.Losses, Crashes: row.Crashes}
	if row.OpenLife.Worker != "" {
		t.setOpenLife(row.OpenLife)
		c.watchOpenLife(t)
	}
	switch t.state {
	case taskDone:
		t.stage.done++
		t.job.size.recordDone()
	case taskAssigned:
		w := c.workers[t.life.Worker]
		if w == nil {
			w = c.addWorker(cottonlanding.WorkerInfo{ID: t.life.Worker}, now)
		}
		pace := fullPace
		if t.stage.Fills {
			pace = unknownPace // the previous owner may have slowed it down
		}
		key := cottonlanding.RunKey{Task: t.ref, Number: t.number}
		t.run = &run{RunKey: key, task: t, worker: w, life: w, born: t.life.Born, step: t.stage.Step, phase: sent, startUnconfirmed: true,
			pace: pace, paceGoal: fullPace, placedAt: now, progressedAt: now, lossCounted: row.Charged, outlastedPromptWindow: row.Outlived}
		if !row.Outlived || !c.setup.earlierOwnersKeptAdoptions() {
			t.run.pendingStarts, t.run.lastPendingAt = 1, c.setup.BeforeUntil // whether its start was answered is unknown
			if row.Outlived {
				c.markDirty(t.job) // older code says so although a start is pending: the next owner must not rely on it
			}
		}
		w.addRun(t.run)
		if t.job.state.Final() {
			c.stop(t.run, "the workflow ended", now)
		}
	}
}
