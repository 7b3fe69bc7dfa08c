package planner

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cottonlanding/cottonlanding"
)

// The table refuses a state row that is too long, and its owner then loses the cell. So a job tracks an upper bound
// of its row's size without checkpoints, which encodeWithinLimit drops one by one. What happens to a task without a
// decision of its owner, such as failures and losses, is counted in advance; what the owner decides, such as
// beginning a round, waits until there is room.

const (
	// rowOverheadBytes is more than a state row takes beside its tasks.
	rowOverheadBytes = 1000
	// maxReasonBytes bounds the encoded size of a reason.
	maxReasonBytes = 700
	// doneBytes is the size of a task that is done.
	doneBytes = len(`["D"],`)
	// waitingBytes is the largest size of any other task without the life of its worker: with the largest run
	// number, maxFailures, and as many losses as a task can have that is not given up.
	waitingBytes = len(`["",4294967295,"",999,"",-5,5],`)
	// maxFailures bounds the attempts of a task, so that they have three digits.
	maxFailures = 999
	// typicalBytes is reserved for each task of a round that is not done, so that it can be placed on a worker with
	// an id of typical length.
	typicalBytes = 60
	// maxRoundsBytes is the row size up to which rounds are begun. It leaves room for the longest life of a worker,
	// so that something can always run. One round with as many tasks as a workflow may have takes less.
	maxRoundsBytes = maxRowBytes - 2000
)

// rowSize is an upper bound of the size of a state row.
type rowSize struct {
	// undone and done count the tasks in the row.
	undone, done int
	// lives is the size of the worker lives on which tasks are placed, open the size of those that tasks have left
	// open, in bytes.
	lives, open int
	// remote is the size of the states of tasks that other cells hold (task.remote), in bytes.
	remote int
}

// bytes returns the upper bound of the row's size.
func (s rowSize) bytes() int {
	return rowOverheadBytes + s.undone*waitingBytes + s.done*doneBytes + s.lives + s.open + s.remote
}

// typicalBytes returns the size of the row if all tasks that are not done run on workers with ids of typical
// length.
func (s rowSize) typicalBytes() int {
	return rowOverheadBytes + s.undone*typicalBytes + s.done*doneBytes
}

// fitsRounds reports whether the row may have all its rounds.
func (s rowSize) fitsRounds() bool { return max(s.bytes(), s.typicalBytes()) <= maxRoundsBytes }

// recordDone counts a task as done.
func (s *rowSize) recordDone() {
	s.undone--
	s.done++
}

// lifeBytes returns an upper bound of the size that a task takes in addition while it is placed on a life of a
// worker.
func lifeBytes(life cottonlanding.Life) int {
	if life == (cottonlanding.Life{}) {
		return 0
	}
	return len(taskAssigned) + encodedBytes(life.String())
}

// maxEscapedByte is the size of a byte of text that is written as an escape.
const maxEscapedByte = len(`\u0000`)

// encodedBytes returns an upper bound of the encoded size of a text, without its quotes.
func encodedBytes(text string) int {
	count := 0
	for at := range len(text) {
		if text[at] < ' ' || text[at] > '~' || strings.IndexByte(`"\<>&`, text[at]) >= 0 {
			count += maxEscapedByte
			continue
		}
		count++
	}
	return count
}

// setLife sets the life on which the task is placed; the zero value is none.
func (t *task) setLife(life cottonlanding.Life) {
	t.job.size.lives += lifeBytes(life) - lifeBytes(t.life)
	t.life = life
}

// hasRoomForLives reports whether the row has room for lives of so many more bytes. If necessary, the first
// finished rounds are dropped from it.
func (j *job) hasRoomForLives(bytes int) bool {
	if j.size.bytes()+bytes <= maxRowBytes {
		return true
	}
	j.dropFinishedRounds()
	j.dropOpenLives()
	return j.size.bytes()+bytes <= maxRowBytes
}

// maxLifeBytes is the size of a worker's life in a row, with the longest birth and the longest id that the platform
// allows, without escapes.
const maxLifeBytes = len(taskAssigned) + 200 + len("@-1y2p0ij32e8e8")

// checkRowFits returns ErrCannotRun for a workflow whose row can never hold all tasks that must be placed at once
// on the workers that the cell knows.
func (c *Cell) checkRowFits(workflow cottonlanding.Workflow, queue cottonlanding.Queue) error {
	if rowFits(workflow, maxLifeBytes) {
		return nil
	}
	longest := c.longestLifeBytes(queue.Service)
	if rowFits(workflow, longest) {
		return nil
	}
	return fmt.Errorf(
		"%w: its lasting tasks and its largest gang must be placed at once, which may take over %d bytes to keep where a worker takes %d",
		cottonlanding.ErrCannotRun, maxRowBytes, longest)
}

