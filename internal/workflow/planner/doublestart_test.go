package planner_test

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// recordGrace is how long after the end of a run is recorded another start of its task may still arrive without
// breaking the platform's rule on second starts.
const recordGrace = cottonlanding.Second

// runStart is a start that a worker accepted.
type runStart struct {
	number cottonlanding.RunNumber
	at     cottonlanding.Millis
}

// listedEnd is a successful end that a worker listed and has not been told to forget.
type listedEnd struct {
	key cottonlanding.RunKey
	at  cottonlanding.Millis
}

// startChecker checks that no task is started again after its successful end was recorded. A recorded end doesn't count
// if the worker's lease expired between the end and its recording.
type startChecker struct {
	w            *world
	starts       map[cottonlanding.TaskRef][]runStart
	leases       map[cottonlanding.WorkerID]cottonlanding.Millis
	lapses       map[cottonlanding.WorkerID][]cottonlanding.Millis
	listed       map[cottonlanding.WorkerID]map[uint64]listedEnd
	recordedEnds map[cottonlanding.TaskRef]runStart
	violations   []string
}

func newStartChecker(w *world) *startChecker {
	return &startChecker{
		w:            w,
		starts:       make(map[cottonlanding.TaskRef][]runStart),
		leases:       make(map[cottonlanding.WorkerID]cottonlanding.Millis),
		lapses:       make(map[cottonlanding.WorkerID][]cottonlanding.Millis),
		listed:       make(map[cottonlanding.WorkerID]map[uint64]listedEnd),
		recordedEnds: make(map[cottonlanding.TaskRef]runStart),
	}
}

// offset returns the offset that addWorker gives to a worker's clock.
func offset(id cottonlanding.WorkerID) cottonlanding.Millis {
	number := 0
	_, _ = fmt.Sscanf(string(id), "w%d", &number)
	return cottonlanding.Millis(10_000 * number)
}

// recordLease records a lease that reached a worker, given on the worker's clock.
func (s *startChecker) recordLease(id cottonlanding.WorkerID, until cottonlanding.Reading) {
	lease := cottonlanding.Millis(until) - offset(id)
	if expired := s.leases[id]; expired > 0 && expired <= s.w.now {
		s.lapses[id] = append(s.lapses[id], expired)
		s.leases[id] = 0
	}
	s.leases[id] = max(s.leases[id], lease)
}

func (s *startChecker) lapsedBetween(id cottonlanding.WorkerID, from cottonlanding.Millis) bool {
	if lease := s.leases[id]; lease > 0 && lease <= s.w.now && lease >= from {
		return true
	}
	return slices.ContainsFunc(s.lapses[id], func(at cottonlanding.Millis) bool { return at >= from })
}

// start sends a start to the worker and checks it if it had an effect.
func (s *startChecker) start(order planner.Order) (cottonlanding.Reading, error) {
	before := s.w.runner.Starts()
	reading, err := s.w.runner.Start(context.Background(), order.Worker, order.Start)
	if err == nil {
		s.recordLease(order.Worker.Life.Worker, order.Start.LeaseUntil)
	}
	if s.w.runner.Starts() == before {
		return reading, err
	}
	task := order.Start.Task
	s.starts[task] = append(s.starts[task], runStart{order.Start.Number, s.w.now})
	if note, found := s.recordedEnds[task]; found && s.w.now > note.at+recordGrace {
		s.violations = append(s.violations, fmt.Sprintf("run %d of %s starts at %s; the end of run %d was recorded at %s",
			order.Start.Number, task, s.w.now, note.number, note.at))
	}
	return reading, err
}

// poll polls a worker and checks the ends that it is told to forget.
func (s *startChecker) poll(id cottonlanding.WorkerID, answered bool) {
	next, found := s.w.cell.NextPoll(id, s.w.now)
	if !found || next.After > 0 {
		return
	}
	report, err := s.w.runner.Poll(context.Background(), next.Worker, next.Poll)
	if err == nil {
		s.recordListed(id, report)
		s.recordForgotten(id, next.Poll.Seen)
		s.recordLease(id, next.Poll.LeaseUntil)
	}
	if err == nil && !answered {
		err = cottonlanding.ErrAmbiguous
	}
	if err != nil {
		s.w.cell.PollFailed(next, err, s.w.now)
		return
	}
	s.w.cell.PollAnswered(next, report, s.w.now, s.w.now)
}

