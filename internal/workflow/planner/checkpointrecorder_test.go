package planner_test

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// maxCheckpointsPerRun is how many texts a run makes before its end.
const maxCheckpointsPerRun = 3

// checkpointRecorder has workers list a text for each run, each time another one, whether or not its
// step checkpoints, and holds each start against what they have listed.
type checkpointRecorder struct {
	// checkpointing and gangs say of each workflow which of its steps checkpoint and which are gangs.
	checkpointing, gangs map[cottonlanding.WorkflowID][]bool
	listed               map[cottonlanding.TaskRef]map[cottonlanding.Checkpoint]bool
	// lists counts the lists in which a run went on, up to one more than mostTexts.
	lists map[cottonlanding.RunKey]int
	// startedWith is what the starts of a run bring; the members of a gang have one entry.
	startedWith map[cottonlanding.RunKey]cottonlanding.Checkpoint
	faults      []string
}

func newCheckpointRecorder() *checkpointRecorder {
	return &checkpointRecorder{
		checkpointing: make(map[cottonlanding.WorkflowID][]bool),
		gangs:         make(map[cottonlanding.WorkflowID][]bool),
		listed:        make(map[cottonlanding.TaskRef]map[cottonlanding.Checkpoint]bool),
		lists:         make(map[cottonlanding.RunKey]int),
		startedWith:   make(map[cottonlanding.RunKey]cottonlanding.Checkpoint),
	}
}

// submitCheckpointing hands a workflow in and notes which of its steps checkpoint.
func (w *world) submitCheckpointing(id cottonlanding.WorkflowID, steps ...cottonlanding.Step) {
	w.submitRounds(id, 0, steps...)
}

// roundInterval is how far apart the rounds of submitRounds are.
const roundInterval = 400 * cottonlanding.Millis(1)

// submitRounds is submitSaved for a workflow that is repeated, unless there are no rounds.
func (w *world) submitRounds(id cottonlanding.WorkflowID, rounds int, steps ...cottonlanding.Step) {
	for _, step := range steps {
		w.checkpoints.checkpointing[id] = append(w.checkpoints.checkpointing[id], step.Checkpoints)
		w.checkpoints.gangs[id] = append(w.checkpoints.gangs[id], step.Gang)
	}
	workflow := cottonlanding.Workflow{ID: id, Queue: "Urgent", Steps: steps}
	if rounds > 0 {
		workflow.Schedule = cottonlanding.Schedule{First: int64(w.now), Interval: roundInterval, Rounds: rounds}
	}
	w.cell.Submit(workflow, w.now, func(err error) {
		if err == nil {
			w.accepted[id] = true
		}
	})
}

// touchAll has the rows of all workflows written.
func (w *world) touchAll() {
	for id := range w.accepted {
		w.cell.MarkDirty(id)
	}
	w.commit()
}

// fillReport puts texts into the answer of a worker. A run that goes on has none the first time it
// is listed.
func (b *checkpointRecorder) fillReport(report *cottonlanding.RunReport) {
	if b == nil {
		return
	}
	slices.SortFunc(report.Running, func(x, y cottonlanding.RunProgress) int {
		return cmp.Compare(x.Task.String(), y.Task.String())
	})
	for at := range report.Running {
		p := &report.Running[at]
		b.lists[p.RunKey] = min(b.lists[p.RunKey], maxCheckpointsPerRun) + 1
		if b.lists[p.RunKey] > 1 {
			p.Checkpoint = b.recordCheckpoint(p.RunKey, fmt.Sprintf("%d/%d", report.Born, b.lists[p.RunKey]))
		}
	}
	for at := range report.Ended {
		e := &report.Ended[at]
		e.Checkpoint = b.recordCheckpoint(e.RunKey, fmt.Sprintf("%d/end", report.Born))
	}
}

func (b *checkpointRecorder) recordCheckpoint(key cottonlanding.RunKey, when string) cottonlanding.Checkpoint {
	text := cottonlanding.Checkpoint(fmt.Sprintf("%s#%d/%s", key.Task, key.Number, when))
	if b.listed[key.Task] == nil {
		b.listed[key.Task] = make(map[cottonlanding.Checkpoint]bool)
	}
	b.listed[key.Task][text] = true
	return text
}

// recordOrder holds a start against what was listed and against the other starts of its run.
func (b *checkpointRecorder) recordOrder(order planner.Order) {
	if b == nil || order.Verb != planner.VerbStart {
		return
	}
	key, text := order.Start.RunKey, order.Start.Checkpoint
	gang := stepFlag(b.gangs, key.Task)
	switch {
	case text == "":
	case !stepFlag(b.checkpointing, key.Task):
		b.addFault("run %d of %s brings %q, and its step doesn't checkpoint", key.Number, key.Task, text)
	case !b.wasListed(key.Task, gang, text):
		b.addFault("run %d of %s brings %q, which no run of it has listed", key.Number, key.Task, text)
	}
	if gang {
		key.Task.Index = 0
	}
	if before, found := b.startedWith[key]; found && before != text {
		b.addFault("run %d of %s brings %q, and a start of that run before brought %q", key.Number, order.Start.Task, text, before)
	}
	b.startedWith[key] = text
}

// stepFlag reports what a list says of a task's step.
func stepFlag(of map[cottonlanding.WorkflowID][]bool, task cottonlanding.TaskRef) bool {
	return task.Step < len(of[task.Workflow]) && of[task.Workflow][task.Step]
}

// wasListed reports whether a run of the task has listed a text, or of its gang.
func (b *checkpointRecorder) wasListed(task cottonlanding.TaskRef, gang bool, text cottonlanding.Checkpoint) bool {
	for other, texts := range b.listed {
		if gang {
			other.Index = task.Index
		}
		if other == task && texts[text] {
			return true
		}
	}
	return false
}

// fingerprint describes what starts brought and what is to be listed.
func (b *checkpointRecorder) fingerprint() string {
	if b == nil {
		return ""
	}
	return fmt.Sprint(b.startedWith, b.lists)
}

func (b *checkpointRecorder) addFault(format string, values ...any) {
	b.faults = append(b.faults, fmt.Sprintf(format, values...))
}
