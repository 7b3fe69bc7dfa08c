package cottonlanding

// CrashRecord is what is kept of a task about workers that were lost while they ran it.
type CrashRecord struct {
	// Losses counts the lives of workers that ended soon after the task began there, for
	// whatever cause.
	Losses int
	// Crashes counts those among them that the task may have ended.
	Crashes int
}

// CrashView is what is known of the end of a worker's life.
type CrashView struct {
	// Sure says that the worker crashed under this owner: it had answered, and another life
	// has come in its place. Else it may go on behind a cut, or nobody knows when it crashed.
	Sure bool
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
	// Suspect says that the run had begun just before the worker's end, or alone soon before,
	// and that the policy blames the tasks there.
	Suspect bool
	// Alone says that no other run there is a suspect.
	Alone bool
	// Prompt says that the run had begun just before.
	Prompt bool
}

// BlamePolicy decides which tasks have ended the workers that crashed under them. Nobody
// tells: a worker that crashes reports nothing, and takes all its runs along.
type BlamePolicy interface {
	// Blames reports whether the end of a life counts as a crash of the tasks that may have
	// ended it.
	Blames(crash CrashView) bool
	// Convicts reports whether a task is given up after the loss of a worker.
	Convicts(suspect SuspectView) bool
	// Isolates reports whether a task runs where nothing else begins at the same time, so
	// that a further crash tells whether it was the cause.
	Isolates(record CrashRecord) bool
}
