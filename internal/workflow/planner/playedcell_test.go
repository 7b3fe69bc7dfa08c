package planner_test

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"math/rand"
	"slices"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

const (
	// callTime is how long a call waits for an answer.
	callTime = cottonlanding.Second
	// ownerTTL is how long an owner lasts without a beat, mostBeatAge how old its last beat is at most when it ends.
	ownerTTL    = 1200 * cottonlanding.Millis(1)
	mostBeatAge = 300 * cottonlanding.Millis(1)
	// mostCommitTurns is how many turns a commit takes at most.
	mostCommitTurns = 3
)

// platformTiming holds the spans of the owners on the users' platform.
var platformTiming = planner.Timing{
	Lease: 6 * cottonlanding.Second, MaxLease: 10 * cottonlanding.Second, CutOffGrace: 2 * cottonlanding.Second,
	MaxLeasePastOwnership: 7 * cottonlanding.Second,
	StopTimeout:           300, Retention: 10 * cottonlanding.Minute,
}

// sentLook is a look whose answer the worker may hold back until an instant.
type sentLook struct {
	next    planner.NextPoll
	sentAt  cottonlanding.Millis
	until   cottonlanding.Millis
	failure error
}

// sentOrder is an order that was sent, with what becomes of it at an instant.
type sentOrder struct {
	planner.Order
	at      cottonlanding.Millis
	reading cottonlanding.Reading
	err     error
}

// playedCell plays one cell with the cadence of real owners: looks that workers hold back, calls that take a second
// to get no answer, commits of some turns, owners that are gone for a while.
type playedCell struct {
	*world
	random *rand.Rand
	// attended holds the workers that are looked at, also after their entry has gone; looks those that are under way.
	attended map[cottonlanding.WorkerID]bool
	looks    map[cottonlanding.WorkerID]sentLook
	// answers are those that haven't come yet, overdue the orders that their workers haven't carried out yet.
	answers, overdue []sentOrder
	committedAt      cottonlanding.Millis
	// ownedFrom is from when on there is an owner again; beforeUntil is the instant by which the one before has stopped,
	// zero while there is one.
	ownedFrom, beforeUntil cottonlanding.Millis
	// stuckUntil, silentTableUntil and heldUntil are until when the owner stands still, the table takes no
	// commits and starts wait because lists are too old.
	stuckUntil, silentTableUntil, heldUntil cottonlanding.Millis
	// faultyUntil is until when orders to a worker fail with the odds faultOdds in a hundred, deafUntil until when some
	// of its answers to looks get lost.
	faultyUntil, deafUntil map[cottonlanding.WorkerID]cottonlanding.Millis
	faultOdds              int
	evacuated              map[cottonlanding.DataCentre]cottonlanding.Evacuation
	evacuations            int
	// lastTrouble is when a fault last befell a call.
	lastTrouble cottonlanding.Millis
}

func newPlayedCell(w *world, random *rand.Rand) *playedCell {
	w.timing, w.ownedFor = platformTiming, ownerTTL
	w.runner.CutLeases(platformTiming.MaxLease)
	return &playedCell{
		world:       w,
		random:      random,
		attended:    make(map[cottonlanding.WorkerID]bool),
		looks:       make(map[cottonlanding.WorkerID]sentLook),
		faultyUntil: make(map[cottonlanding.WorkerID]cottonlanding.Millis),
		deafUntil:   make(map[cottonlanding.WorkerID]cottonlanding.Millis),
		evacuated:   make(map[cottonlanding.DataCentre]cottonlanding.Evacuation),
	}
}

// owned reports whether there is an owner.
func (p *playedCell) owned() bool { return p.beforeUntil == 0 }

// able reports whether an owner can start anything.
func (p *playedCell) able() bool {
	return p.owned() && p.now >= p.stuckUntil && p.now >= p.silentTableUntil && p.now >= p.heldUntil
}

// step lets a turn pass.
func (p *playedCell) step() {
	p.carryOutOverdue()
	if !p.owned() && p.now >= p.ownedFrom {
		p.succeedOwner()
	}
	if !p.owned() || p.now < p.stuckUntil {
		return
	}
	if p.now >= p.silentTableUntil { // a beat goes out, and its answer tells the table's clock
		p.cell.SetTableClock(p.tableClock())
		p.renewOwnership()
	}
	p.takeAnswers()
	p.cell.HoldStarts(p.now < p.heldUntil)
	p.cell.Decide(p.now, int64(p.now))
	p.playCommit()
	p.sendOrders()
	p.attend()
}

