package planner_test

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/stand/runner"
)

// The users' requirement on the downtime of lasting tasks: a task that isn't running must run again while there is
// room.
const (
	// downGrace is how long after the end of a task's last run its downtime begins to count, maxDownSpan how long it
	// may then last without interruption.
	downGrace   = 6 * cottonlanding.Second
	maxDownSpan = 3 * cottonlanding.Second
	// calmLead is how long before that span the last disturbance must have ended.
	calmLead = 4 * cottonlanding.Second
	// requiredPlaces is for how many tasks there must be room.
	requiredPlaces = 2
	// lowUseDivisor is the fraction, as a divisor, of the service's capacity below which usage is low.
	lowUseDivisor = 2
)

// disturbances holds when disturbances as defined by the requirement ended: those in the span that counts or just
// before it.
type disturbances struct {
	// lastDisturbanceAt is the latest instant with a disturbance.
	lastDisturbanceAt cottonlanding.Millis
	// ownerless is the latest instant at which no owner could have started anything.
	ownerless cottonlanding.Millis
}

// calmSince returns the instant from which the system counts as undisturbed: calmLead after the last disturbance.
func (d disturbances) calmSince() cottonlanding.Millis { return d.lastDisturbanceAt + calmLead }

// lastingTask is a task that has to run until its workflow is cancelled.
type lastingTask struct {
	ref  cottonlanding.TaskRef
	step cottonlanding.Step
}

// systemState is the state that the requirement refers to: what the stand-in workers run at an instant.
type systemState struct {
	now cottonlanding.Millis
	// usable holds the sound workers that may be given tasks, runs the runs of all workers.
	usable []cottonlanding.WorkerInfo
	runs   map[cottonlanding.WorkerID][]cottonlanding.RunKey
	// steps holds the step of each workflow; all steps of a workflow are alike.
	steps map[cottonlanding.WorkflowID]cottonlanding.Step
	// late holds the tasks for which a worker still has delayed orders to execute.
	late               map[cottonlanding.TaskRef]bool
	recentDisturbances disturbances
}

// free returns the unreserved resources of a worker.
func (s systemState) free(info cottonlanding.WorkerInfo) cottonlanding.Resources {
	free := info.Capacity
	for _, key := range s.runs[info.ID] {
		free = free.Minus(s.steps[key.Task.Workflow].Reserved())
	}
	return free
}

// places counts the places for tasks of a step, up to requiredPlaces.
func (s systemState) places(id cottonlanding.WorkflowID) int {
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

// usageIsLow reports whether less than half of the capacity is in use.
func (s systemState) usageIsLow() bool {
	var free, capacity cottonlanding.Resources
	for _, info := range s.usable {
		free, capacity = free.Plus(s.free(info)), capacity.Plus(info.Capacity)
	}
	used := capacity.Minus(free).Times(lowUseDivisor)
	return used.CPU < capacity.CPU && used.Memory < capacity.Memory
}

// taskDowntime is the downtime of a lasting task that ran before and doesn't run now.
type taskDowntime struct {
	task  lastingTask
	ended cottonlanding.Millis
	// roomSince and lowUseSince are since when there has been room for requiredPlaces tasks, and low usage.
	roomSince, lowUseSince cottonlanding.Millis
	// reported says that the violation was reported.
	reported bool
}

// violatedCase returns the violated case of the requirement at an instant, or "".
func (a taskDowntime) violatedCase(s systemState) string {
	begins := max(a.ended+downGrace, a.roomSince)
	switch {
	case s.now-max(begins, s.recentDisturbances.calmSince()) >= maxDownSpan:
		return "calm"
	case s.now-max(begins, a.lowUseSince, s.recentDisturbances.ownerless) >= maxDownSpan:
		return "little in use"
	}
	return ""
}

// downtimeRule checks histories against the requirement, step by step.
type downtimeRule struct {
	runner *runner.Runner
	ran    map[cottonlanding.TaskRef]bool
	down   map[cottonlanding.TaskRef]*taskDowntime
	// longest is the longest time seen from the end of a run to the next one.
	longest cottonlanding.Millis
}

func newDowntimeRule(runner *runner.Runner) *downtimeRule {
	return &downtimeRule{runner: runner, ran: make(map[cottonlanding.TaskRef]bool), down: make(map[cottonlanding.TaskRef]*taskDowntime)}
}

// violation is a task whose downtime violates the requirement.
type violation struct {
	taskDowntime
	by string
}

func (l violation) String() string {
	return fmt.Sprintf("task %s has been down since %d (%s), room since %d, low usage since %d", l.task.ref, l.ended, l.by, l.roomSince, l.lowUseSince)
}

// check records the state of an instant and returns the violations that begin with it.
func (r *downtimeRule) check(tasks []lastingTask, s systemState) []violation {
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

// downtimeOf returns the downtime of a task that is down. A run may have begun and ended since the last step.
func (r *downtimeRule) downtimeOf(task lastingTask, now cottonlanding.Millis) *taskDowntime {
	a := r.down[task.ref]
	if a == nil {
		a = &taskDowntime{task: task, roomSince: now, lowUseSince: now}
		r.down[task.ref] = a
	}
	a.ended = r.runner.EndedAt(task.ref)
	return a
}

func (r *downtimeRule) violations(s systemState) []violation {
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
