package blamer

import "github.com/cottonlanding/cottonlanding"

const (
	// promptCrashes is how many crashes convict a task that was the only suspect of the
	// last, right after it had begun. One proves nothing: ten others began beside it.
	promptCrashes = 2
	// lateCrashes is the same for a crash that came later, as those without a culprit do, or while
	// others crashed.
	lateCrashes = 3
	// quietShare is the part of the workers, as a divisor, of which more fall silent at the same time
	// where something is amiss that may have hit any of them.
	quietShare = 4
	// unblamedLosses is how many losses without blame make a task run apart: it has few left.
	unblamedLosses = 2
)

// Apart has a suspect run apart from all else that begins, so that its next crash tells
// whether it was the cause, and convicts only those that were alone.
type Apart struct{}

// Blames implements cottonlanding.BlamePolicy.
func (Apart) Blames(cottonlanding.CrashView) bool { return true }

// Convicts implements cottonlanding.BlamePolicy.
func (Apart) Convicts(suspect cottonlanding.SuspectView) bool {
	if suspect.Finding < cottonlanding.LikelyCrash || !suspect.Alone {
		return false
	}
	if suspect.Prompt && quietShare*suspect.Crash.Silent <= suspect.Crash.Workers {
		return suspect.Record.Crashes >= promptCrashes
	}
	return suspect.Record.Crashes >= lateCrashes
}

// Isolates implements cottonlanding.BlamePolicy.
func (Apart) Isolates(record cottonlanding.CrashRecord) bool {
	return record.Crashes > 0 || record.Losses >= unblamedLosses
}
