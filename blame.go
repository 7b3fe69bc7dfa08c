package cottonlanding

// CrashRecord is what is kept of a task about workers that were lost while they ran it.
type CrashRecord struct {
	// Losses counts the lives of workers that ended and that the task may have ended.
	Losses int
	// Crashes counts those among them of which the task is the likely cause.
	Crashes int
}

// RunLoss is what an owner knows of a run that was lost with a worker.
type RunLoss struct {
	// LifeEnded says that another life was seen in the place of the one that had the run, or that its
	// entry was gone for good. A lease that ran out says only that owner and worker didn't reach each
	// other.
	LifeEnded bool
	// Answered says that this owner had answers of the life, so that it knows when it fell silent.
	Answered bool
	// StartConfirmed says that the worker told that it had begun the run: a start without an answer may never
	// have reached it.
	StartConfirmed bool
	// Recent says that the run began soon before the end, or that it may have.
	Recent bool
	// Outlived says that the worker listed the run for longer than a task needs that crashes the
	// worker as it starts.
	Outlived bool
	// StandsOut says that the run is one of the few that had just begun, or the only recent one.
	StandsOut bool
	// Unstable says that the worker has ended lately without the task, or, for all that this owner
	// knows, may have; or that it did so with the task, which the end of one worker twice doesn't prove.
	Unstable bool
	// Young says that the life had not gone on for long.
	Young bool
	// Leaving says that the life was about to end anyway.
	Leaving bool
	// ExternalCause says that the policy finds a cause that has nothing to do with the task.
	ExternalCause bool
}

// Finding is what the loss of a run says of its task.
type Finding int

// The findings, weakest first.
const (
	// NoProof says nothing against the task.
	NoProof Finding = iota
	// PossibleCrash means that the task may have crashed the worker, as may others.
	PossibleCrash
	// LikelyCrash means that nothing but the task is known that may have crashed the worker.
	LikelyCrash
)

var findingNames = []string{"NoProof", "PossibleCrash", "LikelyCrash"}

// String returns the finding's name.
func (f Finding) String() string { return findingNames[f] }

// Finding decides what the loss proves. One loss never convicts; a policy and a bound say how many do.
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
	return NoProof // it was at work there, and the worker had another reason to end
}

// CrashView is what is known of others at the end of a worker's life.
type CrashView struct {
	// Unprovoked counts the other workers that fell silent at the same time although they
	// had begun nothing just before.
	Unprovoked int
	// RackSilent of the Rack other workers of its rack fell silent at the same time.
	Rack, RackSilent int
	// Silent of the Workers that the owner knows beside it fell silent at the same time.
	Workers, Silent int
}

// SuspectView is what is known of a task that a worker ran when its life ended.
type SuspectView struct {
	// Record has this loss in it.
	Record CrashRecord
	// Finding is what this loss proves.
	Finding Finding
	// SoleSuspect says that no other run there is a suspect.
	SoleSuspect bool
	// JustStarted says that the run had begun just before.
	JustStarted bool
	// Crash is what is known of others at that time.
	Crash CrashView
}

// BlamePolicy decides which tasks have ended the workers that crashed under them. Nobody
// tells: a worker that crashes reports nothing, and takes all its runs along.
type BlamePolicy interface {
	// Blames reports whether the end of a life may count as a crash of the tasks there: no
	// other cause is known for it.
	Blames(crash CrashView) bool
	// GivesUp reports whether a task is given up after the loss of a worker.
	GivesUp(suspect SuspectView) bool
	// Isolates reports whether a task runs where nothing else begins at the same time, so
	// that a further crash tells whether it was the cause.
	Isolates(record CrashRecord) bool
}
