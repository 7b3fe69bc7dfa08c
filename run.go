package cottonlanding

import "context"

// RunKey identifies one run of a task.
type RunKey struct {
	Task   TaskRef
	Number RunNumber
}

// WorkerRef says how to reach one life of a worker. Calls address the worker alone; which life
// received an order is known only from the worker's next answer to a poll.
type WorkerRef struct {
	Life    Life
	Address Address
}

// RunStart is the order to start a run.
type RunStart struct {
	RunKey
	Payload string
	// LeaseUntil is when the worker, by its own clock, ends all runs unless the lease is renewed. It
	// never moves back.
	LeaseUntil Reading
	Epoch      Epoch
	// Checkpoint is where the run continues.
	Checkpoint Checkpoint
	// Ticket is the permission of an external placement advisor to run on this worker, which is sent
	// with the order; empty if no advisor is asked. The scheduler asks none.
	Ticket string
}

// Poll renews a worker's lease and asks for the state of its runs.
type Poll struct {
	// LeaseUntil is as in RunStart; zero renews nothing.
	LeaseUntil Reading
	Epoch      Epoch
	// Seen is the serial number of the last end that the worker may forget.
	Seen uint64
	// Wait is for how long the worker may hold back its answer until a run ends.
	Wait Millis
}

// RunProgress describes a run that has not ended.
type RunProgress struct {
	RunKey
	Checkpoint Checkpoint
	// Percent is how much is done; for lasting tasks 100 means that the task is at work.
	Percent int
	// Tail is the tail latency of a serving task over the last half second, Used the processors in use
	// by any other task; the step determines which of the two applies.
	Tail Millis
	Used Millicores
}

// EndKind says how a run ended.
type EndKind string

// The ends of a run.
const (
	EndDone EndKind = "Done"
	// EndFailed means a failure of the task or of the worker.
	EndFailed  EndKind = "Failed"
	EndStopped EndKind = "Stopped"
	// EndLapsed means that the lease expired.
	EndLapsed EndKind = "Lapsed"
	// EndBroken means that another run of the gang ended.
	EndBroken EndKind = "Broken"
	// EndAlone means that the other runs of the gang did not arrive in time.
	EndAlone EndKind = "Alone"
)

// RunEnd is a run that has ended and that the worker still reports.
type RunEnd struct {
	RunKey
	// Serial counts the ends within one life of the worker, from 1.
	Serial     uint64
	Kind       EndKind
	Checkpoint Checkpoint
}

// RunReport is a worker's answer to a poll.
type RunReport struct {
	// Born is the birth of the life that answers.
	Born    Birth
	Reading Reading
	Running []RunProgress
	Ended   []RunEnd
}

// RunClient sends orders to workers. Besides the errors below, a call fails with ErrOtherLife if
// another life of the worker answered, ErrUnavailable if the order is known to have had no effect, and
// ErrAmbiguous if it may have been carried out or may still be.
type RunClient interface {
	// Start starts a run; it is idempotent. ErrStaleEpoch means that the worker has seen a newer
	// owner, ErrConflict that this run or a later one has ended, ErrBusy that there is no room,
	// ErrLate that the lease in the order has expired, ErrRefused that the run will never start.
	Start(ctx context.Context, worker WorkerRef, start RunStart) (Reading, error)
	// Stop ends a run, or prevents its start if the start has not arrived yet.
	Stop(ctx context.Context, worker WorkerRef, run RunKey, epoch Epoch) error
	// Poll returns the runs that go on and those that have ended.
	Poll(ctx context.Context, worker WorkerRef, poll Poll) (RunReport, error)
	// Pace sets the share of its usual speed at which a run works, in percent.
	Pace(ctx context.Context, worker WorkerRef, run RunKey, percent int, epoch Epoch) error
}
