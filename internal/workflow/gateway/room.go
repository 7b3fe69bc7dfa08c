package gateway

import (
	"encoding/json"
	"slices"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// untoldFor is how long what was referred to a cell may be missing from what its owner
// tells: until it is committed here and there, told with a beat, and that is read here.
// Two hundred lasting workflows came within a second; with less than that, cells took more
// of them than they could hold, for good.
const untoldFor = 2 * cottonlanding.Second

// referredWork is what this host has referred to a cell of late.
type referredWork struct {
	at cottonlanding.Millis
	demand
}

// demand is the processors that work asks for at first: reserved is those for which it has
// room reserved, filling those that its filling tasks use.
type demand struct {
	reserved, filling cottonlanding.Millicores
}

// demandOf adds up what the steps of a workflow ask for that wait for no others; tasks says
// how many of a step's tasks count.
func demandOf(workflow cottonlanding.Workflow, tasks func(cottonlanding.Step) int) demand {
	var sum demand
	for _, step := range workflow.Steps {
		if len(step.After) > 0 {
			continue
		}
		cpu := cottonlanding.Millicores(tasks(step)) * step.Resources.CPU
		if step.Fills {
			sum.filling += cpu
		} else {
			sum.reserved += cpu
		}
	}
	return sum
}

func allTasks(step cottonlanding.Step) int { return step.Tasks }

// lastingTasks counts those tasks that give no room back by themselves.
func lastingTasks(step cottonlanding.Step) int {
	if !step.Lasting {
		return 0
	}
	return step.Tasks
}

// fewestLastingTasks counts as few lasting tasks as can begin.
func fewestLastingTasks(step cottonlanding.Step) int {
	if step.Gang {
		return lastingTasks(step)
	}
	return min(lastingTasks(step), 1)
}

// noteReferred takes in that a workflow was referred to this cell.
func (s *seat) noteReferred(workflow cottonlanding.Workflow, now cottonlanding.Millis) {
	work := referredWork{now, demandOf(workflow, allTasks)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.referred = append(s.referred, work)
}

// less returns a view without the room of what was referred here and may not be told of
// yet. Each home sees what it has referred itself; the others are taken to do the same.
func (s *seat) less(view cottonlanding.CellView, capacity cottonlanding.Millicores, homes int, now cottonlanding.Millis) cottonlanding.CellView {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.referred = slices.DeleteFunc(s.referred, func(work referredWork) bool { return now-work.at > untoldFor })
	if capacity == 0 {
		return view
	}
	for _, work := range s.referred {
		view.Free -= float64(homes) * float64(work.reserved) / float64(capacity)
		view.Spare -= float64(homes) * float64(work.filling) / float64(capacity)
	}
	return view
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

// otherCell is what is known here of the room of another cell.
type otherCell struct {
	cottonlanding.CellView
	capacity cottonlanding.Millicores
}

func (s *seat) other(homes int, now cottonlanding.Millis) otherCell {
	left, usable := s.left()
	return otherCell{s.less(viewOf(s.cell, left, usable), left.Capacity, homes, now), left.Capacity}
}

// holds reports whether the cell has room for work.
func (o otherCell) holds(work demand) bool {
	return o.Usable && enough(o.Free, work.reserved, o.capacity) && enough(o.Spare, work.filling, o.capacity)
}

// enough reports whether a part of a capacity is enough for a demand. Where nothing is asked
// for it is, however much waits there.
func enough(part float64, asked, capacity cottonlanding.Millicores) bool {
	return asked == 0 || part >= float64(asked)/float64(capacity)
}

// thatHold returns the cells with room for all lasting tasks of a workflow or, if there are
// none, those with room for some.
func thatHold(workflow cottonlanding.Workflow, others []otherCell) []otherCell {
	for _, tasks := range []func(cottonlanding.Step) int{lastingTasks, fewestLastingTasks} {
		work := demandOf(workflow, tasks)
		with := slices.DeleteFunc(slices.Clone(others), func(o otherCell) bool { return !o.holds(work) })
		if len(with) > 0 {
			return with
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
// that again: with lasting tasks it waits here until a cell has room for them, rather than
// where less waits.
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
			out = append(out, other.other(len(seats), now))
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
		s.gateway.seat(to).noteReferred(workflow, s.gateway.deps.Clock.Now())
	}
	return to, found
}
