package cottonlanding

// CrashRecord counts the losses of workers that are held against a task of a workflow. Task.Lost is the
// count for jobs, by another rule.
type CrashRecord struct {
	// Losses counts the lives of workers whose end the task may have caused.
	Losses int
	// Crashes counts those of the losses of which the task is the likely cause.
	Crashes int
}

// RunLoss describes, as far as the owner of the cell knows, a run that was lost with its worker.
type RunLoss struct {
	// LifeEnded says that another life was seen in place of the one that had the run, or that its
	// entry was gone for good. An expired lease shows only that owner and worker could not reach each
	// other.
	LifeEnded bool
	// Answered says that this owner received answers of that life, so that it knows when the life
	// stopped answering.
	Answered bool
	// StartConfirmed says that the worker confirmed the start. A start without an answer may never
	// have reached it.
	StartConfirmed bool
	// Recent says that the run began shortly before the end, or may have.
	Recent bool
	// Outlived says that the worker listed the run for longer than a task takes that crashes its
	// worker at the start.
	Outlived bool
	// StandsOut says that the run is one of the few that had just begun, or the only recent one.
	StandsOut bool
	// Unstable says that the worker itself may be faulty: an earlier life of it ended recently although
	// no run had just begun, or may have as far as this owner knows, or the task was a suspect of the
	// end of the life before as well. Two ends of one worker prove nothing against a task.
	Unstable bool
	// Young says that the life had lasted only for a short time.
	Young bool
	// Leaving says that the life was about to end in any case.
	Leaving bool
	// ExternalCause says that the policy finds a cause unrelated to the task.
	ExternalCause bool
}

// Finding says how strongly the loss of a run points to its task.
type Finding int

// The findings, weakest first.
const (
	// NoProof means that nothing points to the task.
	NoProof Finding = iota
	// PossibleCrash means that the task may have crashed the worker, as may others.
	PossibleCrash
	// LikelyCrash means that no cause but the task is known.
	LikelyCrash
)

var findingNames = []string{"NoProof", "PossibleCrash", "LikelyCrash"}

// String returns the finding's name.
func (f Finding) String() string { return findingNames[f] }

// Finding returns what the loss proves. No task is given up for a single loss; a policy and a limit
// decide after how many.
func (l RunLoss) Finding() Finding {
	unexplained := l.Answered && !l.Unstable && !l.Leaving && !l.ExternalCause && !(l.Outlived && l.Young)
	switch {
	case !l.LifeEnded || !l.Recent:
		return NoProof
	case unexplained && l.StartConfirmed && l.StandsOut:
		return LikelyCrash
	case unexplained || !l.Outlived:
		return PossibleCrash
	}
	return NoProof // the run had outlived its start, and the end has another explanation
}

// CrashView describes the other workers at the end of a worker's life.
type CrashView struct {
	// Unprovoked counts those that stopped answering at the same time although they had started
	// nothing just before.
	Unprovoked int
	// RackSilent of the Rack other workers of the same rack stopped answering at the same time.
	Rack, RackSilent int
	// Silent of all the Workers that the owner knows besides this one stopped answering at the same
	// time.
	Workers, Silent int
}

// SuspectView describes a task that ran on a worker when the worker's life ended.
type SuspectView struct {
	// Record includes this loss.
	Record CrashRecord
	// Finding is what this loss proves.
	Finding Finding
	// SoleSuspect says that no other run on the worker is a suspect.
	SoleSuspect bool
	// JustStarted says that the run had begun just before.
	JustStarted bool
	// Crash describes the other workers at that time.
	Crash CrashView
}

// BlamePolicy attributes crashes of workers to tasks. A worker that crashes reports nothing, and all
// its runs are lost with it.
type BlamePolicy interface {
	// Blames reports whether the end of a life may count as a crash of the tasks on the worker: no
	// other cause is known for it.
	Blames(crash CrashView) bool
	// GivesUp reports whether a task is given up after the loss of a worker.
	GivesUp(suspect SuspectView) bool
	// Isolates reports whether a task runs on a worker where nothing else begins at the same time, so
	// that another crash shows whether the task was the cause.
	Isolates(record CrashRecord) bool
}
