package planner

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

const (
	specPrefix  = "Specs/"
	statePrefix = "States/"
	// maxPlanWrites bounds the rows that jobs, referrals and withdrawals add to one transaction. The table accepts 100 entries, of
	// which six are needed otherwise: one for the guard, two for the committer's lane row (see the package committer),
	// one each for the learnt interference, the learnt run times and the lease bounds.
	maxPlanWrites = 90
	// maxPlanBytes is the length of the values of a plan, in bytes, from which no further job is added. With one more
	// job, the learnt interference and the learnt run times, and encoded as base64, a plan stays below the table's limit of 1 MB.
	maxPlanBytes = 520_000
	// maxJobWrites is the largest number of rows that one job adds.
	maxJobWrites = 2
	// maxSkippedPlans is how many plans may omit a change before it goes first, which keeps urgent changes from
	// starving others.
	maxSkippedPlans = 4
)

// SpecKey returns the key of the row that holds a workflow's immutable part.
func SpecKey(p cottonlanding.Partition, id cottonlanding.WorkflowID) cottonlanding.Key {
	return p.Key(specPrefix + string(id))
}

// StateKey returns the key of the row that holds a workflow's state.
func StateKey(p cottonlanding.Partition, id cottonlanding.WorkflowID) cottonlanding.Key {
	return p.Key(statePrefix + string(id))
}

// specRow is the part of a workflow that never changes.
type specRow struct {
	Workflow cottonlanding.Workflow
	Queue    cottonlanding.Queue
}

// stateRow is the state of a workflow with its tasks, ordered by round, step and index. The tasks of omitted rounds are
// all done.
type stateRow struct {
	State  cottonlanding.WorkflowState
	Reason string `json:",omitempty"`
	// Placed is encoded as Begun, the name by which older versions know that the workflow may no longer leave the cell.
	Placed bool `json:"Begun,omitempty"`
	// Started alone doesn't make the row dirty: it is written with the next other change, see Cell.Waiting.
	Started bool `json:",omitempty"`
	// DelegatedBy is the cell that delegated the workflow, in the row of a delegated one, which delegated.go explains.
	DelegatedBy *cottonlanding.CellNumber `json:"GuestOf,omitempty"`
	Rounds      roundCount                `json:",omitzero"`
	Tasks       []taskRow                 `json:",omitempty"`
}

// taskRow is encoded as a list of its fields without trailing zero values, which keeps rows short: a row has hundreds
// of tasks and is written with each change of one.
type taskRow struct {
	State      taskState
	Number     cottonlanding.RunNumber
	Life       cottonlanding.Life
	Failures   int
	Checkpoint cottonlanding.Checkpoint
	// Losses and Crashes are the task's CrashRecord.
	Losses  int
	Crashes int
	// ResumeFrom is the checkpoint with which the current run is started, if that isn't Checkpoint.
	ResumeFrom *cottonlanding.Checkpoint
	// OpenLife is the last life whose lease expired under the task and that hasn't been heard from since.
	OpenLife cottonlanding.Life
	// Charged says that the loss of the current run is already counted in Losses (run.lossCounted): the life on which
	// the run was placed has ended, and the next one must still confirm that it won't start it.
	Charged bool
	// Outlived says that the current run has lasted for promptWindow (run.outlastedPromptWindow), that no other copy of its
	// start can be carried out any more, and that it isn't Charged.
	Outlived bool
	// startsRun says that the current run is started with Checkpoint. It isn't encoded.
	startsRun bool
}

// MarshalJSON encodes the fields in order. Losses are negated if the loss of the current run is counted; Crashes become
// -1-Crashes if the current run has lasted for promptWindow.
func (r taskRow) MarshalJSON() ([]byte, error) {
	losses := r.Losses
	if r.Charged {
		losses = -losses
	}
	crashes := r.Crashes
	if r.Outlived {
		crashes = -1 - crashes
	}
	fields := []any{r.State, r.Number, r.Life.String(), r.Failures, r.Checkpoint, losses, crashes, r.ResumeFrom, r.OpenLife.String()}
	set := []bool{r.State != taskWaiting, r.Number > 0, r.Life.Worker != "", r.Failures > 0, r.Checkpoint != "", losses != 0, crashes != 0, r.ResumeFrom != nil, r.OpenLife.Worker != ""}
	for len(set) > 0 && !set[len(set)-1] {
		set = set[:len(set)-1]
	}
	return json.Marshal(fields[:len(set)])
}

