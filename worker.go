package cottonlanding

import "context"

// Reading is the time of a worker's own clock when it answered. It has a meaning for that worker only.
type Reading int64

// Fence proves that a command comes from the newest owner of a cell, is meant for the current life of
// the worker, and is fresh. The worker refuses it after Reading + TTL on its own clock, however long
// the network delayed it.
type Fence struct {
	Cell        CellID
	Epoch       Epoch
	Incarnation Incarnation
	Reading     Reading
	TTL         Millis
	// Digest is the digest of the last inventory that the owner has, or empty.
	Digest string
}

// RunState is the state of a task at its worker.
type RunState string

// The states of a task at its worker.
const (
	Running  RunState = "Running"
	Finished RunState = "Finished"
	Failed   RunState = "Failed"
	// Saved means that the task was checkpointed and has stopped.
	Saved RunState = "Saved"
)

// TaskRun is one attempt as the worker reports it.
type TaskRun struct {
	Task       TaskID
	Attempt    Attempt
	State      RunState
	Resources  Resources
	Checkpoint ObjectName
	Result     string
	// Ran is how long the attempt has run.
	Ran Millis
	// Used is the usage of the attempt at its last measurement; it lags.
	Used Resources
}

// Inventory is a worker's answer: its identity and all runs that it executes or whose results it
// keeps.
type Inventory struct {
	Worker      WorkerID
	Incarnation Incarnation
	Epoch       Epoch
	Reading     Reading
	// LeaseRemaining is how long the lease lasts, counted from Reading.
	LeaseRemaining Millis
	// Leaving says that the worker is about to end and takes nothing new.
	Leaving bool
	// Digest changes with the tasks, attempts and states of Runs, and with the worker's life.
	Digest string
	// Unchanged says that Runs is left out because Digest equals that of the fence.
	Unchanged bool
	Runs      []TaskRun
}

// Start is the order to run one attempt of a task.
type Start struct {
	Fence      Fence
	Task       TaskID
	Attempt    Attempt
	Resources  Resources
	RunTime    Millis
	Payload    string
	Checkpoint ObjectName
}

// Command is an order that concerns a task's attempt.
type Command struct {
	Fence   Fence
	Task    TaskID
	Attempt Attempt
	// Object is where a checkpoint is stored.
	Object ObjectName
	// Percent is the share of its processors that a throttled task keeps.
	Percent int
}

// WorkerClient sends orders to workers. A worker refuses an epoch lower than the highest it has seen
// with ErrStaleEpoch, and what it will never carry out with ErrRefused. ErrUnavailable and
// ErrAmbiguous are as for Table.
type WorkerClient interface {
	// Renew extends the lease to the fence's Reading + TTL on the worker's clock and returns the
	// worker's inventory. A fence with another incarnation or without a reading presents the epoch and
	// grants nothing.
	Renew(ctx context.Context, worker Address, fence Fence) (Inventory, error)
	// Start runs an attempt once, however often it is called. ErrBusy means that the worker did not
	// start it now but may later.
	Start(ctx context.Context, worker Address, start Start) error
	// Stop ends an attempt, which the worker refuses from then on.
	Stop(ctx context.Context, worker Address, command Command) error
	// Checkpoint saves an attempt to the object store and stops it.
	Checkpoint(ctx context.Context, worker Address, command Command) error
	// Throttle limits the processor usage of an attempt.
	Throttle(ctx context.Context, worker Address, command Command) error
	// Acknowledge allows the worker to forget the result of an attempt.
	Acknowledge(ctx context.Context, worker Address, command Command) error
}
