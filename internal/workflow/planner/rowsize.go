package planner

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cottonlanding/cottonlanding"
)

// The table refuses a state row that is too long, and with it the owner loses its cell. So a
// job counts the most bytes that its row can take without texts, which encodeFitting leaves out
// one by one. Whatever happens to a task without a decision of its owner, such as failures and
// losses, is counted in advance; what the owner decides, such as to begin a round, waits until
// there is room.

const (
	// rowOverheadBytes is more than a state row takes beside its tasks.
	rowOverheadBytes = 1000
	// maxReasonBytes is what a reason takes in a row at most, in bytes.
	maxReasonBytes = 700
	// doneBytes is what a task takes that is done.
	doneBytes = len(`["D"],`)
	// waitingBytes is the most that any other takes but for the life of its worker: with the
	// largest run number, mostFailures, and as many losses as a task can have that isn't given up.
	waitingBytes = len(`["",4294967295,"",999,"",-5,5],`)
	// maxFailures bounds the attempts of a task, so that they have three digits.
	maxFailures = 999
	// typicalBytes is what is kept for each task of a round that isn't done, so that it can be
	// placed on a worker with an id of usual length.
	typicalBytes = 60
	// maxRoundsBytes is up to where rounds are begun, in bytes. It leaves room for the longest
	// life of a worker, so that something can always run. A round of as many tasks as a
	// workflow may have takes less.
	maxRoundsBytes = maxRowBytes - 2000
)

// rowSize bounds the length of a state row.
type rowSize struct {
	// undone and done count the tasks in the row.
	undone, done int
	// lives is what the lives of the workers take on which tasks are placed, open what those take
	// that tasks have left open, in bytes.
	lives, open int
	// remote is what the states of tasks take that aren't run here, in bytes.
	remote int
}

// bytes returns the most that the row takes.
func (s rowSize) bytes() int {
	return rowOverheadBytes + s.undone*waitingBytes + s.done*doneBytes + s.lives + s.open + s.remote
}

// typicalBytes returns what the row takes if all tasks that aren't done run on workers with ids of
// usual length.
func (s rowSize) typicalBytes() int {
	return rowOverheadBytes + s.undone*typicalBytes + s.done*doneBytes
}

// fitsRounds reports whether the row may have all its rounds.
func (s rowSize) fitsRounds() bool { return max(s.bytes(), s.typicalBytes()) <= maxRoundsBytes }

// recordDone counts a task that is done from now on.
func (s *rowSize) recordDone() {
	s.undone--
	s.done++
}

// lifeBytes returns the most that a task takes more in a row while it's placed on a life of a
// worker.
func lifeBytes(life cottonlanding.Life) int {
	if life == (cottonlanding.Life{}) {
		return 0
	}
	return len(taskAssigned) + encodedBytes(life.String())
}

// maxEscapedByte is what a byte of a text takes at most that is written as an escape.
const maxEscapedByte = len(`\u0000`)

// encodedBytes returns the most that a text takes in a row, without its quotes.
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

// setLife notes on which life the task is placed; the zero value is none.
func (t *task) setLife(life cottonlanding.Life) {
	t.job.size.lives += lifeBytes(life) - lifeBytes(t.life)
	t.life = life
}

// hasRoomForLives reports whether the row takes lives of so many bytes more. If need be, the first
// rounds that are finished are left out of it.
func (j *job) hasRoomForLives(bytes int) bool {
	if j.size.bytes()+bytes <= maxRowBytes {
		return true
	}
	j.dropFinishedRounds()
	j.dropOpenLives()
	return j.size.bytes()+bytes <= maxRowBytes
}

// maxLifeBytes is what the life of a worker takes in a row, with the birth that takes most, whose id
// is the longest that the platform allows and is written as it is.
const maxLifeBytes = len(taskAssigned) + 200 + len("@-1y2p0ij32e8e8")

