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
	// reserved is the processors for which the work has room reserved, filling those that
	// its filling tasks use.
	reserved, filling cottonlanding.Millicores
}

// noteReferred takes in that a workflow was referred to this cell.
func (s *seat) noteReferred(workflow cottonlanding.Workflow, now cottonlanding.Millis) {
	work := referredWork{at: now}
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

// view returns what is known here of the room of another cell.
func (s *seat) view(homes int, now cottonlanding.Millis) cottonlanding.CellView {
	left, usable := s.left()
	return s.less(viewOf(s.cell, left, usable), left.Capacity, homes, now)
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
	seats := *s.gateway.seats.Load()
	if len(seats) < 2 {
		return 0, false
	}
	now := s.gateway.deps.Clock.Now()
	var others []cottonlanding.CellView
	for _, other := range seats {
		if other != s {
			others = append(others, other.view(len(seats), now))
		}
	}
	to, found := s.gateway.settings.Referral.Refer(workflow, viewOf(s.cell, left, usable), others)
	if found {
		s.gateway.seat(to).noteReferred(workflow, now)
	}
	return to, found
}