// UnmarshalJSON decodes the output of MarshalJSON.
func (r *taskRow) UnmarshalJSON(data []byte) error {
	fields := []any{&r.State, &r.Number, &r.Life, &r.Failures, &r.Checkpoint, &r.Losses, &r.Crashes, &r.ResumeFrom, &r.OpenLife}
	if err := json.Unmarshal(data, &fields); err != nil {
		return err
	}
	r.Charged = r.Losses < 0
	r.Losses = max(r.Losses, -r.Losses)
	if r.Crashes < 0 {
		r.Crashes, r.Outlived = -1-r.Crashes, true
	}
	return nil
}

// Plan is the content of one transaction.
type Plan struct {
	Checks []cottonlanding.Check
	Writes []cottonlanding.Write

	jobs    []*job
	states  []cottonlanding.WorkflowState
	deleted []bool
	runs    []*run
	// delegated holds the tasks whose delegate cells are named in the rows.
	delegated []*task
	callbacks []func(error)
	// recordedEnds holds, for each worker, the last end whose consequences are committed with this plan.
	recordedEnds map[*worker]uint64
	// referred lists the referrals among the writes.
	referred []cottonlanding.WorkflowID
	// withdrawn lists the withdrawals among the writes.
	withdrawn []cottonlanding.WorkflowID
	// learnt says that the row of learnt interference is among the writes.
	learnt bool
	// runTimes says that the row of learnt run times is among the writes.
	runTimes bool
	// bounds says that the row of lease bounds is among the writes.
	bounds bool
	// size is the total length of the values in bytes.
	size int
}

// hasRoom reports whether the plan can take the given number of further writes.
func (p *Plan) hasRoom(writes int) bool {
	return len(p.Writes)+writes <= maxPlanWrites && p.size < maxPlanBytes
}

// add appends writes to the plan and updates its size.
func (p *Plan) add(writes ...cottonlanding.Write) {
	p.Writes = append(p.Writes, writes...)
	for _, write := range writes {
		p.size += len(write.Value)
	}
}

func (p *Plan) includes(id cottonlanding.WorkflowID) bool {
	return slices.ContainsFunc(p.jobs, func(j *job) bool { return j.ID == id })
}

// Plan returns the rows to commit, or nil if there are none or if a plan is in flight.
func (c *Cell) Plan(now cottonlanding.Millis) *Plan {
	if c.inFlight != nil {
		return nil
	}
	if _, due := c.boundsChanged(now); !due && len(c.dirty) == 0 && len(c.unplannedReferrals) == 0 && len(c.unplannedWithdrawals) == 0 &&
		!c.learntDue(now) && !c.runTimesDue(now) {
		c.recordCommittedEnds(c.receivedEnds())
		return nil
	}
	c.plans++
	plan := &Plan{Checks: []cottonlanding.Check{c.setup.Guard}}
	c.planReferrals(plan)
	c.planWithdrawals(plan)
	for _, id := range c.dirtyInOrder(plan) {
		if !plan.hasRoom(maxJobWrites) {
			break
		}
		c.planJob(plan, c.dirty[id], now)
		delete(c.dirty, id)
		plan.callbacks = append(plan.callbacks, c.callbacks[id]...)
		delete(c.callbacks, id)
	}
	plan.recordedEnds = c.endsCommittedWith()
	c.planLearnt(plan, now)
	c.planRunTimes(plan, now)
	c.planBounds(plan, now)
	c.inFlight = plan
	return plan
}

