package gateway

import (
	"encoding/json"
	"slices"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// maxReportLag is how long referred work may be missing from the report of the cell's owner: until the work is
// committed in both cells, the owner reports it with a heartbeat, and this host has read that. If hundreds of lasting
// workflows arrive within a second, a shorter time lets cells take more of them than they can ever run.
const maxReportLag = 2 * cottonlanding.Second

// referredLoad is the CPU of the first steps of a workflow that this host has recently referred to a cell, or of a task
// that it has recently delegated to one.
type referredLoad struct {
	at cottonlanding.Millis
	// reserved is the CPU that the work reserves, filling what its filling tasks use; lasting is the part of reserved
	// that lasting tasks need.
	reserved, filling, lasting cottonlanding.Millicores
	// delegated is the CPU of a delegated lasting task that runs on a worker of service.
	delegated cottonlanding.Millicores
	service   cottonlanding.ServiceName
}

// recordReferred records that a workflow was referred to this cell.
func (p *participant) recordReferred(workflow cottonlanding.Workflow, now cottonlanding.Millis) {
	work := referredLoad{at: now, lasting: lastingCPU(workflow, allTasks)}
	for _, step := range workflow.Steps {
		if len(step.After) > 0 {
			continue // it starts after other steps
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

// lastingCPU returns the CPU that the lasting tasks of a workflow's first steps reserve. The function tasks returns how
// many tasks of a step count.
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

// minTasks returns the minimum number of tasks with which a step can start.
func minTasks(step cottonlanding.Step) int {
	if step.Gang {
		return step.Tasks
	}
	return min(step.Tasks, 1)
}

// otherCell is the capacity of another cell, as known here.
type otherCell struct {
	cottonlanding.CellView
	capacity cottonlanding.Millicores
	// lasting is the fraction of capacity that lasting tasks use or wait for.
	lasting float64
	// largest is what the worker with the most free CPU has free, by service.
	largest map[cottonlanding.ServiceName]cottonlanding.Resources
	// freeByWorker is the free CPU of single workers, by service: one value for each worker that the owner reports.
	freeByWorker map[cottonlanding.ServiceName][]cottonlanding.Millicores
}

// deductReferred subtracts recently referred work from a cell's capacity, since the owner's report may not include it
// yet. Each home knows only its own referrals and assumes that all homes refer as much.
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
		cell.deductDelegated(work.service, work.delegated) // not multiplied: few homes delegate at a time
	}
	return cell
}

// deductDelegated subtracts a delegated task from the cell's capacity, and from the worker with the least free CPU that
// is enough for it.
func (o *otherCell) deductDelegated(service cottonlanding.ServiceName, cpu cottonlanding.Millicores) {
	if cpu == 0 {
		return
	}
	o.lasting += float64(cpu) / float64(o.capacity)
	o.Free -= float64(cpu) / float64(o.capacity)
	best := -1
	for at, free := range o.freeByWorker[service] {
		if free >= cpu && (best < 0 || free < o.freeByWorker[service][best]) {
			best = at
		}
	}
	if best >= 0 {
		o.freeByWorker[service][best] -= cpu
	}
}

// freeOnOneWorker returns the free CPU of the worker that has most of it, with delegated tasks subtracted.
func (o otherCell) freeOnOneWorker(service cottonlanding.ServiceName) cottonlanding.Millicores {
	most := cottonlanding.Millicores(0)
	for _, freeOnOneWorker := range o.freeByWorker[service] {
		most = max(most, freeOnOneWorker)
	}
	return most
}

// encodeReport returns the report of the cell's capacity that the owner adds to each heartbeat, or nil while the
// capacity isn't known.
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
		p.gateway.deps.Log.Error("could not encode the capacity report of the cell", "Cell", p.cell, "Error", err)
		return nil
	}
	return data
}

// view returns the capacity of this participant's cell for another cell, with referred work subtracted.
func (p *participant) view(homes int, now cottonlanding.Millis) otherCell {
	latestReport, usable := p.latestReport()
	cell := otherCell{viewOf(p.cell, latestReport, usable), latestReport.Capacity, latestReport.Lasting, latestReport.Largest, make(map[cottonlanding.ServiceName][]cottonlanding.Millicores)}
	for service, freeByWorker := range latestReport.Holes {
		cell.freeByWorker[service] = slices.Clone(freeByWorker) // deductDelegated changes it
	}
	return p.deductReferred(cell, homes, now)
}

// fitsLasting reports whether the cell has capacity for lasting tasks, now or once tasks that don't last have ended.
func (o otherCell) fitsLasting(cpu cottonlanding.Millicores) bool {
	return cpu == 0 || o.Usable && o.lasting+float64(cpu)/float64(o.capacity) <= 1
}

// cellsWithLastingCapacity returns the cells with capacity for all lasting tasks of a workflow or, if there are none,
// those with capacity for the fewest with which it can start.
func cellsWithLastingCapacity(workflow cottonlanding.Workflow, others []otherCell) []otherCell {
	for _, tasks := range []func(cottonlanding.Step) int{allTasks, minTasks} {
		cpu := lastingCPU(workflow, tasks)
		fitting := slices.DeleteFunc(slices.Clone(others), func(o otherCell) bool { return !o.fitsLasting(cpu) })
		if len(fitting) > 0 {
			return fitting
		}
	}
	return nil
}

// latestReport returns the last capacity report of the cell's owner, local or from its heartbeat, and whether it is
// usable.
func (p *participant) latestReport() (planner.Report, bool) {
	if local := p.local(); local != nil {
		return local.Report()
	}
	known := p.holder.View()
	if len(known.Report) == 0 || known.BeatAge > maxHeartbeatAge {
		return planner.Report{}, false
	}
	var latestReport planner.Report
	if err := json.Unmarshal(known.Report, &latestReport); err != nil {
		p.gateway.deps.Log.Warn("could not decode the capacity report of another cell", "Cell", p.cell, "Error", err)
		return planner.Report{}, false
	}
	return latestReport, true
}

func viewOf(cell cottonlanding.CellNumber, report planner.Report, usable bool) cottonlanding.CellView {
	return cottonlanding.CellView{Cell: cell, Usable: usable, Free: report.Free, Spare: report.Spare}
}

// referralTarget returns the cell to which a new workflow of this home cell is referred, and false if it stays.
func (p *participant) referralTarget(workflow cottonlanding.Workflow, report planner.Report, usable bool) (cottonlanding.CellNumber, bool) {
	return p.chooseCell(workflow, report, usable, p.others())
}

// handOverTarget returns the cell to which a workflow that waits at this home cell is handed over, and false if it
// stays. A workflow can be handed over only once, since only its home records where it is. Therefore one with lasting
// tasks waits here until a cell has capacity for them, even if fewer tasks wait elsewhere.
func (p *participant) handOverTarget(workflow cottonlanding.Workflow, report planner.Report, usable bool) (cottonlanding.CellNumber, bool) {
	return p.chooseCell(workflow, report, usable, cellsWithLastingCapacity(workflow, p.others()))
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

// chooseCell applies the referral policy to a workflow of this cell, and records the choice at the chosen cell. It
// returns false if the workflow stays.
func (p *participant) chooseCell(workflow cottonlanding.Workflow, report planner.Report, usable bool, others []otherCell) (cottonlanding.CellNumber, bool) {
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
