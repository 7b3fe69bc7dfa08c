package planner

import (
	"errors"
	"fmt"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// A worker that crashes lists no ends, so that none of its runs counts as failed. A task that crashes each worker
// that starts it would be started without end, and each crash takes some ten innocent runs along. The task's losses
// are stored in its row together with the state that allows its next start, so that neither a change of owner nor an
// unanswered start resets them.

const (
	// maxLosses is how many ended lives a task may have been lost with before it is given up under every policy: the
	// requirement allows two starts after three crashes.
	maxLosses = 5
	// recentWindow is how long a run must have lasted for the end of its worker to say nothing about it, and for its
	// task's earlier losses to be cleared.
	recentWindow = 10 * cottonlanding.Second
	// promptWindow is how long before the end of its worker a run may have begun to be a prime suspect: 10 ms for the
	// crash, the rest for a busy owner to notice it. A longer window gives up innocent workflows when workers crash
	// for unrelated causes.
	promptWindow = 300 * cottonlanding.Millis(1)
)

// suspectsAmong returns those of the runs lost with a life that stand out as the cause of its end at an instant: all
// that began within promptWindow before it, or else the only one. Several runs that began earlier are no suspects,
// because one of them would be blamed for each unrelated crash. No window is checked for an only run: attributeCrash
// passes just the runs that count (countableLosses).
func suspectsAmong(lost []*run, at cottonlanding.Millis) []*run {
	prompt := make([]*run, 0, len(lost))
	for _, r := range lost {
		if r.beganInPromptWindow(at) {
			prompt = append(prompt, r)
		}
	}
	if len(prompt) == 0 && len(lost) == 1 {
		return lost
	}
	return prompt
}

// countableLosses returns the runs of a worker whose loss counts for their tasks: those that may have begun within
// recentWindow before its life ended or later, or, if that end was expected, within promptWindow before it or later.
func countableLosses(w *worker, runs []*run, at cottonlanding.Millis) []*run {
	var lost []*run
	for _, r := range runs {
		if r.mayHaveBegunSincePromptWindow(at) || r.mayHaveBegunSinceRecentWindow(at) && !w.endExpectedFor(r) {
			lost = append(lost, r)
		}
	}
	return lost
}

// attributeCrash assesses the loss of each run of a worker for its task and returns the tasks to be given up.
func (c *Cell) attributeCrash(w *worker, runs []*run, why loss, now cottonlanding.Millis) []*task {
	at := w.lostContactAt(now)
	lost := countableLosses(w, runs, at)
	if len(lost) == 0 {
		return nil
	}
	suspects := suspectsAmong(countableLosses(w, w.runsSinceSilence(runs, why), at), at)
	crash := c.crashView(w, at)
	end := cottonlanding.RunLoss{
		LifeEnded:     why != lossByExpiry,
		Answered:      w.lastAnswerAt > 0,
		Recent:        true,
		Unstable:      w.isUnstable(at),
		Young:         w.age(at) < stableAge,
		ExternalCause: !c.policy.Blame.Blames(crash),
	}
	var faultyTasks []*task
	var summaries []string
	for _, r := range lost {
		if !r.canCountLoss() {
			continue
		}
		loss := lossOf(end, w, r, slices.Contains(suspects, r))
		finding := c.assessLoss(r, loss)
		summaries = append(summaries, fmt.Sprintf("%s#%d seen for %d %s losses %d crashes %d", r.Task, r.Number, r.observedFor(),
			finding, r.task.crashes.Losses, r.task.crashes.Crashes))
		suspect := cottonlanding.SuspectView{Record: r.task.crashes, Finding: finding, SoleSuspect: len(suspects) == 1, JustStarted: r.beganInPromptWindow(at), Crash: crash}
		if finding > cottonlanding.NoProof && c.shouldGiveUp(suspect) {
			faultyTasks = append(faultyTasks, r.task)
		}
	}
	c.log.Warn("crash weighed", "Worker", w.info.ID, "Born", w.life().Born, "Why", why, "LastAnswer", now-w.lastAnswerAt, "Ended", end.LifeEnded, "Met", end.Answered,
		"EndsAnyway", end.Unstable, "Age", w.age(at), "OuterCause", end.ExternalCause, "Suspects", len(suspects), "Tasks", summaries, "SilentFor", now-at,
		"Unprovoked", crash.Unprovoked, "Rack", crash.Rack, "RackSilent", crash.RackSilent, "Workers", crash.Workers, "Silent", crash.Silent)
	return faultyTasks
}

// runsSinceSilence returns the runs that the worker may have had when it fell silent, of which the given ones are lost
// now: some may have been lost before, others later.
func (w *worker) runsSinceSilence(lost []*run, why loss) []*run {
	if why == lossByExpiry {
		lost = w.runs.all() // they include those that are lost now
	}
	return slices.Concat(w.expired, lost)
}

// lossOf returns the facts about the loss of one run of a worker. end holds those that apply to all its runs.
func lossOf(end cottonlanding.RunLoss, w *worker, r *run, standsOut bool) cottonlanding.RunLoss {
	loss := end
	loss.LifeEnded = end.LifeEnded || r.isUntraceable()
	loss.Unstable = end.Unstable || slices.Contains(w.previousLifeSuspects, r.task)
	loss.StartConfirmed = r.ackedAt > 0
	loss.Outlived = r.outlastedPromptWindow
	loss.Leaving = w.endExpectedFor(r)
	loss.StandsOut = standsOut
	return loss
}

// assessLoss counts the loss of a run against its task, or leaves it open until the worker is heard of.
func (c *Cell) assessLoss(r *run, loss cottonlanding.RunLoss) cottonlanding.Finding {
	if !loss.LifeEnded && !loss.Outlived {
		c.recordOpenLife(r.task, r.lifeRef())
	}
	finding := loss.Finding()
	if finding > cottonlanding.NoProof {
		c.countLoss(r, finding)
	}
	return finding
}

// shouldGiveUp reports whether a task is given up after another loss.
func (c *Cell) shouldGiveUp(suspect cottonlanding.SuspectView) bool {
	return suspect.Record.Losses >= maxLosses || c.policy.Blame.GivesUp(suspect)
}

// isUntraceable reports whether the outcome of the run's life can't become known: its entry is gone, and its birth is
// unknown or this owner never read its address. Such a life is taken for ended.
func (r *run) isUntraceable() bool {
	return !r.worker.listed && (r.born == 0 || r.worker.info.Address == "")
}

// canCountLoss reports whether the loss of the run counts for its task: the task isn't done, its workflow isn't
// final, and the run wasn't already counted as lost with an earlier life.
func (r *run) canCountLoss() bool {
	t := r.task
	return t != nil && t.run == r && !r.lossCounted && t.state != taskDone && !t.job.state.Final()
}

// countLoss counts a loss against a run's task.
func (c *Cell) countLoss(r *run, finding cottonlanding.Finding) {
	r.lossCounted, r.crashCounted = true, finding == cottonlanding.LikelyCrash
	r.task.crashes.Losses++
	if r.crashCounted {
		r.task.crashes.Crashes++
	}
	c.markDirty(r.task.job)
}

// retractLoss retracts the counted loss of a run whose only start turns out to have had no effect, because the
// worker's life was over before the start arrived. Polls and orders use separate connections, so that the run may
// have been given up before this answer.
func (c *Cell) retractLoss(order Order, err error) {
	r := order.run
	if order.Verb != VerbStart || r == nil || !r.lossCounted || r.startUnconfirmed || r.ackedAt > 0 || !hadNoEffect(err) {
		return
	}
	r.lossCounted = false
	t := r.task
	if t.crashes.Losses == 0 || t.job.state.Final() {
		return
	}
	t.crashes.Losses--
	if r.crashCounted {
		t.crashes.Crashes--
	}
	c.markDirty(t.job)
	c.log.Info("loss taken back", "Task", t.ref.String(), "Worker", r.worker.info.ID, "Losses", t.crashes.Losses, "Crashes", t.crashes.Crashes)
}

// hadNoEffect reports whether the answer to a start says that neither it nor an earlier copy began the run.
func hadNoEffect(err error) bool {
	return err != nil && !errors.Is(err, cottonlanding.ErrAmbiguous) && !errors.Is(err, cottonlanding.ErrConflict)
}

// failFaultyWorkflows fails the workflows of tasks that crash their workers.
func (c *Cell) failFaultyWorkflows(faultyTasks []*task, now cottonlanding.Millis) {
	for _, t := range faultyTasks {
		if t.job.state.Final() {
			continue
		}
		c.counts.Failed++
		c.counts.FailedByCrashes++
		reason := fmt.Sprintf("task %s was lost with %d workers that ended soon after it began, and is taken for the cause of %d of these ends",
			t.ref, t.crashes.Losses, t.crashes.Crashes)
		c.end(t.job, cottonlanding.WorkflowFailed, reason, now)
	}
}

// clear resets the losses of a task if the given run is its current one and its start was confirmed at least
// recentWindow ago.
func (c *Cell) clear(r *run, now cottonlanding.Millis) {
	t := r.task
	if t == nil || t.run != r || !t.hasLossHistory() {
		return
	}
	if r.ackedAt == 0 || now-r.ackedAt < recentWindow {
		return
	}
	c.log.Info("task cleared", "Task", t.ref.String(), "Run", r.Number, "Worker", r.worker.info.ID, "Losses", t.crashes.Losses, "Crashes", t.crashes.Crashes)
	t.clearLosses()
	c.markDirty(t.job)
}

// clearLosses resets the counted losses and the open life of the task.
func (t *task) clearLosses() {
	t.crashes = cottonlanding.CrashRecord{}
	t.setOpenLife(cottonlanding.Life{})
}
