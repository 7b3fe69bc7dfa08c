package cottonlanding

import "context"

// RunKey names one run of a task.
type RunKey struct {
	Task   TaskRef
	Number RunNumber
}

// WorkerRef says how to reach one life of a worker. Calls name the worker alone: which life
// takes an order is known only from its next answer to a look.
type WorkerRef struct {
	Life    Life
	Address Address
}

// RunStart tells a worker to start a run.
type RunStart struct {
	RunKey
	Payload string
	// LeaseUntil is when the worker ends everything unless told otherwise, on its
	// own clock. It is never shortened.
	LeaseUntil Reading
	Epoch      Epoch
	// Checkpoint is where the run continues.
	Checkpoint Checkpoint
	// Ticket proves that an advisor allows this worker; empty where none is asked.
	Ticket string
}

// Poll renews a worker's lease and asks what became of its runs.
type Poll struct {
	// LeaseUntil is as in RunStart; zero only looks.
	LeaseUntil Reading
	Epoch      Epoch
	// Seen is the number of the last end that the worker may forget.
	Seen uint64
	// Wait is how long the worker may hold its answer back until a run ends.
	Wait Millis
}

// RunProgress is a run that goes on.
type RunProgress struct {
	RunKey
	Checkpoint Checkpoint
	// Percent is how much is done; for lasting tasks 100 means at work.
	Percent int
	// Tail is the tail latency in the last half second of a task that serves,
	// Used the processors in use of any other; which one it is depends on the step.
	Tail Millis
	Used Millicores
}

// EndKind tells how a run ended.
type EndKind string

// The ends of a run.
const (
	EndDone EndKind = "Done"
	// EndFailed is the task's own fault or the worker's.
	EndFailed  EndKind = "Failed"
	EndStopped EndKind = "Stopped"
	// EndLapsed means that the lease ran out.
	EndLapsed EndKind = "Lapsed"
	// EndBroken means that another run of its gang ended.
	EndBroken EndKind = "Broken"
	// EndAlone means that the others of its gang did not come in time.
	EndAlone EndKind = "Alone"
)

// RunEnd is a run that has ended and that the worker still remembers.
type RunEnd struct {
	RunKey
	// Serial counts the ends within one life of the worker, from 1.
	Serial     uint64
	Kind       EndKind
	Checkpoint Checkpoint
}

// RunReport is a worker's answer to a look.
type RunReport struct {
	// Born is the birth of the life that answers.
	Born    Birth
	Reading Reading
	Running []RunProgress
	Ended   []RunEnd
}

// RunClient gives orders to workers. Besides the errors below, a call fails with
// ErrOtherLife if another life of the worker answered, ErrUnavailable if the
// order certainly had no effect, and ErrAmbiguous if it may have been carried
// out or may yet be.
type RunClient interface {
	// Start starts a run; repeating it is harmless. ErrStaleEpoch means that a
	// newer owner was seen, ErrConflict that this run or a later one has ended,
	// ErrBusy that there is no room, ErrLate that the lease it brings has passed,
	// ErrRefused that it never will start.
	Start(ctx context.Context, worker WorkerRef, start RunStart) (Reading, error)
	// Stop ends a run, and keeps it from starting if it has not come yet.
	Stop(ctx context.Context, worker WorkerRef, run RunKey, epoch Epoch) error
	// Poll returns what goes on and what has ended.
	Poll(ctx context.Context, worker WorkerRef, poll Poll) (RunReport, error)
	// Pace sets the share of its usual speed at which a run works, in percent.
	Pace(ctx context.Context, worker WorkerRef, run RunKey, percent int, epoch Epoch) error
}
