package planner_test

import (
	"fmt"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

const (
	// maxRestartDelay is the maximum time until a crashed worker runs again, maxReplacementDelay until another one
	// replaces a worker that is gone for good.
	maxRestartDelay     = 4 * cottonlanding.Second
	maxReplacementDelay = 12 * cottonlanding.Second
	// maxDrainTime is how long the entry of a leaving worker stays listed at most.
	maxDrainTime = 8 * cottonlanding.Second
	// maxOwnerVacancy is the maximum time that a cell has no owner.
	maxOwnerVacancy = 2500 * cottonlanding.Millis(1)
	// maxTableOutage is the maximum time in which commits fail, maxStall that in which starts are held.
	maxTableOutage = 5 * cottonlanding.Second
	maxStall       = 4 * cottonlanding.Second
)

// faultKinds holds the kinds of faults of histories, each called with the remaining time of the fault phase.
var faultKinds = []func(*rerunHistory, *simulatedCell, cottonlanding.Millis){
	func(h *rerunHistory, p *simulatedCell, _ cottonlanding.Millis) { h.crashSome(p, 1) },
	func(h *rerunHistory, p *simulatedCell, _ cottonlanding.Millis) { h.crashSome(p, 1+h.random.Intn(3)) },
	func(h *rerunHistory, p *simulatedCell, left cottonlanding.Millis) {
		h.silence(p, 1+h.random.Intn(3), h.span(turnSpan, left))
	},
	func(h *rerunHistory, p *simulatedCell, left cottonlanding.Millis) {
		h.silenceDataCentre(p, h.span(turnSpan, left))
	},
	func(h *rerunHistory, p *simulatedCell, _ cottonlanding.Millis) { h.drainSome(p, 1+h.random.Intn(3)) },
	func(h *rerunHistory, p *simulatedCell, _ cottonlanding.Millis) { h.changeOwners(p, 1+h.random.Intn(3)) },
	func(h *rerunHistory, p *simulatedCell, _ cottonlanding.Millis) {
		h.crashSome(p, 1+h.random.Intn(2))
		h.changeOwners(p, 1+h.random.Intn(2))
	},
	func(h *rerunHistory, p *simulatedCell, left cottonlanding.Millis) {
		h.failOrders(p, h.span(turnSpan, left))
	},
	func(h *rerunHistory, p *simulatedCell, left cottonlanding.Millis) {
		h.losePolls(p, h.span(turnSpan, left))
	},
	func(h *rerunHistory, p *simulatedCell, left cottonlanding.Millis) {
		h.silenceTable(p, h.span(turnSpan, min(left, maxTableOutage)))
	},
	func(h *rerunHistory, p *simulatedCell, left cottonlanding.Millis) { h.stall(p, min(left, maxStall)) },
	func(h *rerunHistory, _ *simulatedCell, _ cottonlanding.Millis) { h.evacuateSome() },
	func(h *rerunHistory, _ *simulatedCell, _ cottonlanding.Millis) { h.submitFaultyTask() },
}

// injectFault starts one fault, which ends by the end of the fault phase.
func (h *rerunHistory) injectFault() {
	if len(h.kinds) == 0 {
		return
	}
	p := h.cells[h.random.Intn(len(h.cells))]
	h.kinds[h.random.Intn(len(h.kinds))](h, p, max(h.faultPhaseEnd-h.now(), turnSpan))
}

// pick returns up to most healthy workers.
func (h *rerunHistory) pick(p *simulatedCell, most int) []cottonlanding.WorkerInfo {
	sound := slices.DeleteFunc(slices.Clone(p.workers), func(info cottonlanding.WorkerInfo) bool {
		return h.gone[info.ID] || h.unreachable[info.ID] || info.State != cottonlanding.Live
	})
	h.random.Shuffle(len(sound), func(a, b int) { sound[a], sound[b] = sound[b], sound[a] })
	return sound[:min(most, len(sound))]
}

func (h *rerunHistory) crashSome(p *simulatedCell, most int) {
	for _, info := range h.pick(p, most) {
		h.recordEvent("%s crashes", info.ID)
		p.runner.Crash(info.ID)
		h.planRecovery(p, info.ID)
	}
}

// handleCrashed plans the recovery of workers that were crashed by their tasks.
func (h *rerunHistory) handleCrashed() {
	for _, id := range h.cells[0].runner.TakeCrashed() {
		for _, p := range h.cells {
			if slices.ContainsFunc(p.workers, func(info cottonlanding.WorkerInfo) bool { return info.ID == id }) {
				h.recordEvent("%s is crashed by a task", id)
				h.planRecovery(p, id)
			}
		}
	}
}

// planRecovery has a crashed worker restart under its id, be replaced at its address, or stay away.
func (h *rerunHistory) planRecovery(p *simulatedCell, id cottonlanding.WorkerID) {
	h.gone[id] = true
	p.lastFaultAt = h.now()
	if h.random.Intn(2) == 0 {
		p.breakConnections(id)
	}
	switch h.random.Intn(3) {
	case 0:
		h.schedule(h.span(turnSpan, maxRestartDelay), func() { h.restart(p, id) })
	case 1:
		h.schedule(h.span(turnSpan, maxRestartDelay), func() { h.replace(p, id) })
		h.schedule(entryRetention, func() { h.unlist(p, id) })
	case 2:
		h.schedule(entryRetention, func() { h.unlist(p, id) })
		h.schedule(h.span(turnSpan, maxReplacementDelay), func() { h.join(p) })
	}
}

// restart begins the next life of a worker under its id, which its entry shows somewhat later.
func (h *rerunHistory) restart(p *simulatedCell, id cottonlanding.WorkerID) {
	at := slices.IndexFunc(p.workers, func(info cottonlanding.WorkerInfo) bool { return info.ID == id })
	if at < 0 {
		return // it was leaving and its entry was removed
	}
	h.recordEvent("%s has restarted", id)
	delete(h.gone, id)
	p.workers = slices.Clone(p.workers)
	p.workers[at].State = cottonlanding.Live
	p.restartWorker(at)
	h.schedule(h.span(0, cottonlanding.Second), func() { p.list() })
}

// replace starts another worker at the address of a crashed one.
func (h *rerunHistory) replace(p *simulatedCell, id cottonlanding.WorkerID) {
	for _, info := range p.workers {
		if info.ID == id {
			info.State = cottonlanding.Live
			p.addLife(info)
			p.restartWorker(len(p.workers) - 1)
			h.recordEvent("%s starts at the address of %s", p.workers[len(p.workers)-1].ID, id)
		}
	}
	p.list()
}

func (h *rerunHistory) unlist(p *simulatedCell, id cottonlanding.WorkerID) {
	h.recordEvent("%s is no longer listed", id)
	p.workers = slices.DeleteFunc(slices.Clone(p.workers), func(info cottonlanding.WorkerInfo) bool { return info.ID == id })
	p.list()
}

func (h *rerunHistory) silence(p *simulatedCell, most int, span cottonlanding.Millis) {
	for _, info := range h.pick(p, most) {
		h.makeUnreachable(p, info.ID, span)
	}
}

func (h *rerunHistory) silenceDataCentre(p *simulatedCell, span cottonlanding.Millis) {
	place := dataCentres[h.random.Intn(len(dataCentres))]
	for _, info := range h.pick(p, len(p.workers)) {
		if info.DataCentre == place {
			h.makeUnreachable(p, info.ID, span)
		}
	}
}

func (h *rerunHistory) makeUnreachable(p *simulatedCell, id cottonlanding.WorkerID, span cottonlanding.Millis) {
	h.recordEvent("%s is unreachable for %d", id, span)
	h.unreachable[id] = true
	p.runner.Dark(id, true)
	h.schedule(span, func() {
		p.runner.Dark(id, false)
		delete(h.unreachable, id)
	})
}

// drainSome has workers leave, and others replace them before or after that.
func (h *rerunHistory) drainSome(p *simulatedCell, most int) {
	for _, chosen := range h.pick(p, most) {
		id := chosen.ID
		h.recordEvent("%s leaves", id)
		for at := range p.workers {
			if p.workers[at].ID == id {
				p.workers = slices.Clone(p.workers)
				p.workers[at].State = cottonlanding.Leaving
			}
		}
		p.lastFaultAt = h.now()
		listed := h.span(turnSpan, maxDrainTime)
		served := listed + h.span(0, 3*cottonlanding.Second)
		if h.random.Intn(4) == 0 {
			served = listed + maxReplacementDelay
		}
		h.schedule(listed, func() { h.unlist(p, id) })
		h.schedule(served, func() { h.endDrained(p, id) })
		h.schedule(h.span(0, maxReplacementDelay), func() { h.join(p) })
	}
	p.list()
}

func (h *rerunHistory) endDrained(p *simulatedCell, id cottonlanding.WorkerID) {
	if !h.gone[id] {
		h.recordEvent("%s has left", id)
		p.runner.Crash(id)
		p.breakConnections(id)
		h.gone[id] = true
	}
}

// changeOwners has owners follow each other, some of them with a commit whose answer never arrives.
func (h *rerunHistory) changeOwners(p *simulatedCell, times int) {
	after := h.span(300, maxOwnerVacancy)
	if p.owned() && p.plan != nil && p.now >= p.tableSilentUntil && h.random.Intn(2) == 0 {
		p.apply()
	}
	h.recordEvent("the owner ends; the next one starts after %d", after)
	p.endOwner(after)
	if times > 1 {
		if gap := after + h.span(300, 4*cottonlanding.Second); h.now()+gap < h.faultPhaseEnd {
			h.schedule(gap, func() { h.changeOwners(p, times-1) })
		}
	}
}

func (h *rerunHistory) failOrders(p *simulatedCell, span cottonlanding.Millis) {
	p.faultOdds = []int{10, 30, 60, 90}[h.random.Intn(4)]
	for _, info := range h.pick(p, 1+h.random.Intn(max(1, len(p.workers)))) {
		h.recordEvent("%d of 100 orders to %s fail for %d", p.faultOdds, info.ID, span)
		p.faultyUntil[info.ID] = h.now() + span
	}
}

func (h *rerunHistory) losePolls(p *simulatedCell, span cottonlanding.Millis) {
	for _, info := range h.pick(p, 1+h.random.Intn(max(1, len(p.workers)))) {
		h.recordEvent("polls of %s fail for %d", info.ID, span)
		p.answersLostUntil[info.ID] = h.now() + span
	}
}

// silenceTable has commits fail for a span. An owner that can't write its beat for ownerTTL is replaced once the
// table answers again.
func (h *rerunHistory) silenceTable(p *simulatedCell, span cottonlanding.Millis) {
	h.recordEvent("commits fail for %d", span)
	p.tableSilentUntil = h.now() + span
	if span > ownerTTL {
		h.schedule(ownerTTL, func() { p.endOwner(span - ownerTTL + h.span(300, cottonlanding.Second)) })
	}
}

// stall has the owner stop acting, or hold starts as its data is too old.
func (h *rerunHistory) stall(p *simulatedCell, most cottonlanding.Millis) {
	span := h.span(turnSpan, most)
	if h.random.Intn(2) == 0 {
		h.recordEvent("starts are held for %d", span)
		p.startsHeldUntil = h.now() + span
		return
	}
	span = min(span, ownerTTL)
	h.recordEvent("the owner stalls for %d", span)
	p.pausedUntil = h.now() + span
}

// evacuateSome evacuates a data centre for a span that may outlast the fault phase.
func (h *rerunHistory) evacuateSome() {
	place := dataCentres[h.random.Intn(len(dataCentres))]
	h.recordEvent("%s is evacuated", place)
	for _, p := range h.cells {
		p.evacuate(place, true)
	}
	h.schedule(h.span(turnSpan, maxFaultPhase), func() {
		h.recordEvent("the evacuation of %s ends", place)
		for _, p := range h.cells {
			p.evacuate(place, false)
		}
	})
}

// submitFaultyTask submits a task that crashes its workers.
func (h *rerunHistory) submitFaultyTask() {
	h.submitted++
	id := cottonlanding.WorkflowID(fmt.Sprintf("c%d", h.submitted))
	h.cells[0].faultyTasks[firstTask(id)] = true
	h.recordEvent("faulty task %s", id)
	h.submitTo(0, id, short(1000))
}
