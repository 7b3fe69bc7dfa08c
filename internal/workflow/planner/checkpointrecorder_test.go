package planner_test

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// maxCheckpointsPerRun is how many checkpoints a run lists before its end.
const maxCheckpointsPerRun = 3

// checkpointRecorder makes workers list a new checkpoint for each run in each answer, whether or not its step
// checkpoints, and checks the checkpoint of each start against those listed.
type checkpointRecorder struct {
	// checkpointing and gangs hold for each workflow which of its steps checkpoint and which are gangs.
	checkpointing, gangs map[cottonlanding.WorkflowID][]bool
	listed               map[cottonlanding.TaskRef]map[cottonlanding.Checkpoint]bool
	// lists counts the answers that list a run as running, up to maxCheckpointsPerRun+1.
	lists map[cottonlanding.RunKey]int
	// startedWith is the checkpoint that a run is started with; the members of a gang share one entry.
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

// submitCheckpointing submits a workflow and records which of its steps checkpoint.
func (w *world) submitCheckpointing(id cottonlanding.WorkflowID, steps ...cottonlanding.Step) {
	w.submitRounds(id, 0, steps...)
}

// roundInterval is the time between two rounds of submitRounds.
const roundInterval = 400 * cottonlanding.Millis(1)

// submitRounds is submitCheckpointing with a schedule, unless rounds is zero.
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

// fillReport adds checkpoints to the answer of a worker. A run that continues has none the first time it is listed.
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
	checkpoint := cottonlanding.Checkpoint(fmt.Sprintf("%s#%d/%s", key.Task, key.Number, when))
	if b.listed[key.Task] == nil {
		b.listed[key.Task] = make(map[cottonlanding.Checkpoint]bool)
	}
	b.listed[key.Task][checkpoint] = true
	return checkpoint
}

// recordOrder checks a start against the listed checkpoints and against the other starts of its run.
func (b *checkpointRecorder) recordOrder(order planner.Order) {
	if b == nil || order.Verb != planner.VerbStart {
		return
	}
	key, checkpoint := order.Start.RunKey, order.Start.Checkpoint
	gang := stepFlag(b.gangs, key.Task)
	switch {
	case checkpoint == "":
	case !stepFlag(b.checkpointing, key.Task):
		b.addFault("run %d of %s starts with checkpoint %q, but its step doesn't checkpoint", key.Number, key.Task, checkpoint)
	case !b.wasListed(key.Task, gang, checkpoint):
		b.addFault("run %d of %s starts with checkpoint %q, which no run of the task listed", key.Number, key.Task, checkpoint)
	}
	if gang {
		key.Task.Index = 0
	}
	if before, found := b.startedWith[key]; found && before != checkpoint {
		b.addFault("run %d of %s starts with checkpoint %q, but an earlier start of it had %q", key.Number, order.Start.Task, checkpoint, before)
	}
	b.startedWith[key] = checkpoint
}

// stepFlag returns the entry of a task's step.
func stepFlag(of map[cottonlanding.WorkflowID][]bool, task cottonlanding.TaskRef) bool {
	return task.Step < len(of[task.Workflow]) && of[task.Workflow][task.Step]
}

// wasListed reports whether a run of the task, or of its gang, has listed a checkpoint.
func (b *checkpointRecorder) wasListed(task cottonlanding.TaskRef, gang bool, checkpoint cottonlanding.Checkpoint) bool {
	for other, checkpoints := range b.listed {
		if gang {
			other.Index = task.Index
		}
		if other == task && checkpoints[checkpoint] {
			return true
		}
	}
	return false
}

// fingerprint describes the recorded starts and the number of answers that listed each run.
func (b *checkpointRecorder) fingerprint() string {
	if b == nil {
		return ""
	}
	return fmt.Sprint(b.startedWith, b.lists)
}

func (b *checkpointRecorder) addFault(format string, values ...any) {
	b.faults = append(b.faults, fmt.Sprintf(format, values...))
}
