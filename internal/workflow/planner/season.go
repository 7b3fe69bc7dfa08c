package planner

import "github.com/cottonlanding/cottonlanding"

// updateSeason looks for the period that the loads of serving steps share, and logs when it is found or lost.
func (c *Cell) updateSeason(now cottonlanding.Millis) {
	season := c.interference.season
	if season == nil {
		return
	}
	before, wasKnown := season.Period()
	season.Update(now)
	period, known := season.Period()
	switch {
	case known && !wasKnown:
		c.counts.SeasonsFound++
		c.log.Info("period of the serving load found", "Period", period)
	case wasKnown && !known:
		c.counts.SeasonsLost++
		c.log.Info("period of the serving load lost", "Period", before)
	}
}

// storedPeriod returns the period for the row of what was learnt; zero if unknown.
func (m *interference) storedPeriod() cottonlanding.Millis {
	if m.season == nil {
		return 0
	}
	period, _ := m.season.Period()
	return period
}