func (s *startChecker) recordListed(id cottonlanding.WorkerID, report cottonlanding.RunReport) {
	if s.listed[id] == nil {
		s.listed[id] = make(map[uint64]listedEnd)
	}
	for _, end := range report.Ended {
		if _, known := s.listed[id][end.Serial]; known || end.Kind != cottonlanding.EndDone {
			continue
		}
		at := s.w.now
		for _, start := range s.starts[end.Task] {
			if start.number == end.Number {
				at = start.at + cottonlanding.Millis(200+170*end.Task.Index)
			}
		}
		s.listed[id][end.Serial] = listedEnd{end.RunKey, at}
	}
}

func (s *startChecker) recordForgotten(id cottonlanding.WorkerID, seen uint64) {
	for serial, end := range s.listed[id] {
		if serial > seen {
			continue
		}
		delete(s.listed[id], serial)
		if s.lapsedBetween(id, end.at) {
			continue
		}
		s.recordedEnds[end.key.Task] = runStart{end.key.Number, s.w.now}
		for _, start := range s.starts[end.key.Task] {
			if start.number > end.key.Number {
				s.violations = append(s.violations, fmt.Sprintf("run %d of %s started at %s; run %d had ended at %s, which is recorded at %s",
					start.number, end.key.Task, start.at, end.key.Number, end.at, s.w.now))
			}
		}
	}
}

// orders is world.orders with all starts checked.
func (s *startChecker) orders(fault func() string) {
	for _, order := range s.w.cell.Orders(s.w.now) {
		var reading cottonlanding.Reading
		err := error(cottonlanding.ErrAmbiguous)
		switch fault() {
		case "lost":
		case "refused":
			err = cottonlanding.ErrUnavailable
		case "busy":
			err = cottonlanding.ErrBusy
		case "late":
			s.w.late = append(s.w.late, order)
		case "unanswered":
			_, _ = s.send(order)
		default:
			reading, err = s.send(order)
		}
		s.w.cell.OrderAnswered(order, reading, err, s.w.now)
	}
}

func (s *startChecker) send(order planner.Order) (cottonlanding.Reading, error) {
	if order.Verb == planner.VerbStart {
		return s.start(order)
	}
	return s.w.send(order)
}