// checkRowFits returns ErrCannotRun for a workflow whose row never has room for all that must be
// placed at once on the workers that the cell knows.
func (c *Cell) checkRowFits(workflow cottonlanding.Workflow, queue cottonlanding.Queue) error {
	if rowFits(workflow, maxLifeBytes) {
		return nil
	}
	longest := c.longestLifeBytes(queue.Service)
	if rowFits(workflow, longest) {
		return nil
	}
	return fmt.Errorf("%w: its lasting tasks and its largest gang must be placed at once, which may take over %d bytes to keep where a worker takes %d",
		cottonlanding.ErrCannotRun, maxRowBytes, longest)
}

// longestLifeBytes returns the most that the life of a service's worker takes in a row, in bytes.
func (c *Cell) longestLifeBytes(service cottonlanding.ServiceName) int {
	longest := 0
	for _, w := range c.workers {
		if w.info.Service == service {
			longest = max(longest, lifeBytes(w.life()))
		}
	}
	return longest
}

// rowFits reports whether a workflow's row has room for all rounds that are open at the same
// time, with its lasting tasks and its largest gang placed on lives of so many bytes. Rounds with
// lasting tasks are never finished, so that none of them is left out.
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
		earlier := min(max(0, workflow.Schedule.Rounds-1), maxRowBytes) // more have no room in any case
		size.undone += earlier * lasting
		size.done += earlier * (tasks - lasting)
		size.lives += earlier * lasting * life
	}
	return size.typicalBytes() <= maxRoundsBytes && size.bytes() <= maxRowBytes
}

// tasksPerRound counts the tasks of one round.
func tasksPerRound(workflow cottonlanding.Workflow) int {
	count := 0
	for _, step := range workflow.Steps {
		count += step.Tasks
	}
	return count
}

// hasRoomForRound reports whether another round can begin. If need be, the first rounds
// that are finished are left out of the row.
func (j *job) hasRoomForRound() bool {
	if j.sizeWithRound().fitsRounds() {
		return true
	}
	j.dropFinishedRounds()
	j.dropOpenLives()
	return j.sizeWithRound().fitsRounds()
}

// sizeWithRound returns the size of the row with another round.
func (j *job) sizeWithRound() rowSize {
	size := j.size
	size.undone += tasksPerRound(j.Workflow)
	return size
}

// dropFinishedRounds has the row leave out the first rounds that are finished.
func (j *job) dropFinishedRounds() {
	for j.leftOut < len(j.rounds) && j.rounds[j.leftOut].finished() {
		j.leftOut++
		j.size.done -= tasksPerRound(j.Workflow)
	}
}

// firstInRow returns the first round of which the row has the tasks: as long as there is room it
// has those of all, so that older code can read it.
func (j *job) firstInRow() int {
	all := j.size
	all.done += j.leftOut * tasksPerRound(j.Workflow)
	if all.bytes() <= maxRowBytes {
		return 0
	}
	return j.leftOut
}

// withdrawUnstartedRounds takes back the last rounds of which nothing has begun until the row holds all
// rounds: owners of older code have begun them without regard to that. They begin again
// when there is room.
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

// truncateReason returns a reason that a row can hold.
func truncateReason(reason string) string {
	for encodedBytes(reason) > maxReasonBytes {
		excess := encodedBytes(reason) - maxReasonBytes
		reason = strings.ToValidUTF8(reason[:len(reason)-max(1, excess/maxEscapedByte)], "")
	}
	return reason
}

// roundCount counts the rounds of a state row. It is written as a number, or as a list with
// the number of the first rounds that are finished and whose tasks the row leaves out. Code that
// doesn't know of that refuses the list: it would take the tasks for those of earlier rounds.
type roundCount struct {
	Begun   int
	LeftOut int
}

// MarshalJSON writes the count.
func (r roundCount) MarshalJSON() ([]byte, error) {
	if r.LeftOut == 0 {
		return json.Marshal(r.Begun)
	}
	return json.Marshal([]int{r.Begun, r.LeftOut})
}

// UnmarshalJSON reads what MarshalJSON wrote, or a number as older code has written it.
func (r *roundCount) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] == '[' {
		return json.Unmarshal(data, &[]any{&r.Begun, &r.LeftOut})
	}
	return json.Unmarshal(data, &r.Begun)
}
