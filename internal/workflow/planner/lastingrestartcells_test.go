package planner_test

import (
	"maps"
	"slices"
	"testing"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

const (
	// cellCount is the number of cells in histories of several.
	cellCount = 3
	// delegateInterval and askInterval are how often owners delegate tasks, and send requests about delegated ones.
	delegateInterval = 300 * cottonlanding.Millis(1)
	askInterval      = 250 * cottonlanding.Millis(1)
	// reservationTTL is how long a cell counts the room that it has assigned in another one as taken.
	reservationTTL = 600 * cottonlanding.Millis(1)
)

// roomReservation is room of another cell that was assigned to a task.
type roomReservation struct {
	cell int
	cpu  cottonlanding.Millicores
	at   cottonlanding.Millis
}

// delegationTraffic simulates the exchange between the cells of a history.
type delegationTraffic struct {
	*rerunHistory
	stamps map[[2]int]planner.DelegationStamp
	// epochs holds the owners that have received the stamps.
	epochs map[int]cottonlanding.Epoch
	given  []roomReservation
	late   []sentRequest
	// faultyUntil is until when calls between cells fail.
	faultyUntil cottonlanding.Millis
}

func newDelegationTraffic(h *rerunHistory) *delegationTraffic {
	d := &delegationTraffic{rerunHistory: h, stamps: make(map[[2]int]planner.DelegationStamp), epochs: make(map[int]cottonlanding.Epoch)}
	h.between = d.exchange
	if h.random.Intn(2) == 0 {
		h.kinds = append(h.kinds, d.failCalls)
	}
	return d
}

func (d *delegationTraffic) failCalls(_ *rerunHistory, p *simulatedCell, left cottonlanding.Millis) {
	span := d.span(turnSpan, left)
	d.recordEvent("calls between cells fail for %d", span)
	d.faultyUntil, p.lastFaultAt = d.now()+span, d.now()
}

// exchange has owners delegate tasks and send requests about delegated ones.
func (d *delegationTraffic) exchange() {
	d.deliverLate()
	for cell, p := range d.cells {
		if !p.canStart() {
			continue
		}
		d.forgetStamps(cell, p.epoch)
		if p.now%delegateInterval == 0 {
			d.delegate(cell)
		}
		if p.cell.TakeDelegationChange() || p.now%askInterval == 0 {
			d.ask(cell)
		}
	}
}

// forgetStamps clears the stamps of a previous owner.
func (d *delegationTraffic) forgetStamps(cell int, epoch cottonlanding.Epoch) {
	if d.epochs[cell] == epoch {
		return
	}
	d.epochs[cell] = epoch
	for to := range d.cells {
		delete(d.stamps, [2]int{cell, to})
	}
}

// delegate has a cell delegate the tasks that fit on a worker of another cell.
func (d *delegationTraffic) delegate(cell int) {
	p := d.cells[cell]
	d.given = slices.DeleteFunc(d.given, func(g roomReservation) bool { return p.now-g.at >= reservationTTL })
	holes := d.holes(cell)
	for _, task := range p.cell.DelegableTasks(100, func(cottonlanding.WorkflowID) bool { return false }, p.now) {
		for to := range d.cells {
			at := slices.IndexFunc(holes[to], func(hole cottonlanding.Millicores) bool { return hole >= task.Need.CPU })
			if at < 0 || slices.Contains(task.Avoid, cottonlanding.CellNumber(to)) {
				continue
			}
			holes[to][at] -= task.Need.CPU
			d.given = append(d.given, roomReservation{to, task.Need.CPU, p.now})
			p.cell.Delegate(task.Ref, cottonlanding.CellNumber(to), p.now)
			break
		}
	}
}

// holes returns the free room of single workers in the other cells, less what was assigned there just now.
func (d *delegationTraffic) holes(cell int) map[int][]cottonlanding.Millicores {
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

// ask sends the requests of one cell. An owner's first response brings its stamp, so a second request follows at once.
func (d *delegationTraffic) ask(cell int) {
	asked := d.cells[cell].cell.Delegations()
	for _, to := range slices.Sorted(maps.Keys(asked)) {
		for range 2 {
			at := [2]int{cell, int(to)}
			before := d.stamps[at].Epoch
			request := planner.DelegationRequest{Delegator: cottonlanding.CellNumber(cell), Last: d.stamps[at], Workflows: asked[to]}
			if !d.askOne(at, request) || d.stamps[at].Epoch == before {
				break
			}
		}
	}
}

// askOne sends one request, and reports whether its response arrived.
func (d *delegationTraffic) askOne(at [2]int, request planner.DelegationRequest) bool {
	delegator, delegate := d.cells[at[0]], d.cells[at[1]]
	fault := ""
	if d.now() < d.faultyUntil {
		fault = []string{"", "lost", "late", "unanswered"}[d.random.Intn(4)]
		delegator.lastFaultAt = delegator.now
	}
	switch {
	case !delegate.owned() || delegate.now < delegate.pausedUntil || fault == "lost":
		return false
	case fault == "late":
		d.late = append(d.late, sentRequest{at[1], request})
		return false
	}
	response := delegate.cell.HandleDelegationRequest(request, delegate.now)
	if fault == "unanswered" {
		return false
	}
	d.stamps[at] = response.Stamp
	delegator.cell.RecordDelegationResponse(cottonlanding.CellNumber(at[1]), response, delegator.now)
	return true
}

// deliverLate delivers delayed requests, by chance while calls fail, all of them afterwards.
func (d *delegationTraffic) deliverLate() {
	left := d.late[:0]
	for _, sent := range d.late {
		delegate := d.cells[sent.to]
		switch {
		case d.now() < d.faultyUntil && d.random.Intn(20) > 0:
			left = append(left, sent)
		case delegate.owned():
			delegate.cell.HandleDelegationRequest(sent.request, delegate.now)
		}
	}
	d.late = left
}

// TestLastingTasksRunAgainInOtherCells is TestLastingTasksRunAgainInTime for several cells with room of their own. It
// guards against a lasting task that waits, or moves between cells, for longer than the limit while another cell has
// room.
//
//	go test ./internal/workflow/planner -run TestLastingTasksRunAgainInOtherCells -args -again.seeds 1000
func TestLastingTasksRunAgainInOtherCells(t *testing.T) {
	t.Parallel()
	playHistories(t, func(t *testing.T, seed int64) *rerunHistory {
		h := newRerunHistory(t, seed, cellCount)
		newDelegationTraffic(h)
		return h
	})
}