// TestRecordedEndsAreFinal guards against a task that runs again after its successful end was recorded. Workers refuse
// orders, fall silent, leave the list while they run tasks, return, end and are replaced; owners change, and more
// changes are due than one transaction takes.
func TestRecordedEndsAreFinal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		s := newStartChecker(w)
		submitted := 0
		var unlisted []cottonlanding.WorkerInfo
		tell := func() { w.cell.SetWorkers(slices.Clone(w.workers), w.now) }
		draw := func(of []cottonlanding.WorkerInfo) int { return rapid.IntRange(0, len(of)-1).Draw(t, "Worker") }
		fault := func() string {
			return rapid.SampledFrom([]string{"", "", "", "lost", "late", "unanswered", "refused", "busy"}).Draw(t, "Fault")
		}
		submit := func(tasks int) {
			submitted++
			step := cottonlanding.Step{Tasks: tasks, Resources: cottonlanding.Resources{CPU: 1000, Memory: cottonlanding.Gigabyte}, Estimate: 500}
			second := step
			second.After = []int{0}
			w.submit(cottonlanding.WorkflowID(fmt.Sprintf("b%d", submitted)), "Bulk", step, second)
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) { submit(rapid.IntRange(1, 4).Draw(t, "Tasks")) },
			"many": func(*rapid.T) {
				for range 100 {
					submit(1)
				}
			},
			"wait":   func(t *rapid.T) { w.now += cottonlanding.Millis(rapid.IntRange(10, 2500).Draw(t, "Wait")) },
			"begin":  func(*rapid.T) { w.makePlan() },
			"commit": func(*rapid.T) { w.commit() },
			"commitUnanswered": func(*rapid.T) {
				if w.makePlan(); w.plan != nil {
					w.apply()
					w.takeOver()
				}
			},
			"takeOver": func(*rapid.T) { w.takeOver() },
			"takeOverLate": func(t *rapid.T) {
				before := w.now
				w.now += cottonlanding.Millis(rapid.IntRange(0, 15_000).Draw(t, "Away"))
				w.takeOverFrom(before)
			},
			"orders": func(*rapid.T) { s.orders(fault) },
			"late": func(t *rapid.T) {
				if len(w.late) > 0 {
					at := rapid.IntRange(0, len(w.late)-1).Draw(t, "Which")
					_, _ = s.send(w.late[at])
					w.late = slices.Delete(w.late, at, at+1)
				}
			},
			"look": func(t *rapid.T) {
				s.poll(w.workers[draw(w.workers)].ID, rapid.IntRange(0, 3).Draw(t, "Answered") > 0)
			},
			"turn": func(t *rapid.T) {
				w.now += 50
				w.commit()
				s.orders(func() string { return "" })
				for _, worker := range w.workers {
					s.poll(worker.ID, true)
				}
			},
			"dark": func(t *rapid.T) {
				w.runner.Dark(w.workers[draw(w.workers)].ID, rapid.Bool().Draw(t, "Dark"))
			},
			"drain": func(*rapid.T) {
				at := draw(w.workers)
				w.workers = slices.Clone(w.workers)
				w.workers[at].State = cottonlanding.Leaving
				tell()
			},
			"unlist": func(*rapid.T) {
				at := draw(w.workers)
				if len(w.workers) < 3 {
					return
				}
				unlisted = append(unlisted, w.workers[at])
				w.workers = slices.Delete(slices.Clone(w.workers), at, at+1)
				tell()
			},
			"lookUnlisted": func(*rapid.T) {
				if len(unlisted) > 0 {
					s.poll(unlisted[draw(unlisted)].ID, true)
				}
			},
			"relist": func(*rapid.T) {
				if len(unlisted) > 0 {
					at := draw(unlisted)
					w.workers = append(slices.Clone(w.workers), unlisted[at])
					unlisted = slices.Delete(unlisted, at, at+1)
					tell()
				}
			},
			"replace": func(*rapid.T) {
				at := draw(w.workers)
				old := w.workers[at]
				w.runner.Crash(old.ID)
				w.workers = slices.Delete(slices.Clone(w.workers), at, at+1)
				w.addWorker()
				w.workers[len(w.workers)-1].Address = old.Address
				tell()
			},
			"": func(t *rapid.T) {
				require.Empty(t, s.violations)
				require.Empty(t, w.runner.Violations())
			},
		})
	})
}

// TestLateOwnerToleratesLostAnswer guards against an owner that takes over late and gives up a worker's runs after a
// single lost answer, because a failed poll counts as an answered one. The worker has listed successful ends in that
// answer, which counts as recording them, so that nothing may be started again. A lost answer is likely then: an owner
// that has just read all rows polls hundreds of workers at once, and with a small share of a processor or a slow link
// it may receive none of the answers in time.
func TestLateOwnerToleratesLostAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range 4 {
			w.turn(50)
		}
		tasks := rapid.IntRange(1, 4).Draw(t, "Tasks")
		w.submit("b", "Urgent", cottonlanding.Step{Tasks: tasks, Resources: cottonlanding.Resources{CPU: 2000, Memory: cottonlanding.Gigabyte}, Estimate: 500})
		w.decide(50)
		w.decide(50)
		require.Equal(t, tasks, w.runner.Starts())
		ended := w.now
		w.now += cottonlanding.Millis(rapid.IntRange(8000, 30_000).Draw(t, "Away"))
		w.takeOverFrom(ended)
		w.decide(50)
		unheard := rapid.IntRange(0, len(w.workers)-1).Draw(t, "Unheard")
		for at, worker := range w.workers {
			w.poll(worker.ID, at != unheard)
		}
		for range rapid.IntRange(1, 5).Draw(t, "Turns") {
			w.decide(50)
		}
		w.now += 300 // past the retry interval of a failed poll
		w.pollAll()
		w.settle()
		require.Equal(t, tasks, w.runner.Starts(), "a task was started again after its successful end was listed")
	})
}
