package gateway

import (
	"encoding/json"
	"slices"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// maxReportLag is how long what was referred to a cell may be missing from what its owner
// tells: until it is committed here and there, told with a beat, and that is read here.
// Where hundreds of lasting workflows come within a second, a shorter span has cells take more of
// them than they can hold, for good.
const maxReportLag = 2 * cottonlanding.Second

// referredLoad is what this host has referred to a cell of late: the processors that its
// first steps ask for.
type referredLoad struct {
	at cottonlanding.Millis
	// reserved is those for which the work has room reserved, filling those that its filling
	// tasks use; lasting is the part of reserved that its lasting tasks hold.
	reserved, filling, lasting cottonlanding.Millicores
	// delegated is what a lasting task asks for that was delegated there, on a worker of service.
	delegated cottonlanding.Millicores
	service   cottonlanding.ServiceName
}

// recordReferred takes in that a workflow was referred to this cell.
func (p *participant) recordReferred(workflow cottonlanding.Workflow, now cottonlanding.Millis) {
	work := referredLoad{at: now, lasting: lastingCPU(workflow, allTasks)}
	for _, step := range workflow.Steps {
		if len(step.After) > 0 {
			continue // it waits for others first
		}
		cpu := cottonlanding.Millicores(step.Tasks) * step.Resources.CPU
		if step.Fills {
			work.filling += cpu
		} else {
			work.reserved += cpu
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.referred = append(p.referred, work)
}

// lastingCPU adds up the processors that lasting tasks of a workflow have reserved at first; tasks
// says how many of a step's tasks count.
func lastingCPU(workflow cottonlanding.Workflow, tasks func(cottonlanding.Step) int) cottonlanding.Millicores {
	sum := cottonlanding.Millicores(0)
	for _, step := range workflow.Steps {
		if step.Lasting && len(step.After) == 0 {
			sum += cottonlanding.Millicores(tasks(step)) * step.Reserved().CPU
		}
	}
	return sum
}

func allTasks(step cottonlanding.Step) int { return step.Tasks }

// minTasks counts as few tasks as can begin.
func minTasks(step cottonlanding.Step) int {
	if step.Gang {
		return step.Tasks
	}
	return min(step.Tasks, 1)
}

// otherCell is what is known here of the room of another cell.
type otherCell struct {
	cottonlanding.CellView
	capacity cottonlanding.Millicores
	// lasting is the part of it that lasting tasks hold or wait for.
	lasting float64
	// largest is what its worker with the most free processors has free, holes what single workers have,
	// both by service.
	largest map[cottonlanding.ServiceName]cottonlanding.Resources
	holes   map[cottonlanding.ServiceName][]cottonlanding.Millicores
}

// deductReferred returns a cell without the room of what was referred here and may not be told of
// yet. Each home sees what it has referred itself; the others are taken to do the same.
func (p *participant) deductReferred(cell otherCell, homes int, now cottonlanding.Millis) otherCell {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.referred = slices.DeleteFunc(p.referred, func(work referredLoad) bool { return now-work.at > maxReportLag })
	if cell.capacity == 0 {
		return cell
	}
	for _, work := range p.referred {
		cell.Free -= float64(homes) * float64(work.reserved) / float64(cell.capacity)
		cell.Spare -= float64(homes) * float64(work.filling) / float64(cell.capacity)
		cell.lasting += float64(homes) * float64(work.lasting) / float64(cell.capacity)
		cell.deductDelegated(work.service, work.delegated) // few homes delegate at a time
	}
	return cell
}

// deductDelegated takes in that a task was delegated to the cell: it goes to the smallest hole that is large enough.
func (o *otherCell) deductDelegated(service cottonlanding.ServiceName, cpu cottonlanding.Millicores) {
	if cpu == 0 {
		return
	}
	o.lasting += float64(cpu) / float64(o.capacity)
	o.Free -= float64(cpu) / float64(o.capacity)
	best := -1
	for at, hole := range o.holes[service] {
		if hole >= cpu && (best < 0 || hole < o.holes[service][best]) {
			best = at
		}
	}
	if best >= 0 {
		o.holes[service][best] -= cpu
	}
}

// hole returns what the worker with the most free processors has left beside what was delegated to the cell.
func (o otherCell) hole(service cottonlanding.ServiceName) cottonlanding.Millicores {
	most := cottonlanding.Millicores(0)
	for _, hole := range o.holes[service] {
		most = max(most, hole)
	}
	return most
}

// encodeReport returns what the owner tells of its cell with each beat: what is left of it, or
// nothing while that isn't known.
func (p *participant) encodeReport() []byte {
	local := p.local()
	if local == nil {
		return nil
	}
	report, usable := local.Report()
	if !usable {
		return nil
	}
	data, err := json.Marshal(report)
	if err != nil {
		p.gateway.deps.Log.Error("what is left of the cell isn't told", "Cell", p.cell, "Error", err)
		return nil
	}
	return data
}

// view returns what is known here of the room of another cell.
func (p *participant) view(homes int, now cottonlanding.Millis) otherCell {
	latestReport, usable := p.latestReport()
	cell := otherCell{viewOf(p.cell, latestReport, usable), latestReport.Capacity, latestReport.Lasting, latestReport.Largest, make(map[cottonlanding.ServiceName][]cottonlanding.Millicores)}
	for service, holes := range latestReport.Holes {
		cell.holes[service] = slices.Clone(holes) // what is delegated is deducted
	}
	return p.deductReferred(cell, homes, now)
}

// fitsLasting reports whether the cell has room for lasting tasks, now or once shorter ones end.
func (o otherCell) fitsLasting(cpu cottonlanding.Millicores) bool {
	return cpu == 0 || o.Usable && o.lasting+float64(cpu)/float64(o.capacity) <= 1
}

// cellsWithLastingRoom returns the cells with room for all lasting tasks of a workflow or, if there are
// none, those with room for some.
func cellsWithLastingRoom(workflow cottonlanding.Workflow, others []otherCell) []otherCell {
	for _, tasks := range []func(cottonlanding.Step) int{allTasks, minTasks} {
		cpu := lastingCPU(workflow, tasks)
		fitting := slices.DeleteFunc(slices.Clone(others), func(o otherCell) bool { return !o.fitsLasting(cpu) })
		if len(fitting) > 0 {
			return fitting
		}
	}
	return nil
}

// latestReport returns what the owner of the cell told last, here or with its beat.
func (p *participant) latestReport() (planner.Report, bool) {
	if local := p.local(); local != nil {
		return local.Report()
	}
	known := p.holder.View()
	if len(known.Report) == 0 || known.BeatAge > ownerSilenceTimeout {
		return planner.Report{}, false
	}
	var latestReport planner.Report
	if err := json.Unmarshal(known.Report, &latestReport); err != nil {
		p.gateway.deps.Log.Warn("report of another cell", "Cell", p.cell, "Error", err)
		return planner.Report{}, false
	}
	return latestReport, true
}

func viewOf(cell cottonlanding.CellNumber, report planner.Report, usable bool) cottonlanding.CellView {
	return cottonlanding.CellView{Cell: cell, Usable: usable, Free: report.Free, Spare: report.Spare}
}

// refer returns the cell that is to keep a new workflow of this home.
func (p *participant) refer(workflow cottonlanding.Workflow, report planner.Report, usable bool) (cottonlanding.CellNumber, bool) {
	return p.choose(workflow, report, usable, p.others())
}

// move returns the cell to which a workflow that waits at this home is to go. It can't leave
// that again, since only its home says where it is: with lasting tasks it waits here until a cell
// has room for them, rather than where less waits.
func (p *participant) move(workflow cottonlanding.Workflow, report planner.Report, usable bool) (cottonlanding.CellNumber, bool) {
	return p.choose(workflow, report, usable, cellsWithLastingRoom(workflow, p.others()))
}

// others returns what is known of all other cells.
func (p *participant) others() []otherCell {
	participants := *p.gateway.participants.Load()
	now := p.gateway.deps.Clock.Now()
	var out []otherCell
	for _, other := range participants {
		if other != p {
			out = append(out, other.view(len(participants), now))
		}
	}
	return out
}

func (p *participant) choose(workflow cottonlanding.Workflow, report planner.Report, usable bool, others []otherCell) (cottonlanding.CellNumber, bool) {
	if len(others) == 0 {
		return 0, false
	}
	views := make([]cottonlanding.CellView, len(others))
	for at, other := range others {
		views[at] = other.CellView
	}
	to, found := p.gateway.settings.Referral.Refer(workflow, viewOf(p.cell, report, usable), views)
	if found {
		p.gateway.participant(to).recordReferred(workflow, p.gateway.deps.Clock.Now())
	}
	return to, found
}
