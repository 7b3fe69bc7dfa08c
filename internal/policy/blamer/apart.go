package blamer

import "github.com/cottonlanding/cottonlanding"

const (
	// earlyCrashLimit is how many crashes convict a task that was the only suspect of the
	// last, right after it had begun. One proves nothing: ten others began beside it.
	earlyCrashLimit = 2
	// lateCrashLimit is the same for a crash that came later, as those without a culprit do, or while
	// others crashed.
	lateCrashLimit = 3
	// massFailureDivisor is the part of the workers, as a divisor, of which more fall silent at the same time
	// where something is amiss that may have hit any of them.
	massFailureDivisor = 4
	// isolationLosses is how many losses without blame make a task run apart: it has few left.
	isolationLosses = 2
)

// Isolation has a suspect run apart from all else that begins, so that its next crash tells
// whether it was the cause, and convicts only those that were alone.
type Isolation struct{}

// Blames implements cottonlanding.BlamePolicy.
func (Isolation) Blames(cottonlanding.CrashView) bool { return true }

// GivesUp implements cottonlanding.BlamePolicy.
func (Isolation) GivesUp(suspect cottonlanding.SuspectView) bool {
	if suspect.Finding < cottonlanding.LikelyCrash || !suspect.SoleSuspect {
		return false
	}
	if suspect.JustStarted && massFailureDivisor*suspect.Crash.Silent <= suspect.Crash.Workers {
		return suspect.Record.Crashes >= earlyCrashLimit
	}
	return suspect.Record.Crashes >= lateCrashLimit
}

// Isolates implements cottonlanding.BlamePolicy.
func (Isolation) Isolates(record cottonlanding.CrashRecord) bool {
	return record.Crashes > 0 || record.Losses >= isolationLosses
}