// attend looks at all workers that are listed, or were under this owner and aren't forgotten.
func (p *playedCell) attend() {
	for _, info := range p.workers {
		if p.cell.HasWorker(info.ID) {
			p.attended[info.ID] = true
		}
	}
	for _, id := range slices.Sorted(maps.Keys(p.attended)) {
		p.playLook(id)
	}
}

// endOwner has the owner be gone, and the next one come after a span.
func (p *playedCell) endOwner(after cottonlanding.Millis) {
	if !p.owned() {
		return
	}
	p.ownedFrom = p.now + after
	p.beforeUntil = p.ownedFrom // it was seen to be gone, or has released the cell
	if p.random.Intn(2) == 0 {
		beat := cottonlanding.Millis(p.random.Intn(int(mostBeatAge)))
		p.beforeUntil = p.now - beat + ownerTTL // it was seen to write no beat
	}
	p.beforeUntil += platformTiming.CutOffGrace
	p.lastTrouble = p.now
	clear(p.looks)
	clear(p.attended)
	p.answers, p.stuckUntil = nil, 0
}

func (p *playedCell) succeedOwner() {
	p.takeOverFrom(p.beforeUntil)
	p.beforeUntil = 0
	p.tellEvacuations()
	p.lastTrouble = p.now
}

func (p *playedCell) tellEvacuations() {
	ordered := make(map[cottonlanding.DataCentre]cottonlanding.Evacuation, len(p.evacuated))
	for place, order := range p.evacuated {
		ordered[place] = order
	}
	p.cell.SetEvacuations(cottonlanding.Evacuations{ReadAt: p.now, Ordered: ordered}, p.now)
}

func (p *playedCell) evacuate(place cottonlanding.DataCentre, evacuated bool) {
	if evacuated {
		p.evacuations++
		p.evacuated[place] = cottonlanding.Evacuation{DataCentre: place, Version: cottonlanding.Version(p.evacuations), KnownAt: p.now}
	} else {
		delete(p.evacuated, place)
	}
	p.lastTrouble = p.now
	if p.owned() {
		p.tellEvacuations()
	}
}

// list tells the owner of the workers as they are by now.
func (p *playedCell) list() {
	p.workers = slices.Clone(p.workers)
	if p.owned() {
		p.cell.SetWorkers(p.workers, p.now)
	}
}

// playCommit has commits take some turns, or as long as the table is silent.
func (p *playedCell) playCommit() {
	if p.plan == nil {
		p.plan = p.cell.Plan(p.now)
		p.committedAt = p.now + turnSpan*cottonlanding.Millis(p.random.Intn(mostCommitTurns))
	}
	if p.plan == nil || p.now < p.committedAt || p.now < p.silentTableUntil {
		return
	}
	p.apply()
	plan := p.plan
	p.plan = nil
	p.cell.Committed(plan, p.version)
}

func (p *playedCell) takeAnswers() {
	due := slices.DeleteFunc(slices.Clone(p.answers), func(a sentOrder) bool { return p.now < a.at })
	p.answers = slices.DeleteFunc(p.answers, func(a sentOrder) bool { return p.now >= a.at })
	for _, answer := range due {
		p.cell.OrderAnswered(answer.Order, answer.reading, answer.err, p.now)
	}
}

// orderFault is what becomes of an order.
func (p *playedCell) orderFault(id cottonlanding.WorkerID) string {
	if p.now >= p.faultyUntil[id] || p.random.Intn(100) >= p.faultOdds {
		return ""
	}
	p.lastTrouble = p.now
	faults := []string{"lost", "late", "late", "unanswered", "busy", "unavailable", "tooLate"}
	return faults[p.random.Intn(len(faults))]
}

// sendOrders sends what is due. A call that gets no answer takes a second to show that.
func (p *playedCell) sendOrders() {
	for _, order := range p.cell.Orders(p.now) {
		order.SentAt = p.now
		sent := sentOrder{Order: order, at: p.now}
		if order.Obsolete() {
			sent.err = planner.ErrObsoleteStart
		} else {
			p.sendOrder(&sent)
		}
		if errors.Is(sent.err, cottonlanding.ErrAmbiguous) {
			sent.at += callTime
		}
		p.answers = append(p.answers, sent)
	}
	p.takeAnswers()
}

