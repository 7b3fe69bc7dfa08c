package scheduler

import (
	"encoding/json"
	"fmt"

	"github.com/cottonlanding/cottonlanding"
)

// Load takes in the rows that a predecessor left: the rows that list the cell's
// jobs, the job rows and the task rows.
func (c *Cell) Load(lists, jobs, tasks []cottonlanding.Row, now cottonlanding.Millis) error {
	pointers := make(map[cottonlanding.Key]cottonlanding.Version, len(lists))
	for _, row := range lists {
		pointers[row.Key] = row.Version
	}
	for _, row := range jobs {
		if err := c.loadJob(row, pointers, now); err != nil {
			return err
		}
	}
	for _, row := range tasks {
		if err := c.loadTask(row, now); err != nil {
			return err
		}
	}
	for _, j := range c.jobs {
		c.settleJob(j, now)
	}
	return nil
}

func (c *Cell) loadJob(row cottonlanding.Row, pointers map[cottonlanding.Key]cottonlanding.Version, now cottonlanding.Millis) error {
	var record cottonlanding.Job
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return fmt.Errorf("row %s: %w", row.Key, err)
	}
	pointer := pointers[JobListPrefix(c.setup.ID)+cottonlanding.Key(record.Spec.Name)]
	j := &job{Job: record, version: row.Version, pointer: pointer, settledAt: now}
	c.addJob(j, now)
	if j.State != cottonlanding.JobCancelled && j.State != cottonlanding.JobFailed {
		return nil
	}
	for _, t := range j.tasks {
		t.State = cottonlanding.TaskCancelled
		t.committed = t.Task
	}
	return nil
}

func (c *Cell) loadTask(row cottonlanding.Row, now cottonlanding.Millis) error {
	var record cottonlanding.Task
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return fmt.Errorf("row %s: %w", row.Key, err)
	}
	t := c.tasks[record.ID]
	if t == nil {
		return fmt.Errorf("row %s: no such job in cell %s: %w", row.Key, c.setup.ID, cottonlanding.ErrNotFound)
	}
	t.Task, t.committed, t.version = record, record, row.Version
	if record.State != cottonlanding.TaskQueued {
		delete(c.queue, t.ID)
	}
	if record.State.Final() && !t.job.State.Final() {
		t.job.open--
		t.job.failed = t.job.failed || record.State == cottonlanding.TaskFailed
	}
	if record.State == cottonlanding.TaskAssigned {
		c.holdLoaded(t, now)
	}
	return nil
}

// holdLoaded keeps room for a task that may still run where the predecessor
// put it.
func (c *Cell) holdLoaded(t *task, now cottonlanding.Millis) {
	w := c.workers[t.Worker]
	if w == nil {
		w = c.addWorker(cottonlanding.WorkerInfo{ID: t.Worker, Address: t.WorkerAddress}, now)
	}
	w.holds[run{t.ID, t.Attempt}] = &hold{resources: t.job.Spec.Resources, sent: true, inherited: true}
}
