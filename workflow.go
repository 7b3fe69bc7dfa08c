package cottonlanding

import (
	"fmt"
	"strconv"
	"strings"
)

// Names and numbers of workflows.
type (
	// WorkflowID identifies a workflow; its client chooses it.
	WorkflowID string
	// QueueName names a queue of workflows, as operators declare it.
	QueueName string
	// Image names what the tasks of a step run. Tasks of one image behave alike.
	Image string
	// Label is a property of a worker, such as its kind.
	Label string
	// RunNumber counts the starts of one task of a workflow, from 1.
	RunNumber uint32
)

// Workflow is a job of dependent steps as submitted by its client.
type Workflow struct {
	ID    WorkflowID
	Queue QueueName
	// Payload is passed to every task.
	Payload  string
	Steps    []Step
	Schedule Schedule `json:",omitzero"`
}

// Schedule repeats the steps of a workflow. The zero value runs them once, immediately.
type Schedule struct {
	// First is when the first round is due, in milliseconds since 1970.
	First    int64
	Interval Millis
	Rounds   int
}

// Step is a group of equal tasks.
type Step struct {
	Tasks     int
	Resources Resources
	// Estimate is the client's estimate of a task's run time.
	Estimate Millis `json:",omitempty"`
	// After lists the earlier steps whose tasks must all be done first.
	After []int `json:",omitempty"`
	// Checkpoints says that a stopped task can be continued.
	Checkpoints bool `json:",omitempty"`
	// Gang says that the tasks run only together.
	Gang bool `json:",omitempty"`
	// SameRack asks for one rack for all tasks, where they run faster.
	SameRack bool `json:",omitempty"`
	// Requires is a label that the worker must have; empty allows any worker.
	Requires Label `json:",omitempty"`
	// DataRack is the rack on which the tasks run fastest; empty if there is none.
	DataRack Rack `json:",omitempty"`
	// MostPerWorker is the maximum number of tasks of one round on one worker; zero is unbounded.
	MostPerWorker int `json:",omitempty"`
	// Speculative allows several runs of a task side by side.
	Speculative bool `json:",omitempty"`
	// Lasting tasks run until the workflow is cancelled.
	Lasting bool  `json:",omitempty"`
	Image   Image `json:",omitempty"`
	// LatencyTarget bounds the tail latency that a lasting task offers its own users; zero is none.
	LatencyTarget Millis `json:",omitempty"`
	// Fills says that the tasks use only processor time that others leave unused.
	Fills bool `json:",omitempty"`
	// MayBeAway is how many lasting tasks the scheduler may interrupt at a time.
	MayBeAway int `json:",omitempty"`
}

// Reserved returns the resources of its worker that a task of the step occupies.
func (s Step) Reserved() Resources {
	out := s.Resources
	if s.Fills {
		out.CPU = 0
	}
	return out
}

// Serves reports whether the step's tasks serve users of their own.
func (s Step) Serves() bool { return s.LatencyTarget > 0 && !s.Fills }

// Limits of a workflow.
const (
	// MaxPayload is the maximum length of a payload, in bytes.
	MaxPayload = 4000
	// maxSteps and maxTasks limit one round, so that its state fits a row of the table with worker ids
	// of two dozen bytes.
	maxSteps = 64
	maxTasks = 1000
)

// Check returns ErrCannotRun, wrapped with the reason, for a workflow that is inconsistent.
func (w Workflow) Check() error {
	switch {
	case w.ID == "":
		return fmt.Errorf("%w: the workflow has no id", ErrCannotRun)
	case len(w.Payload) > MaxPayload:
		return fmt.Errorf("%w: a payload of %d bytes, at most %d are allowed", ErrCannotRun, len(w.Payload), MaxPayload)
	case len(w.Steps) == 0 || len(w.Steps) > maxSteps:
		return fmt.Errorf("%w: %d steps, must be 1 to %d", ErrCannotRun, len(w.Steps), maxSteps)
	case w.Schedule.Rounds < 0 || w.Schedule.Rounds > 0 && w.Schedule.Interval < 0:
		return fmt.Errorf("%w: the schedule goes backwards", ErrCannotRun)
	}
	total := 0
	for at, step := range w.Steps {
		if err := step.check(at); err != nil {
			return fmt.Errorf("%w: step %d: %w", ErrCannotRun, at, err)
		}
		total += step.Tasks
	}
	if total > maxTasks {
		return fmt.Errorf("%w: %d tasks, at most %d are allowed", ErrCannotRun, total, maxTasks)
	}
	return nil
}

func (s Step) check(at int) error {
	if s.Tasks < 1 || s.Tasks > maxTasks {
		return fmt.Errorf("%d tasks, must be 1 to %d", s.Tasks, maxTasks)
	}
	if s.Resources.CPU < 0 || s.Resources.Memory < 0 || s.Resources.Accelerators < 0 {
		return fmt.Errorf("negative resources")
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= at {
			return fmt.Errorf("must come after step %d, which is no earlier step", earlier)
		}
	}
	return nil
}

// TaskRef names a task of a workflow.
type TaskRef struct {
	Workflow WorkflowID
	// Round counts the repetitions of the steps, from 0.
	Round int
	Step  int
	Index int
}

// String returns the name as "workflow.round.step.index".
func (t TaskRef) String() string {
	return string(t.Workflow) + "." + strconv.Itoa(t.Round) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// ParseTaskRef reads what TaskRef.String returns.
func ParseTaskRef(text string) (TaskRef, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskRef{}, fmt.Errorf("%q names no task", text)
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		number, err := strconv.Atoi(part)
		if err != nil || number < 0 {
			return TaskRef{}, fmt.Errorf("%q names no task: %q is no number", text, part)
		}
		numbers[i] = number
	}
	return TaskRef{Workflow: WorkflowID(parts[0]), Round: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// WorkflowState is the state of a workflow.
type WorkflowState string

// The states of a workflow. The last three are final.
const (
	WorkflowPending WorkflowState = "Pending"
	// WorkflowRunning means that a task was placed on a worker, which may not have started it yet.
	WorkflowRunning   WorkflowState = "Running"
	WorkflowSucceeded WorkflowState = "Succeeded"
	WorkflowFailed    WorkflowState = "Failed"
	WorkflowCancelled WorkflowState = "Cancelled"
)

// Final reports whether the state never changes again.
func (s WorkflowState) Final() bool { return s != WorkflowPending && s != WorkflowRunning }

// Queue is a queue of workflows as declared by operators.
type Queue struct {
	Name QueueName
	// Service names the workers that run the queue's tasks.
	Service ServiceName
	// Priority orders queues; zero goes first.
	Priority int
	// Attempts is how many runs of a task may fail before its workflow fails.
	Attempts int
	// Stretch times the longest chain of work, plus LatencyTarget, is the time in which a workflow
	// should be done.
	Stretch       float64
	LatencyTarget Millis
}

// Queues is one version of the operators' queues.
type Queues struct {
	Version Generation
	Queues  map[QueueName]Queue
}