func (p *playedCell) sendOrder(sent *sentOrder) {
	sent.err = cottonlanding.ErrAmbiguous
	switch p.orderFault(sent.Order.Worker.Life.Worker) {
	case "lost":
	case "late":
		overdue := *sent
		overdue.at = p.now + cottonlanding.Millis(500+p.random.Intn(5000))
		p.overdue = append(p.overdue, overdue)
	case "unanswered":
		_, _ = p.send(sent.Order)
	case "busy":
		sent.err = cottonlanding.ErrBusy
	case "unavailable":
		sent.err = cottonlanding.ErrUnavailable
	case "tooLate":
		sent.err = cottonlanding.ErrLate
	default:
		sent.reading, sent.err = p.send(sent.Order)
	}
}

// carryOutOverdue has workers carry out the orders that they have held back.
func (p *playedCell) carryOutOverdue() {
	left := p.overdue[:0]
	for _, order := range p.overdue {
		switch {
		case p.lifeOf(order.Worker.Life.Worker).IsOtherThan(order.Worker.Life.Born):
			// the life that held it back is over
		case p.now < order.at:
			left = append(left, order)
		default:
			_, _ = p.send(order.Order)
		}
		p.lastTrouble = p.now
	}
	p.overdue = left
}

// lifeOf returns the birth of the life of a worker that is listed.
func (p *playedCell) lifeOf(id cottonlanding.WorkerID) cottonlanding.Birth {
	life, _ := p.runner.Reading(id)
	return life.Born
}

// playLook sends a look, or takes the answer to the one under way once the worker gives it.
func (p *playedCell) playLook(id cottonlanding.WorkerID) {
	look, underWay := p.looks[id]
	if !underWay {
		next, found := p.cell.NextPoll(id, p.now)
		if !found {
			delete(p.attended, id)
		}
		if !found || next.After > 0 {
			return
		}
		if next.Look.Wait == 0 {
			p.cell.PollSent(id, p.now)
		}
		look = sentLook{next: next, sentAt: p.now, until: p.now + next.Look.Wait}
		_, look.failure = p.runner.Look(context.Background(), next.Worker, next.Look)
		p.looks[id] = look
	}
	p.answerLook(id, look)
}

// answerLook has the worker answer a look if something has ended there, or the time has come.
func (p *playedCell) answerLook(id cottonlanding.WorkerID, look sentLook) {
	if look.failure == nil {
		asks := cottonlanding.Look{Epoch: look.next.Look.Epoch}
		var report cottonlanding.RunReport
		if report, look.failure = p.runner.Look(context.Background(), look.next.Worker, asks); look.failure == nil {
			if len(report.Ended) == 0 && p.now < look.until {
				return
			}
			if p.now >= p.deafUntil[id] || p.random.Intn(2) == 0 {
				delete(p.looks, id)
				p.cell.PollAnswered(look.next, report, look.sentAt, p.now)
				return
			}
			look.failure, p.lastTrouble = cottonlanding.ErrAmbiguous, p.now
		}
	}
	p.looks[id] = look
	if errors.Is(look.failure, cottonlanding.ErrAmbiguous) && p.now < look.until+callTime {
		return
	}
	delete(p.looks, id)
	p.cell.PollFailed(look.next, look.failure, p.now)
}

// breakConnections has the calls to a worker whose process has ended get no answer at once.
func (p *playedCell) breakConnections(id cottonlanding.WorkerID) {
	if look, underWay := p.looks[id]; underWay {
		look.until, look.failure = p.now-callTime, cmp.Or(look.failure, error(cottonlanding.ErrAmbiguous))
		p.looks[id] = look
	}
}

// lateTasks adds the tasks of which workers have orders that they will carry out late.
func (p *playedCell) lateTasks(into map[cottonlanding.TaskRef]bool) {
	for _, order := range p.overdue {
		into[order.Start.Task] = true
	}
}

// holdsBack reports whether a worker has orders that it will carry out late.
func (p *playedCell) holdsBack(id cottonlanding.WorkerID) bool {
	return slices.ContainsFunc(p.overdue, func(order sentOrder) bool { return order.Worker.Life.Worker == id })
}
