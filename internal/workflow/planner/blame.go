package planner

import (
	"errors"
	"fmt"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// A worker that crashes lists no ends, so that no run there counts as failed. A task that
// crashes each worker which starts it would be started without end, and each crash takes
// some ten innocent runs along. What is kept of a task about that is in its row, with the
// state that allows its next start: no owner, and no start without an answer, sets it back.

const (
	// mostLosses is how many lives of workers may end that a task may have ended before it is
	// given up under every policy. Source: the rule that allows two starts after three crashes.
	mostLosses = 5
	// soon is how long a run must have lasted for the end of its worker to tell nothing of
	// it, and for its task to be cleared of earlier losses.
	soon = 10 * cottonlanding.Second
	// just is how long before the end of its worker a run may have begun to be a suspect
	// before all others: ten milliseconds, and what it takes a busy owner to notice. A longer span
	// has innocent workflows given up beside workers that crash for no cause of ours.
	just = 300 * cottonlanding.Millis(1)
	// together is how far apart workers may fall silent for one outer cause: an owner's
	// looks at busy workers last that long, and it notices a cut by the next one.
	together = cottonlanding.Second
	// steadyAfter is how long a worker must go on for the end of its life to speak against a task that
	// was at work there. Each of its lives that ended by itself doubles it, endsWeighed of them at most.
	steadyAfter = 10 * cottonlanding.Second
	endsWeighed = 3
	// outagesKept is how long it is kept when workers fell silent: longer than a life that
	// has ended takes to be found out.
	outagesKept = 15 * cottonlanding.Second
)

// outage is when a worker fell silent, and whether a run had begun there just before.
type outage struct {
	worker   *worker
	at       cottonlanding.Millis
	provoked bool
}

// began returns the instant by which the run has begun at the latest, if it did, and false
// for one of an owner before that no look has listed.
func (r *run) began() (cottonlanding.Millis, bool) {
	if r.sentAt > 0 && !r.retaken {
		return r.sentAt, true
	}
	return r.ackedAt, r.ackedAt > 0
}

// seenFor returns how long the run was surely at work on its worker: from when it had begun at the latest
// to when the worker last listed it.
func (r *run) seenFor() cottonlanding.Millis {
	began, known := r.began()
	if !known {
		return 0
	}
	return max(0, r.listedAt-began)
}

// noteOutlived notes that a run has gone on for longer than a task that crashes its worker does. It is
// written for the next owner once that is true of all runs of a lasting step, or of a suspect.
func (c *Cell) noteOutlived(r *run) {
	if r.outlived || r.seenFor() < just {
		return
	}
	r.outlived = true
	if t := r.task; t != nil && t.run == r && (t.suspected() || r.step.Lasting && t.stage.allOutlived()) {
		c.touch(t.job)
	}
}

// allOutlived reports whether all runs of the step's tasks have gone on for that long.
func (s *stage) allOutlived() bool {
	return !slices.ContainsFunc(s.tasks, func(t *task) bool { return t.run != nil && !t.run.outlived })
}

// suspected reports whether something is kept against the task.
func (t *task) suspected() bool {
	return t.crashes != (cottonlanding.CrashRecord{}) || t.openLife.Worker != ""
}

// mayHaveBegun reports whether the worker may run it, whatever it has answered.
func (r *run) mayHaveBegun() bool { return r.phase >= sent }

// beganJustBefore reports whether the run began so shortly before an instant that it is a
// suspect of the end of its worker then.
func (r *run) beganJustBefore(at cottonlanding.Millis) bool {
	began, known := r.began()
	return known && r.mayHaveBegun() && began <= at && at-began <= just
}

// beganSoonBefore is the same for what may have to do with it. Of a run without an answer
// nothing is known, so that it may.
func (r *run) beganSoonBefore(at cottonlanding.Millis) bool {
	began, known := r.began()
	return r.mayHaveBegun() && (!known || at-began < soon)
}

// noteSilent notes that a worker gives no answer any more.
func (c *Cell) noteSilent(w *worker, now cottonlanding.Millis) {
	c.outages = slices.DeleteFunc(c.outages, func(o outage) bool { return o.worker == w || now-o.at > outagesKept })
	if w.departs() || w.answered == 0 {
		return // when that began is not known
	}
	c.outages = append(c.outages, outage{w, now, w.provoked(now)})
}

// noteHeard notes that a worker gives answers again: its silence was a cut, or none.
func (c *Cell) noteHeard(w *worker) {
	c.outages = slices.DeleteFunc(c.outages, func(o outage) bool { return o.worker == w })
}

// departs reports whether the end of the life that answers is no surprise: its entry has said so, which
// may be of a later life by now, or it served on after its entry had gone.
func (w *worker) departs() bool { return w.leaving() && w.described() || w.unlistedAlive }

// departsWith reports whether that is true of the life on which a run was placed. The entry may be
// of a later life by now, and so may the worker's answers.
func (w *worker) departsWith(r *run) bool {
	return w.leaving() && !r.born.IsOtherThan(w.info.Born) || w.unlistedAlive && !r.born.IsOtherThan(w.born)
}

// fellSilent returns when the worker gave no answer first.
func (w *worker) fellSilent(now cottonlanding.Millis) cottonlanding.Millis {
	if w.failed {
		return w.failedSince
	}
	return now
}

// crashView returns what is known of the end of a worker's life.
func (c *Cell) crashView(w *worker, at cottonlanding.Millis) cottonlanding.CrashView {
	var view cottonlanding.CrashView
	sameRack := func(other *worker) bool { return other.info.Rack == w.info.Rack && w.info.Rack != "" }
	silent := map[*worker]bool{w: true}
	for _, o := range c.outages {
		if o.worker == w || max(o.at-at, at-o.at) > together {
			continue
		}
		silent[o.worker] = true
		view.Workers++
		view.Silent++
		if !o.provoked {
			view.Unprovoked++
		}
		if sameRack(o.worker) {
			view.Rack++
			view.RackSilent++
		}
	}
	for _, other := range c.sortedWorkers() {
		if silent[other] || other.departs() || other.knownSince >= at || other.failed && other.failedSince < at {
			continue
		}
		view.Workers++
		if sameRack(other) {
			view.Rack++
		}
	}
	return view
}

// suspectsAmong returns those of the runs lost with a life that stand out as the cause of its end at
// an instant: all that began just before, or else the only one that began soon before. Of many
// that did none stands out, and one of them may be convicted at the next crash from outside.
func suspectsAmong(lost []*run, at cottonlanding.Millis) []*run {
	prompt := make([]*run, 0, len(lost))
	for _, r := range lost {
		if r.beganJustBefore(at) {
			prompt = append(prompt, r)
		}
	}
	if len(prompt) == 0 && len(lost) == 1 {
		return lost
	}
	return prompt
}

// mayHaveJustBegun reports whether the run may have begun just before an instant, or later. One that
// no answer has told of may have begun at any time: the life may have held its start back, and an
// owner before may have sent it.
func (r *run) mayHaveJustBegun(at cottonlanding.Millis) bool {
	if r.phase == sent {
		return true
	}
	began, known := r.began()
	return known && r.mayHaveBegun() && at-began <= just
}

// lostSoon returns those of the runs of a worker whose loss counts for their tasks: they began soon
// before its life ended, or may have begun just before if that life was about to end anyway.
func lostSoon(w *worker, runs []*run, at cottonlanding.Millis) []*run {
	var lost []*run
	for _, r := range runs {
		if r.mayHaveJustBegun(at) || r.beganSoonBefore(at) && !w.departsWith(r) {
			lost = append(lost, r)
		}
	}
	return lost
}

// blame notes for each task that a worker ran what the loss of its run tells of it, and
// returns those that are given up.
func (c *Cell) blame(w *worker, runs []*run, why loss, now cottonlanding.Millis) []*task {
	at := w.fellSilent(now)
	lost := lostSoon(w, runs, at)
	if len(lost) == 0 {
		return nil
	}
	suspects := suspectsAmong(lost, at)
	crash := c.crashView(w, at)
	circumstances := cottonlanding.RunLoss{
		LifeEnded:  why != lossByLapse,
		Met:        w.answered > 0,
		Recent:     true,
		Young:      w.age(at) < steadyAfter,
		OuterCause: !c.policy.Blame.Blames(crash),
	}
	var convicted []*task
	var stories []string
	for _, r := range lost {
		if !r.chargeable() {
			continue
		}
		runLoss := circumstances
		runLoss.LifeEnded = runLoss.LifeEnded || r.isUntraceable()
		runLoss.EndsAnyway = w.endsAnyway(at) || slices.Contains(w.suspectsBefore, r.task)
		runLoss.Began = r.ackedAt > 0
		runLoss.Outlived = r.outlived
		runLoss.Leaving = w.departsWith(r)
		runLoss.StandsOut = slices.Contains(suspects, r)
		finding := runLoss.Finding()
		if !runLoss.LifeEnded && !runLoss.Outlived {
			c.leaveOpen(r.task, r.lifeRef())
		}
		if finding > cottonlanding.NoProof {
			c.charge(r, finding)
		}
		stories = append(stories, fmt.Sprintf("%s#%d seen for %d %s losses %d crashes %d", r.Task, r.Number, r.seenFor(),
			finding, r.task.crashes.Losses, r.task.crashes.Crashes))
		suspect := cottonlanding.SuspectView{Record: r.task.crashes, Finding: finding, Alone: len(suspects) == 1, Prompt: r.beganJustBefore(at), Crash: crash}
		if finding > cottonlanding.NoProof && c.convicts(suspect) {
			convicted = append(convicted, r.task)
		}
	}
	c.log.Warn("crash weighed", "Worker", w.info.ID, "Born", w.life().Born, "Why", why, "LastAnswer", now-w.answered, "Ended", circumstances.LifeEnded, "Met", circumstances.Met,
		"EndsAnyway", w.endsAnyway(at), "Age", w.age(at), "OuterCause", circumstances.OuterCause, "Suspects", len(suspects), "Tasks", stories, "SilentFor", now-at,
		"Unprovoked", crash.Unprovoked, "Rack", crash.Rack, "RackSilent", crash.RackSilent, "Workers", crash.Workers, "Silent", crash.Silent)
	return convicted
}

// convicts reports whether a task is given up after another loss.
func (c *Cell) convicts(suspect cottonlanding.SuspectView) bool {
	return suspect.Record.Losses >= mostLosses || c.policy.Blame.Convicts(suspect)
}

// endsAnyway reports whether the worker has ended by itself lately, so that it may have done so again, or
// may have under owners before, since its life is young.
func (w *worker) endsAnyway(at cottonlanding.Millis) bool {
	if w.endsSeen > 0 && at-w.endSeenAt < steadyAfter<<min(w.endsSeen, endsWeighed) {
		return true
	}
	return w.born != 0 && !w.metBefore && w.age(at) < steadyAfter
}

// steady reports whether the worker has gone on for so long that its end would tell something.
func (w *worker) steady(now cottonlanding.Millis) bool {
	return !w.endsAnyway(now) && w.age(now) >= steadyAfter
}

// noteEndSeen takes over what is known of the lives before, the last of which has ended.
func (w *worker) noteEndSeen(before *worker, now cottonlanding.Millis) {
	w.endsSeen, w.endSeenAt, w.metBefore = before.endsSeen, before.endSeenAt, before.answered > 0
	at := before.fellSilent(now)
	for _, r := range suspectsAmong(before.runs.all(), at) {
		w.suspectsBefore = append(w.suspectsBefore, r.task)
	}
	if !before.provoked(at) {
		w.endsSeen++
		w.endSeenAt = now
	}
}

// provoked reports whether a run had begun just before an instant on the worker.
func (w *worker) provoked(at cottonlanding.Millis) bool {
	return slices.ContainsFunc(w.runs.all(), func(r *run) bool { return r.beganJustBefore(at) })
}

// age returns how long the life has gone on by an instant, at the least. A worker that tells births begins its
// clock anew with each life, so that any owner knows.
func (w *worker) age(at cottonlanding.Millis) cottonlanding.Millis {
	if w.born != 0 && w.reading > 0 {
		return cottonlanding.Millis(w.reading) + at - w.readAt
	}
	return at - w.knownSince
}

// isUntraceable reports whether nothing will ever tell what became of the run's life: it has no birth, and its
// entry is gone. Such a life is taken for ended.
func (r *run) isUntraceable() bool { return r.born == 0 && !r.worker.listed }

// chargeable reports whether the loss of the run counts for its task: it isn't done, nor its
// workflow over, and the run has not been lost with an earlier life already.
func (r *run) chargeable() bool {
	t := r.task
	return t != nil && t.run == r && !r.charged && t.state != taskDone && !t.job.state.Final()
}

// charge counts a loss against a run's task.
func (c *Cell) charge(r *run, finding cottonlanding.Finding) {
	r.charged, r.suspected = true, finding == cottonlanding.LikelyCrash
	r.task.crashes.Losses++
	if r.suspected {
		r.task.crashes.Crashes++
	}
	c.touch(r.task.job)
}

// absolve takes back the loss of a run whose only start is known by now to have had no effect: the
// worker's life was over before it could take it. Looks and orders go over connections of their
// own, so that the run may have been given up before.
func (c *Cell) absolve(order Order, err error) {
	r := order.run
	if order.Verb != VerbStart || r == nil || !r.charged || r.doubtful || r.ackedAt > 0 || !hadNoEffect(err) {
		return
	}
	r.charged = false
	t := r.task
	if t.crashes.Losses == 0 || t.job.state.Final() {
		return
	}
	t.crashes.Losses--
	if r.suspected {
		t.crashes.Crashes--
	}
	c.touch(t.job)
	c.log.Info("loss taken back", "Task", t.ref.String(), "Worker", r.worker.info.ID, "Losses", t.crashes.Losses, "Crashes", t.crashes.Crashes)
}

// hadNoEffect reports whether the answer to a start says that it has begun nothing, then or before.
func hadNoEffect(err error) bool {
	return err != nil && !errors.Is(err, cottonlanding.ErrAmbiguous) && !errors.Is(err, cottonlanding.ErrConflict)
}

// giveUp fails the workflows of tasks that crash their workers.
func (c *Cell) giveUp(convicted []*task, now cottonlanding.Millis) {
	for _, t := range convicted {
		if t.job.state.Final() {
			continue
		}
		c.counts.Failed++
		c.counts.Convicted++
		reason := fmt.Sprintf("task %s was lost with %d workers that ended soon after it began, and is taken for the cause of %d of these ends",
			t.ref, t.crashes.Losses, t.crashes.Crashes)
		c.end(t.job, cottonlanding.WorkflowFailed, reason, now)
	}
}

// clear forgets what is kept against a task whose run has lasted long.
func (c *Cell) clear(r *run, now cottonlanding.Millis) {
	t := r.task
	if t == nil || t.run != r || !t.suspected() {
		return
	}
	if r.ackedAt == 0 || now-r.ackedAt < soon {
		return
	}
	c.log.Info("task cleared", "Task", t.ref.String(), "Run", r.Number, "Worker", r.worker.info.ID, "Losses", t.crashes.Losses, "Crashes", t.crashes.Crashes)
	t.clearLosses()
	c.touch(t.job)
}

// clearLosses forgets what is kept against the task.
func (t *task) clearLosses() {
	t.crashes = cottonlanding.CrashRecord{}
	t.setOpenLife(cottonlanding.Life{})
}
