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
	// downGrace is how long after the end of its last run a task's being down begins to count, downFor for how long on
	// end that may last.
	downGrace   = 6 * cottonlanding.Second
	maxDownSpan = 3 * cottonlanding.Second
	// calmLead is how long before that span calm must have begun.
	calmLead = 4 * cottonlanding.Second
	// requiredPlaces is how many times over there must be room.
	requiredPlaces = 2
	// lowUseDivisor is the part of the service's capacity, as a divisor, below which little is in use.
	lowUseDivisor = 2
)

// disturbances tells whether trouble is near, by the rule's word: in the span that counts or before it.
type disturbances struct {
	// last is the latest instant at which there was trouble.
	last cottonlanding.Millis
	// unable is the latest instant at which no owner could have started anything.
	unable cottonlanding.Millis
}

// calmSince returns from when on no disturbance is near.
func (d disturbances) calmSince() cottonlanding.Millis { return d.last + calmLead }

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
	near disturbances
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
		for places < requiredPlaces && step.Reserved().Fits(free) && (step.MostPerWorker == 0 || beside < step.MostPerWorker) {
			free = free.Minus(step.Reserved())
			places, beside = places+1, beside+1
		}
	}
	return places
}

// usageIsLow reports whether under half of the capacity is in use.
func (s standing) usageIsLow() bool {
	var free, capacity cottonlanding.Resources
	for _, info := range s.usable {
		free, capacity = free.Plus(s.free(info)), capacity.Plus(info.Capacity)
	}
	used := capacity.Minus(free).Times(lowUseDivisor)
	return used.CPU < capacity.CPU && used.Memory < capacity.Memory
}

// taskDowntime is that of a lasting task that has run and doesn't now.
type taskDowntime struct {
	task  lastingTask
	ended cottonlanding.Millis
	// roomSince and lowUseSince are from when on there has been room twice over, and little in use.
	roomSince, lowUseSince cottonlanding.Millis
	// reported says that the rule was found broken by it.
	reported bool
}

// violatedCase returns by which of its cases the rule is broken at an instant, or "".
func (a taskDowntime) violatedCase(s standing) string {
	begins := max(a.ended+downGrace, a.roomSince)
	switch {
	case s.now-max(begins, s.near.calmSince()) >= maxDownSpan:
		return "calm"
	case s.now-max(begins, a.lowUseSince, s.near.unable) >= maxDownSpan:
		return "little in use"
	}
	return ""
}

// downtimeRule holds histories against the rule, step by step.
type downtimeRule struct {
	runner *runner.Runner
	ran    map[cottonlanding.TaskRef]bool
	down   map[cottonlanding.TaskRef]*taskDowntime
	// longest is the longest time from the end of a run to the next that was seen.
	longest cottonlanding.Millis
}

func newDowntimeRule(runner *runner.Runner) *downtimeRule {
	return &downtimeRule{runner: runner, ran: make(map[cottonlanding.TaskRef]bool), down: make(map[cottonlanding.TaskRef]*taskDowntime)}
}

// violation is a task by which the rule is broken.
type violation struct {
	taskDowntime
	by string
}

func (l violation) String() string {
	return fmt.Sprintf("task %s is down since %d (%s), room twice over since %d, little in use since %d", l.task.ref, l.ended, l.by, l.roomSince, l.lowUseSince)
}

// check takes in how things stand, and returns the tasks by which the rule is broken since now.
func (r *downtimeRule) check(tasks []lastingTask, s standing) []violation {
	runs := make(map[cottonlanding.TaskRef]bool)
	for _, keys := range s.runs {
		for _, key := range keys {
			runs[key.Task] = true
		}
	}
	little := s.usageIsLow()
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
		a := r.downtimeOf(task, s.now)
		if _, known := room[id]; !known {
			room[id] = s.places(id) >= requiredPlaces
		}
		if !room[id] || s.late[task.ref] {
			a.roomSince = s.now
		}
		if !little {
			a.lowUseSince = s.now
		}
	}
	maps.DeleteFunc(r.down, func(ref cottonlanding.TaskRef, _ *taskDowntime) bool { return !asked[ref] })
	return r.violations(s)
}

func (r *downtimeRule) recordRuns(ref cottonlanding.TaskRef, now cottonlanding.Millis) {
	r.ran[ref] = true
	if a := r.down[ref]; a != nil {
		r.longest = max(r.longest, now-a.ended)
		delete(r.down, ref)
	}
}

// downtimeOf returns what is known of a task that is down. A run may have come and gone since the last step.
func (r *downtimeRule) downtimeOf(task lastingTask, now cottonlanding.Millis) *taskDowntime {
	a := r.down[task.ref]
	if a == nil {
		a = &taskDowntime{task: task, roomSince: now, lowUseSince: now}
		r.down[task.ref] = a
	}
	a.ended = r.runner.EndedAt(task.ref)
	return a
}

func (r *downtimeRule) violations(s standing) []violation {
	var out []violation
	for _, a := range r.down {
		if by := a.violatedCase(s); by != "" && !a.reported {
			a.reported = true
			out = append(out, violation{*a, by})
		}
	}
	slices.SortFunc(out, func(a, b violation) int {
		return cmp.Compare(a.task.ref.String(), b.task.ref.String())
	})
	return out
}
