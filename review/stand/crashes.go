package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["crashes"] = playCrashes }

// playCrashes crashes the executor of a job's only task three times, three seconds after the task began there, and before
// each of these an executor that runs nothing. One of twelve executors is down at a time, and comes back under a new id.
func playCrashes(d *deployment) error {
	const (
		id           = "5c0e7a21d94b36f8"
		task         = id + ".0.0.0"
		crashes      = 3
		idleDownTime = time.Second
		downTime     = 3 * time.Second
	)
	executors, err := d.launch(true)
	if err != nil {
		return err
	}
	crash := func(at int, down time.Duration) (err error) {
		executors[at].kill()
		d.note("executor %d crashes", at+1)
		time.Sleep(down)
		executors[at], err = d.startExecutors(at)
		d.note("executor %d is back", at+1)
		return err
	}
	time.Sleep(10 * time.Second) // traffic starts ten seconds after the machines
	accepted, err := d.submit(id, work{TakesMs: 6000}, map[string]any{"count": 1, "cpu": 3500, "memMb": 6400, "estimatedMs": 6000})
	if err != nil || !accepted {
		return fmt.Errorf("the job was not accepted: %w", err)
	}
	idle := executorCount - 1
	for count := 1; d.trouble && count <= crashes; count++ {
		at, err := d.awaitRun(task, count)
		if err != nil {
			return err
		}
		time.Sleep(time.Second)
		for len(d.notedBy(idle, "begins")) > 0 {
			idle-- // it has run something
		}
		if err := crash(idle, idleDownTime); err != nil {
			return err
		}
		idle--
		time.Sleep(time.Second)
		if err := crash(at, downTime); err != nil {
			return err
		}
	}
	state := d.awaitState(id, 40*time.Second, "succeeded", "failed", "cancelled")
	failedEnds := 0
	for _, fields := range d.noted(task, "ends") {
		if fields[len(fields)-1] == "failed" {
			failedEnds++
		}
	}
	d.note("the job shows as %q; %d runs of its task began, %d of them ended failed", state, len(d.noted(task, "begins")), failedEnds)
	switch {
	case state == "failed" && failedEnds < d.attempts:
		d.breaks("LOST: the accepted job %s shows as failed without cause: no client cancelled it, and %d ends failed of %d attempts", id, failedEnds, d.attempts)
	case state != "succeeded":
		d.breaks("LOST: the accepted job %s doesn't end", id)
	}
	return nil
}

// notedBy returns the fields of the lines that an executor noted about runs of tasks.
func (d *deployment) notedBy(at int, what string) [][]string {
	var out [][]string
	for _, fields := range d.noted("", what) {
		if strings.HasPrefix(fields[1], fmt.Sprintf("i-%d-", at)) {
			out = append(out, fields)
		}
	}
	return out
}

// awaitRun waits until a run of a task has begun, the count-th one, and returns its executor.
func (d *deployment) awaitRun(task string, count int) (int, error) {
	for until := time.Now().Add(25 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if begun := d.noted(task, "begins"); len(begun) >= count {
			at := -1
			_, err := fmt.Sscanf(strings.TrimPrefix(begun[count-1][1], "i-"), "%d", &at)
			return at, err
		}
	}
	return 0, fmt.Errorf("run %d of task %s didn't begin", count, task)
}