// longestLifeBytes returns the largest size of a life of the service's workers in a row.
func (c *Cell) longestLifeBytes(service cottonlanding.ServiceName) int {
	longest := 0
	for _, w := range c.workers {
		if w.info.Service == service {
			longest = max(longest, lifeBytes(w.life()))
		}
	}
	return longest
}

// rowFits reports whether a workflow's row has room for all rounds that are open at the same time, with its lasting
// tasks and its largest gang placed on lives of the given size in bytes. Rounds with lasting tasks never finish, so
// none of them is dropped.
func rowFits(workflow cottonlanding.Workflow, life int) bool {
	lasting, gang := 0, 0
	for _, step := range workflow.Steps {
		switch {
		case step.Lasting:
			lasting += step.Tasks
		case step.Gang:
			gang = max(gang, step.Tasks)
		}
	}
	tasks := tasksPerRound(workflow)
	size := rowSize{undone: tasks, lives: (lasting + gang) * life}
	if lasting > 0 {
		earlier := min(max(0, workflow.Schedule.Rounds-1), maxRowBytes) // more never have room
		size.undone += earlier * lasting
		size.done += earlier * (tasks - lasting)
		size.lives += earlier * lasting * life
	}
	return size.typicalBytes() <= maxRoundsBytes && size.bytes() <= maxRowBytes
}

func tasksPerRound(workflow cottonlanding.Workflow) int {
	count := 0
	for _, step := range workflow.Steps {
		count += step.Tasks
	}
	return count
}

// hasRoomForRound reports whether another round can begin. If necessary, the first finished rounds are dropped from
// the row.
func (j *job) hasRoomForRound() bool {
	if j.sizeWithRound().fitsRounds() {
		return true
	}
	j.dropFinishedRounds()
	j.dropOpenLives()
	return j.sizeWithRound().fitsRounds()
}

// sizeWithRound returns the size of the row with one more round.
func (j *job) sizeWithRound() rowSize {
	size := j.size
	size.undone += tasksPerRound(j.Workflow)
	return size
}

// dropFinishedRounds drops the first finished rounds from the row.
func (j *job) dropFinishedRounds() {
	for j.leftOut < len(j.rounds) && j.rounds[j.leftOut].finished() {
		j.leftOut++
		j.size.done -= tasksPerRound(j.Workflow)
	}
}

// firstInRow returns the first round whose tasks the row holds. As long as there is room, it holds the tasks of all
// rounds, so that older code can read it.
func (j *job) firstInRow() int {
	all := j.size
	all.done += j.leftOut * tasksPerRound(j.Workflow)
	if all.bytes() <= maxRowBytes {
		return 0
	}
	return j.leftOut
}

// withdrawUnstartedRounds withdraws the last rounds of which nothing has begun until the row has room for all
// rounds: owners of older code have begun them regardless of its size. They begin again when there is room.
func (j *job) withdrawUnstartedRounds() {
	if j.size.fitsRounds() {
		return
	}
	j.dropFinishedRounds()
	for last := len(j.rounds) - 1; last > j.leftOut && !j.size.fitsRounds() && j.rounds[last].neverStarted(); last-- {
		delete(j.rounds, last)
		j.size.undone -= tasksPerRound(j.Workflow)
	}
}

// neverStarted reports whether no task of the round was ever placed.
func (r *round) neverStarted() bool {
	for _, s := range r.steps {
		for _, t := range s.tasks {
			if t.state != taskWaiting || t.number > 0 {
				return false
			}
		}
	}
	return true
}

// truncateReason shortens a reason to at most maxReasonBytes in a row.
func truncateReason(reason string) string {
	for encodedBytes(reason) > maxReasonBytes {
		excess := encodedBytes(reason) - maxReasonBytes
		reason = strings.ToValidUTF8(reason[:len(reason)-max(1, excess/maxEscapedByte)], "")
	}
	return reason
}

// roundCount counts the rounds of a state row. It is encoded as a number, or as a list with the number of the first
// finished rounds whose tasks the row leaves out. Older code refuses the list, and so does not take the tasks for
// those of earlier rounds.
type roundCount struct {
	Begun   int
	LeftOut int
}

// MarshalJSON encodes the count as a number, or as a list if rounds are left out.
func (r roundCount) MarshalJSON() ([]byte, error) {
	if r.LeftOut == 0 {
		return json.Marshal(r.Begun)
	}
	return json.Marshal([]int{r.Begun, r.LeftOut})
}

// UnmarshalJSON decodes what MarshalJSON returns; older code has written numbers only.
func (r *roundCount) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] == '[' {
		return json.Unmarshal(data, &[]any{&r.Begun, &r.LeftOut})
	}
	return json.Unmarshal(data, &r.Begun)
}