func (c *Cell) planJob(plan *Plan, j *job, now cottonlanding.Millis) {
	spec, state := c.rowKeys(j)
	gone := c.expired(j, now)
	plan.jobs = append(plan.jobs, j)
	j.lastPlan = c.plans
	plan.states = append(plan.states, j.state)
	plan.deleted = append(plan.deleted, gone)
	if gone {
		plan.add(
			cottonlanding.Write{Key: spec, Expect: j.specVersion, Delete: true, Unchecked: true},
			cottonlanding.Write{Key: state, Expect: j.version, Delete: true, Unchecked: true})
		return
	}
	if !j.persisted {
		plan.add(cottonlanding.Write{Key: spec, Value: j.spec, Unchecked: true})
	}
	plan.add(cottonlanding.Write{Key: state, Expect: j.version, Value: encodeWithinLimit(j.row()), Unchecked: true})
	j.eachTask(func(t *task) {
		if t.run != nil && t.run.phase == planned {
			plan.runs = append(plan.runs, t.run)
		}
		if _, found := t.delegateCell(); found {
			plan.delegated = append(plan.delegated, t)
		}
	})
}

// row returns the stored form of the task.
func (t *task) row() taskRow {
	return taskRow{
		State:      t.state,
		Number:     t.number,
		Life:       t.life,
		Failures:   t.failures,
		Checkpoint: t.checkpoint.text,
		Losses:     t.crashes.Losses,
		Crashes:    t.crashes.Crashes,
		ResumeFrom: t.rowResumeFrom(),
		OpenLife:   t.openLife,
		Charged:    t.run != nil && t.run.lossCounted,
		Outlived:   t.run != nil && t.run.outlastedPromptWindow && t.run.pendingStarts == 0 && !t.run.lossCounted,
		startsRun:  t.startsRun(),
	}
}

// row returns the stored form of the job. The tasks of a succeeded job are omitted; those of a failed or cancelled one
// may still be running.
func (j *job) row() stateRow {
	row := stateRow{
		State:       j.state,
		Reason:      truncateReason(j.reason),
		Placed:      j.placed,
		Started:     j.started,
		DelegatedBy: j.delegatedBy,
		Rounds:      roundCount{Begun: len(j.rounds)},
	}
	if j.state == cottonlanding.WorkflowSucceeded {
		return row
	}
	row.Rounds.LeftOut = j.firstInRow()
	j.eachTaskFrom(row.Rounds.LeftOut, func(t *task) {
		if t.state == taskDone {
			row.Tasks = append(row.Tasks, taskRow{State: taskDone}) // nothing else of a done task is read again
			return
		}
		row.Tasks = append(row.Tasks, t.row())
	})
	return row
}

func encode(row any) []byte {
	data, err := json.Marshal(row)
	if err != nil {
		panic(fmt.Sprintf("encode row: %v", err)) // the types have no field that can fail
	}
	return data
}

// Committed records that the plan was committed, with version as the version of all its rows.
func (c *Cell) Committed(plan *Plan, version cottonlanding.Version) {
	c.inFlight = nil
	for i, j := range plan.jobs {
		if plan.deleted[i] {
			delete(c.jobs, j.ID)
			continue
		}
		if !j.persisted {
			j.specVersion, j.spec = version, nil
		}
		j.persisted, j.version, j.committedState = true, version, plan.states[i]
	}
	for _, r := range plan.runs {
		if r.phase == planned {
			r.phase = committed
			r.worker.ordersDue = true
		}
	}
	for _, t := range plan.delegated {
		c.delegationChanged = c.delegationChanged || !t.delegationCommitted || t.job.committedState.Final()
		t.delegationCommitted = true
	}
	c.recordCommittedReferrals(plan.referred, version)
	c.recordCommittedWithdrawals(plan.withdrawn, version)
	if plan.learnt {
		c.learntVersion = version
	}
	if plan.runTimes {
		c.runTimesVersion = version
	}
	if plan.bounds {
		c.recordBounds(version)
	}
	c.recordCommittedEnds(plan.recordedEnds)
	callAll(plan.callbacks, nil)
}
