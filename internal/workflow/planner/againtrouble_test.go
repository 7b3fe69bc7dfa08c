package planner_test

import (
	"fmt"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

const (
	// longestAway is how long a crashed worker takes at most to be back, longestJoin one that takes the room of another
	// that is gone for good.
	longestAway = 4 * cottonlanding.Second
	longestJoin = 12 * cottonlanding.Second
	// longestDrain is how long the entry of a worker that leaves stays at most.
	longestDrain = 8 * cottonlanding.Second
	// longestVacancy is how long a cell has no owner at most.
	longestVacancy = 2500 * cottonlanding.Millis(1)
	// longestSilentTable is how long the table takes no commits at most, longestHold how long starts wait.
	longestSilentTable = 5 * cottonlanding.Second
	longestHold        = 4 * cottonlanding.Second
)

// troubleKinds holds what a history may have, each with what is left of the phase of trouble.
var troubleKinds = []func(*againHistory, *simulatedCell, cottonlanding.Millis){
	func(h *againHistory, p *simulatedCell, _ cottonlanding.Millis) { h.crashSome(p, 1) },
	func(h *againHistory, p *simulatedCell, _ cottonlanding.Millis) { h.crashSome(p, 1+h.random.Intn(3)) },
	func(h *againHistory, p *simulatedCell, left cottonlanding.Millis) {
		h.silence(p, 1+h.random.Intn(3), h.span(turnSpan, left))
	},
	func(h *againHistory, p *simulatedCell, left cottonlanding.Millis) {
		h.silencePlace(p, h.span(turnSpan, left))
	},
	func(h *againHistory, p *simulatedCell, _ cottonlanding.Millis) { h.drainSome(p, 1+h.random.Intn(3)) },
	func(h *againHistory, p *simulatedCell, _ cottonlanding.Millis) { h.changeOwners(p, 1+h.random.Intn(3)) },
	func(h *againHistory, p *simulatedCell, _ cottonlanding.Millis) {
		h.crashSome(p, 1+h.random.Intn(2))
		h.changeOwners(p, 1+h.random.Intn(2))
	},
	func(h *againHistory, p *simulatedCell, left cottonlanding.Millis) {
		h.failOrders(p, h.span(turnSpan, left))
	},
	func(h *againHistory, p *simulatedCell, left cottonlanding.Millis) {
		h.loseLooks(p, h.span(turnSpan, left))
	},
	func(h *againHistory, p *simulatedCell, left cottonlanding.Millis) {
		h.silenceTable(p, h.span(turnSpan, min(left, longestSilentTable)))
	},
	func(h *againHistory, p *simulatedCell, left cottonlanding.Millis) {
		h.holdUp(p, min(left, longestHold))
	},
	func(h *againHistory, _ *simulatedCell, _ cottonlanding.Millis) { h.evacuateSome() },
	func(h *againHistory, _ *simulatedCell, _ cottonlanding.Millis) { h.submitCulprit() },
}

// trouble begins one trouble that has ended by the end of the phase.
func (h *againHistory) trouble() {
	if len(h.kinds) == 0 {
		return
	}
	p := h.cells[h.random.Intn(len(h.cells))]
	h.kinds[h.random.Intn(len(h.kinds))](h, p, max(h.troubleEnd-h.now(), turnSpan))
}

// pick returns up to a number of workers that are sound.
func (h *againHistory) pick(p *simulatedCell, most int) []cottonlanding.WorkerInfo {
	sound := slices.DeleteFunc(slices.Clone(p.workers), func(info cottonlanding.WorkerInfo) bool {
		return h.gone[info.ID] || h.dark[info.ID] || info.State != cottonlanding.Live
	})
	h.random.Shuffle(len(sound), func(a, b int) { sound[a], sound[b] = sound[b], sound[a] })
	return sound[:min(most, len(sound))]
}

func (h *againHistory) crashSome(p *simulatedCell, most int) {
	for _, info := range h.pick(p, most) {
		h.tell("%s crashes", info.ID)
		p.runner.Crash(info.ID)
		h.settleCrash(p, info.ID)
	}
}

// takeCrashed settles what becomes of workers that their tasks have crashed.
func (h *againHistory) takeCrashed() {
	for _, id := range h.cells[0].runner.TakeCrashed() {
		for _, p := range h.cells {
			if slices.ContainsFunc(p.workers, func(info cottonlanding.WorkerInfo) bool { return info.ID == id }) {
				h.tell("%s is crashed by a task", id)
				h.settleCrash(p, id)
			}
		}
	}
}

// settleCrash has a worker that has crashed be back under its id, have another life at its address, or neither.
func (h *againHistory) settleCrash(p *simulatedCell, id cottonlanding.WorkerID) {
	h.gone[id] = true
	p.lastFaultAt = h.now()
	if h.random.Intn(2) == 0 {
		p.breakConnections(id)
	}
	switch h.random.Intn(3) {
	case 0:
		h.later(h.span(turnSpan, longestAway), func() { h.comeBack(p, id) })
	case 1:
		h.later(h.span(turnSpan, longestAway), func() { h.replace(p, id) })
		h.later(entryRetention, func() { h.unlist(p, id) })
	case 2:
		h.later(entryRetention, func() { h.unlist(p, id) })
		h.later(h.span(turnSpan, longestJoin), func() { h.join(p) })
	}
}

// comeBack begins the next life of a worker under its id; its entry tells of that somewhat later.
func (h *againHistory) comeBack(p *simulatedCell, id cottonlanding.WorkerID) {
	at := slices.IndexFunc(p.workers, func(info cottonlanding.WorkerInfo) bool { return info.ID == id })
	if at < 0 {
		return // it was leaving, and its entry has gone
	}
	h.tell("%s is back", id)
	delete(h.gone, id)
	p.workers = slices.Clone(p.workers)
	p.workers[at].State = cottonlanding.Live
	p.restartWorker(at)
	h.later(h.span(0, cottonlanding.Second), func() { p.list() })
}

// replace begins another worker at the address of one that has crashed.
func (h *againHistory) replace(p *simulatedCell, id cottonlanding.WorkerID) {
	for _, info := range p.workers {
		if info.ID == id {
			info.State = cottonlanding.Live
			p.addLife(info)
			p.restartWorker(len(p.workers) - 1)
			h.tell("%s comes at the address of %s", p.workers[len(p.workers)-1].ID, id)
		}
	}
	p.list()
}

func (h *againHistory) unlist(p *simulatedCell, id cottonlanding.WorkerID) {
	h.tell("%s is no longer listed", id)
	p.workers = slices.DeleteFunc(slices.Clone(p.workers), func(info cottonlanding.WorkerInfo) bool { return info.ID == id })
	p.list()
}

func (h *againHistory) silence(p *simulatedCell, most int, span cottonlanding.Millis) {
	for _, info := range h.pick(p, most) {
		h.darken(p, info.ID, span)
	}
}

func (h *againHistory) silencePlace(p *simulatedCell, span cottonlanding.Millis) {
	place := dataCentres[h.random.Intn(len(dataCentres))]
	for _, info := range h.pick(p, len(p.workers)) {
		if info.DataCentre == place {
			h.darken(p, info.ID, span)
		}
	}
}

func (h *againHistory) darken(p *simulatedCell, id cottonlanding.WorkerID, span cottonlanding.Millis) {
	h.tell("%s is silent for %d", id, span)
	h.dark[id] = true
	p.runner.Dark(id, true)
	h.later(span, func() {
		p.runner.Dark(id, false)
		delete(h.dark, id)
	})
}

// drainSome has workers leave, with others in their place before or after.
func (h *againHistory) drainSome(p *simulatedCell, most int) {
	for _, chosen := range h.pick(p, most) {
		id := chosen.ID
		h.tell("%s leaves", id)
		for at := range p.workers {
			if p.workers[at].ID == id {
				p.workers = slices.Clone(p.workers)
				p.workers[at].State = cottonlanding.Leaving
			}
		}
		p.lastFaultAt = h.now()
		listed := h.span(turnSpan, longestDrain)
		served := listed + h.span(0, 3*cottonlanding.Second)
		if h.random.Intn(4) == 0 {
			served = listed + longestJoin
		}
		h.later(listed, func() { h.unlist(p, id) })
		h.later(served, func() { h.endDrained(p, id) })
		h.later(h.span(0, longestJoin), func() { h.join(p) })
	}
	p.list()
}

func (h *againHistory) endDrained(p *simulatedCell, id cottonlanding.WorkerID) {
	if !h.gone[id] {
		h.tell("%s has left", id)
		p.runner.Crash(id)
		p.breakConnections(id)
		h.gone[id] = true
	}
}

// changeOwners has owners follow each other, some of them with a commit whose answer they never get.
func (h *againHistory) changeOwners(p *simulatedCell, times int) {
	after := h.span(300, longestVacancy)
	if p.owned() && p.plan != nil && p.now >= p.tableSilentUntil && h.random.Intn(2) == 0 {
		p.apply()
	}
	h.tell("the owner ends; the next one comes after %d", after)
	p.endOwner(after)
	if times > 1 {
		if gap := after + h.span(300, 4*cottonlanding.Second); h.now()+gap < h.troubleEnd {
			h.later(gap, func() { h.changeOwners(p, times-1) })
		}
	}
}

func (h *againHistory) failOrders(p *simulatedCell, span cottonlanding.Millis) {
	p.faultOdds = []int{10, 30, 60, 90}[h.random.Intn(4)]
	for _, info := range h.pick(p, 1+h.random.Intn(max(1, len(p.workers)))) {
		h.tell("%d of 100 orders to %s fail for %d", p.faultOdds, info.ID, span)
		p.faultyUntil[info.ID] = h.now() + span
	}
}

func (h *againHistory) loseLooks(p *simulatedCell, span cottonlanding.Millis) {
	for _, info := range h.pick(p, 1+h.random.Intn(max(1, len(p.workers)))) {
		h.tell("looks at %s fail for %d", info.ID, span)
		p.answersLostUntil[info.ID] = h.now() + span
	}
}

// silenceTable has no commit succeed for a while. An owner that can't write its beat for long is followed by another
// once the table answers again.
func (h *againHistory) silenceTable(p *simulatedCell, span cottonlanding.Millis) {
	h.tell("the table is silent for %d", span)
	p.tableSilentUntil = h.now() + span
	if span > ownerTTL {
		h.later(ownerTTL, func() { p.endOwner(span - ownerTTL + h.span(300, cottonlanding.Second)) })
	}
}

// holdUp has the owner stand still, or its starts wait because what it knows is too old.
func (h *againHistory) holdUp(p *simulatedCell, most cottonlanding.Millis) {
	span := h.span(turnSpan, most)
	if h.random.Intn(2) == 0 {
		h.tell("starts are held for %d", span)
		p.startsHeldUntil = h.now() + span
		return
	}
	span = min(span, ownerTTL)
	h.tell("the owner stands still for %d", span)
	p.pausedUntil = h.now() + span
}

// evacuateSome evacuates a data centre for a while, also beyond the phase of trouble.
func (h *againHistory) evacuateSome() {
	place := dataCentres[h.random.Intn(len(dataCentres))]
	h.tell("%s is evacuated", place)
	for _, p := range h.cells {
		p.evacuate(place, true)
	}
	h.later(h.span(turnSpan, longestTrouble), func() {
		h.tell("%s is evacuated no more", place)
		for _, p := range h.cells {
			p.evacuate(place, false)
		}
	})
}

// submitCulprit hands in a task that crashes its workers.
func (h *againHistory) submitCulprit() {
	h.submitted++
	id := cottonlanding.WorkflowID(fmt.Sprintf("c%d", h.submitted))
	h.cells[0].faultyTasks[firstTask(id)] = true
	h.tell("culprit %s", id)
	h.hand(0, id, short(1000))
}
