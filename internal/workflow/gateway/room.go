package gateway

import (
	"encoding/json"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

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

// view returns what is known here of the room of a cell that another host owns, or this
// one.
func (s *seat) view() cottonlanding.CellView {
	if local := s.local(); local != nil {
		left, usable := local.Report()
		return viewOf(s.cell, left, usable)
	}
	known := s.holder.View()
	var left planner.Report
	usable := len(known.Report) > 0 && known.BeatAge <= ownerSilence
	if usable {
		if err := json.Unmarshal(known.Report, &left); err != nil {
			s.gateway.deps.Log.Warn("report of another cell", "Cell", s.cell, "Error", err)
			usable = false
		}
	}
	return viewOf(s.cell, left, usable)
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
	var others []cottonlanding.CellView
	for _, other := range seats {
		if other != s {
			others = append(others, other.view())
		}
	}
	return s.gateway.settings.Referral.Refer(workflow, viewOf(s.cell, left, usable), others)
}
