package blamer

import "github.com/cottonlanding/cottonlanding"

const (
	// earlyCrashLimit is the number of crashes after which a task is given up if it was the only
	// suspect of the last one and had just started. One crash proves nothing: ten other runs began at
	// the same time.
	earlyCrashLimit = 2
	// lateCrashLimit applies instead if the task had not just started, as in crashes without a faulty
	// task, or if other workers were lost at the same time.
	lateCrashLimit = 3
	// massFailureDivisor sets when a common cause is possible, and lateCrashLimit applies: if more than
	// 1/massFailureDivisor of the other workers stop answering at the same time.
	massFailureDivisor = 4
	// isolationLosses is the number of losses for which a task is isolated even if none was a likely
	// crash, since the planner gives a task up after five losses.
	isolationLosses = 2
)

// Isolation starts a suspect where nothing else begins, so that its next crash shows whether it was
// the cause, and gives up only tasks that were the sole suspect.
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
