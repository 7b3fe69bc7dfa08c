package planner_test

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/stand/runner"
)

// The users' rule on lasting tasks that are down. Source of all figures: that rule.
const (
	// downFrom is how long after the end of its last run a task's being down begins to count, downFor for how long on
	// end that may last.
	downFrom = 6 * cottonlanding.Second
	downFor  = 3 * cottonlanding.Second
	// calmBefore is how long before that span calm must have begun.
	calmBefore = 4 * cottonlanding.Second
	// placesNeeded is how many times over there must be room.
	placesNeeded = 2
	// littleUse is the part of the service's capacity, as a divisor, below which little is in use.
	littleUse = 2
)

// disturbance tells whether trouble is near, by the rule's word: in the span that counts or before it.
type disturbance struct {
	// last is the latest instant at which there was trouble.
	last cottonlanding.Millis
	// unable is the latest instant at which no owner could have started anything.
	unable cottonlanding.Millis
}

// calmSince returns from when on no disturbance is near.
func (d disturbance) calmSince() cottonlanding.Millis { return d.last + calmBefore }

// lastingTask is a task that has to run until its workflow is cancelled.
type lastingTask struct {
	ref  cottonlanding.TaskRef
	step cottonlanding.Step
}

// standing is what the rule asks about: what the stand-in's workers really run at an instant.
type standing struct {
	now cottonlanding.Millis
	// usable holds the workers that are sound and may be given tasks, runs what all workers run.
	usable []cottonlanding.WorkerInfo
	runs   map[cottonlanding.WorkerID][]cottonlanding.RunKey
	// steps tells the step of each workflow, all of whose steps are alike.
	steps map[cottonlanding.WorkflowID]cottonlanding.Step
	// late holds the tasks of which a worker has orders that it will carry out late.
	late map[cottonlanding.TaskRef]bool
	near disturbance
}

// free returns what no run holds of a worker.
func (s standing) free(info cottonlanding.WorkerInfo) cottonlanding.Resources {
	free := info.Capacity
	for _, key := range s.runs[info.ID] {
		free = free.Minus(s.steps[key.Task.Workflow].Reserved())
	}
	return free
}

// places counts the places for tasks of a step, up to those that are needed.
func (s standing) places(id cottonlanding.WorkflowID) int {
	step := s.steps[id]
	places := 0
	for _, info := range s.usable {
		free, beside := s.free(info), 0
		for _, key := range s.runs[info.ID] {
			if key.Task.Workflow == id {
				beside++
			}
		}
		for places < placesNeeded && step.Reserved().Fits(free) && (step.MostPerWorker == 0 || beside < step.MostPerWorker) {
			free = free.Minus(step.Reserved())
			places, beside = places+1, beside+1
		}
	}
	return places
}

// littleInUse reports whether under half of the capacity is in use.
func (s standing) littleInUse() bool {
	var free, capacity cottonlanding.Resources
	for _, info := range s.usable {
		free, capacity = free.Plus(s.free(info)), capacity.Plus(info.Capacity)
	}
	used := capacity.Minus(free).Times(littleUse)
	return used.CPU < capacity.CPU && used.Memory < capacity.Memory
}

// absence is that of a lasting task that has run and doesn't now.
type absence struct {
	task  lastingTask
	ended cottonlanding.Millis
	// roomSince and littleSince are from when on there has been room twice over, and little in use.
	roomSince, littleSince cottonlanding.Millis
	// told says that the rule was found broken by it.
	told bool
}

// brokenBy returns by which of its cases the rule is broken at an instant, or "".
func (a absence) brokenBy(s standing) string {
	begins := max(a.ended+downFrom, a.roomSince)
	switch {
	case s.now-max(begins, s.near.calmSince()) >= downFor:
		return "calm"
	case s.now-max(begins, a.littleSince, s.near.unable) >= downFor:
		return "little in use"
	}
	return ""
}

// lostRule holds histories against the rule, step by step.
type lostRule struct {
	runner *runner.Runner
	ran    map[cottonlanding.TaskRef]bool
	absent map[cottonlanding.TaskRef]*absence
	// longest is the longest time from the end of a run to the next that was seen.
	longest cottonlanding.Millis
}

func newLostRule(runner *runner.Runner) *lostRule {
	return &lostRule{runner: runner, ran: make(map[cottonlanding.TaskRef]bool), absent: make(map[cottonlanding.TaskRef]*absence)}
}

// lostTask is a task by which the rule is broken.
type lostTask struct {
	absence
	by string
}

func (l lostTask) String() string {
	return fmt.Sprintf("task %s is down since %d (%s), room twice over since %d, little in use since %d", l.task.ref, l.ended, l.by, l.roomSince, l.littleSince)
}

// check takes in how things stand, and returns the tasks by which the rule is broken since now.
func (r *lostRule) check(tasks []lastingTask, s standing) []lostTask {
	runs := make(map[cottonlanding.TaskRef]bool)
	for _, keys := range s.runs {
		for _, key := range keys {
			runs[key.Task] = true
		}
	}
	little := s.littleInUse()
	room := make(map[cottonlanding.WorkflowID]bool)
	asked := make(map[cottonlanding.TaskRef]bool)
	for _, task := range tasks {
		id := task.ref.Workflow
		asked[task.ref] = true
		if runs[task.ref] {
			r.recordRuns(task.ref, s.now)
			continue
		}
		if !r.ran[task.ref] {
			continue
		}
		a := r.absenceOf(task, s.now)
		if _, known := room[id]; !known {
			room[id] = s.places(id) >= placesNeeded
		}
		if !room[id] || s.late[task.ref] {
			a.roomSince = s.now
		}
		if !little {
			a.littleSince = s.now
		}
	}
	maps.DeleteFunc(r.absent, func(ref cottonlanding.TaskRef, _ *absence) bool { return !asked[ref] })
	return r.broken(s)
}

func (r *lostRule) recordRuns(ref cottonlanding.TaskRef, now cottonlanding.Millis) {
	r.ran[ref] = true
	if a := r.absent[ref]; a != nil {
		r.longest = max(r.longest, now-a.ended)
		delete(r.absent, ref)
	}
}

// absenceOf returns what is known of a task that is down. A run may have come and gone since the last step.
func (r *lostRule) absenceOf(task lastingTask, now cottonlanding.Millis) *absence {
	a := r.absent[task.ref]
	if a == nil {
		a = &absence{task: task, roomSince: now, littleSince: now}
		r.absent[task.ref] = a
	}
	a.ended = r.runner.EndedAt(task.ref)
	return a
}

func (r *lostRule) broken(s standing) []lostTask {
	var out []lostTask
	for _, a := range r.absent {
		if by := a.brokenBy(s); by != "" && !a.told {
			a.told = true
			out = append(out, lostTask{*a, by})
		}
	}
	slices.SortFunc(out, func(a, b lostTask) int {
		return cmp.Compare(a.task.ref.String(), b.task.ref.String())
	})
	return out
}
