package gateway

import (
	"encoding/json"
	"slices"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// untoldFor is how long what was referred to a cell may be missing from what its owner
// tells: until it is committed here and there, told with a beat, and that is read here.
// Where hundreds of lasting workflows come within a second, a shorter span has cells take more of
// them than they can hold, for good.
const untoldFor = 2 * cottonlanding.Second

// referredWork is what this host has referred to a cell of late: the processors that its
// first steps ask for.
type referredWork struct {
	at cottonlanding.Millis
	// reserved is those for which the work has room reserved, filling those that its filling
	// tasks use; lasting is the part of reserved that its lasting tasks hold.
	reserved, filling, lasting cottonlanding.Millicores
	// delegated is what a lasting task asks for that was delegated there, on a worker of service.
	delegated cottonlanding.Millicores
	service   cottonlanding.ServiceName
}

// recordReferred takes in that a workflow was referred to this cell.
func (s *seat) recordReferred(workflow cottonlanding.Workflow, now cottonlanding.Millis) {
	work := referredWork{at: now, lasting: lastingCPU(workflow, allTasks)}
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
	s.mu.Lock()
	defer s.mu.Unlock()
	s.referred = append(s.referred, work)
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

// fewestTasks counts as few tasks as can begin.
func fewestTasks(step cottonlanding.Step) int {
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

// less returns a cell without the room of what was referred here and may not be told of
// yet. Each home sees what it has referred itself; the others are taken to do the same.
func (s *seat) less(cell otherCell, homes int, now cottonlanding.Millis) otherCell {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.referred = slices.DeleteFunc(s.referred, func(work referredWork) bool { return now-work.at > untoldFor })
	if cell.capacity == 0 {
		return cell
	}
	for _, work := range s.referred {
		cell.Free -= float64(homes) * float64(work.reserved) / float64(cell.capacity)
		cell.Spare -= float64(homes) * float64(work.filling) / float64(cell.capacity)
		cell.lasting += float64(homes) * float64(work.lasting) / float64(cell.capacity)
		cell.deduct(work.service, work.delegated) // few homes delegate at a time
	}
	return cell
}

// deduct takes in that a task was delegated to the cell: it goes to the smallest hole that is large enough.
func (o *otherCell) deduct(service cottonlanding.ServiceName, cpu cottonlanding.Millicores) {
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

// report returns what the owner tells of its cell with each beat: what is left of it, or
// nothing while that isn't known.
func (s *seat) report() []byte {
	local := s.local()
	if local == nil {
		return nil
	}
	left, usable := local.Report()
	if !usable {
		return nil
	}
	data, err := json.Marshal(left)
	if err != nil {
		s.gateway.deps.Log.Error("what is left of the cell isn't told", "Cell", s.cell, "Error", err)
		return nil
	}
	return data
}

// view returns what is known here of the room of another cell.
func (s *seat) view(homes int, now cottonlanding.Millis) otherCell {
	left, usable := s.left()
	cell := otherCell{viewOf(s.cell, left, usable), left.Capacity, left.Lasting, left.Largest, make(map[cottonlanding.ServiceName][]cottonlanding.Millicores)}
	for service, holes := range left.Holes {
		cell.holes[service] = slices.Clone(holes) // what is delegated is deducted
	}
	return s.less(cell, homes, now)
}

// holds reports whether the cell has room for lasting tasks, now or once shorter ones end.
func (o otherCell) holds(cpu cottonlanding.Millicores) bool {
	return cpu == 0 || o.Usable && o.lasting+float64(cpu)/float64(o.capacity) <= 1
}

// thatHold returns the cells with room for all lasting tasks of a workflow or, if there are
// none, those with room for some.
func thatHold(workflow cottonlanding.Workflow, others []otherCell) []otherCell {
	for _, tasks := range []func(cottonlanding.Step) int{allTasks, fewestTasks} {
		cpu := lastingCPU(workflow, tasks)
		holding := slices.DeleteFunc(slices.Clone(others), func(o otherCell) bool { return !o.holds(cpu) })
		if len(holding) > 0 {
			return holding
		}
	}
	return nil
}

// left returns what the owner of the cell told last, here or with its beat.
func (s *seat) left() (planner.Report, bool) {
	if local := s.local(); local != nil {
		return local.Report()
	}
	known := s.holder.View()
	if len(known.Report) == 0 || known.BeatAge > ownerSilence {
		return planner.Report{}, false
	}
	var left planner.Report
	if err := json.Unmarshal(known.Report, &left); err != nil {
		s.gateway.deps.Log.Warn("report of another cell", "Cell", s.cell, "Error", err)
		return planner.Report{}, false
	}
	return left, true
}

func viewOf(cell cottonlanding.CellNumber, left planner.Report, usable bool) cottonlanding.CellView {
	return cottonlanding.CellView{Cell: cell, Usable: usable, Free: left.Free, Spare: left.Spare}
}

// refer returns the cell that is to keep a new workflow of this home.
func (s *seat) refer(workflow cottonlanding.Workflow, left planner.Report, usable bool) (cottonlanding.CellNumber, bool) {
	return s.choose(workflow, left, usable, s.others())
}

// move returns the cell to which a workflow that waits at this home is to go. It can't leave
// that again, since only its home says where it is: with lasting tasks it waits here until a cell
// has room for them, rather than where less waits.
func (s *seat) move(workflow cottonlanding.Workflow, left planner.Report, usable bool) (cottonlanding.CellNumber, bool) {
	return s.choose(workflow, left, usable, thatHold(workflow, s.others()))
}

// others returns what is known of all other cells.
func (s *seat) others() []otherCell {
	seats := *s.gateway.seats.Load()
	now := s.gateway.deps.Clock.Now()
	var out []otherCell
	for _, other := range seats {
		if other != s {
			out = append(out, other.view(len(seats), now))
		}
	}
	return out
}

func (s *seat) choose(workflow cottonlanding.Workflow, left planner.Report, usable bool, others []otherCell) (cottonlanding.CellNumber, bool) {
	if len(others) == 0 {
		return 0, false
	}
	views := make([]cottonlanding.CellView, len(others))
	for at, other := range others {
		views[at] = other.CellView
	}
	to, found := s.gateway.settings.Referral.Refer(workflow, viewOf(s.cell, left, usable), views)
	if found {
		s.gateway.seat(to).recordReferred(workflow, s.gateway.deps.Clock.Now())
	}
	return to, found
}
