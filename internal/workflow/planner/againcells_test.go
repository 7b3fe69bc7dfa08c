package planner_test

import (
	"maps"
	"slices"
	"testing"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

const (
	// cellsPlayed is how many cells the histories of several have.
	cellsPlayed = 3
	// delegatePause and askPause are how often owners look for tasks to delegate, and ask about those that were.
	delegatePause = 300 * cottonlanding.Millis(1)
	askPause      = 250 * cottonlanding.Millis(1)
	// givenFor is how long a cell counts what it has given to another one as taken there.
	givenFor = 600 * cottonlanding.Millis(1)
)

// givenRoom is room of a cell that a task was given.
type givenRoom struct {
	cell int
	cpu  cottonlanding.Millicores
	at   cottonlanding.Millis
}

// delegations plays what passes between the cells of a history.
type delegations struct {
	*againHistory
	stamps map[[2]int]planner.DelegationStamp
	// epochs holds the owners to which the stamps were told.
	epochs map[int]cottonlanding.Epoch
	given  []givenRoom
	late   []sentQuestion
	// faultyUntil is until when calls between cells fail.
	faultyUntil cottonlanding.Millis
}

func newDelegations(h *againHistory) *delegations {
	d := &delegations{againHistory: h, stamps: make(map[[2]int]planner.DelegationStamp), epochs: make(map[int]cottonlanding.Epoch)}
	h.between = d.pass
	if h.random.Intn(2) == 0 {
		h.kinds = append(h.kinds, d.failCalls)
	}
	return d
}

func (d *delegations) failCalls(_ *againHistory, p *simulatedCell, left cottonlanding.Millis) {
	span := d.span(turnSpan, left)
	d.tell("calls between cells fail for %d", span)
	d.faultyUntil, p.lastFaultAt = d.now()+span, d.now()
}

// pass has owners delegate, and ask about what they have delegated.
func (d *delegations) pass() {
	d.deliverLate()
	for cell, p := range d.cells {
		if !p.canStart() {
			continue
		}
		d.forgetStamps(cell, p.epoch)
		if p.now%delegatePause == 0 {
			d.delegate(cell)
		}
		if p.cell.TakeGuestNews() || p.now%askPause == 0 {
			d.ask(cell)
		}
	}
}

// forgetStamps has a new owner begin without what the one before was told.
func (d *delegations) forgetStamps(cell int, epoch cottonlanding.Epoch) {
	if d.epochs[cell] == epoch {
		return
	}
	d.epochs[cell] = epoch
	for to := range d.cells {
		delete(d.stamps, [2]int{cell, to})
	}
}

// delegate has a cell delegate what finds a hole elsewhere.
func (d *delegations) delegate(cell int) {
	p := d.cells[cell]
	d.given = slices.DeleteFunc(d.given, func(g givenRoom) bool { return p.now-g.at >= givenFor })
	holes := d.holes(cell)
	for _, task := range p.cell.Delegables(100, func(cottonlanding.WorkflowID) bool { return false }, p.now) {
		for to := range d.cells {
			at := slices.IndexFunc(holes[to], func(hole cottonlanding.Millicores) bool { return hole >= task.Need.CPU })
			if at < 0 || slices.Contains(task.Avoid, cottonlanding.CellNumber(to)) {
				continue
			}
			holes[to][at] -= task.Need.CPU
			d.given = append(d.given, givenRoom{to, task.Need.CPU, p.now})
			p.cell.Delegate(task.Ref, cottonlanding.CellNumber(to), p.now)
			break
		}
	}
}

// holes returns what single workers of the other cells have free, less what they were given just now.
func (d *delegations) holes(cell int) map[int][]cottonlanding.Millicores {
	out := make(map[int][]cottonlanding.Millicores)
	for to, p := range d.cells {
		if to == cell || !p.owned() {
			continue
		}
		if report, usable := p.cell.Report(p.now); usable {
			out[to] = slices.Clone(report.Holes["S"])
		}
	}
	for _, given := range d.given {
		if at := slices.IndexFunc(out[given.cell], func(hole cottonlanding.Millicores) bool { return hole >= given.cpu }); at >= 0 {
			out[given.cell][at] -= given.cpu
		}
	}
	return out
}

// ask asks the cells that run tasks of one. An owner's first answer shows its instant, so that it is asked again at once.
func (d *delegations) ask(cell int) {
	asked := d.cells[cell].cell.Delegations()
	for _, to := range slices.Sorted(maps.Keys(asked)) {
		for range 2 {
			at := [2]int{cell, int(to)}
			before := d.stamps[at].Epoch
			question := planner.DelegationQuestion{Keeper: cottonlanding.CellNumber(cell), Last: d.stamps[at], Workflows: asked[to]}
			if !d.askOne(at, question) || d.stamps[at].Epoch == before {
				break
			}
		}
	}
}

// askOne asks one question, and reports whether its answer came.
func (d *delegations) askOne(at [2]int, question planner.DelegationQuestion) bool {
	keeper, guest := d.cells[at[0]], d.cells[at[1]]
	fault := ""
	if d.now() < d.faultyUntil {
		fault = []string{"", "lost", "late", "unanswered"}[d.random.Intn(4)]
		keeper.lastFaultAt = keeper.now
	}
	switch {
	case !guest.owned() || guest.now < guest.pausedUntil || fault == "lost":
		return false
	case fault == "late":
		d.late = append(d.late, sentQuestion{at[1], question})
		return false
	}
	answer := guest.cell.HoldGuests(question, guest.now)
	if fault == "unanswered" {
		return false
	}
	d.stamps[at] = answer.Stamp
	keeper.cell.Reported(cottonlanding.CellNumber(at[1]), answer, keeper.now)
	return true
}

// deliverLate has questions arrive that were on their way, once nothing fails any more or by chance.
func (d *delegations) deliverLate() {
	left := d.late[:0]
	for _, sent := range d.late {
		guest := d.cells[sent.to]
		switch {
		case d.now() < d.faultyUntil && d.random.Intn(20) > 0:
			left = append(left, sent)
		case guest.owned():
			guest.cell.HoldGuests(sent.question, guest.now)
		}
	}
	d.late = left
}

// TestLastingTasksRunAgainInOtherCells is TestLastingTasksRunAgainInTime for several cells with room of their own: a task
// that waits, or bounces between cells, for longer than the users' rule allows while another cell has room was
// the incident.
//
//	go test ./internal/workflow/planner -run TestLastingTasksRunAgainInOtherCells -args -again.seeds 1000
func TestLastingTasksRunAgainInOtherCells(t *testing.T) {
	t.Parallel()
	playAgain(t, func(t *testing.T, seed int64) *againHistory {
		h := newAgainHistory(t, seed, cellsPlayed)
		newDelegations(h)
		return h
	})
}
