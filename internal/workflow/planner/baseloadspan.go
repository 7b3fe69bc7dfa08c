package planner

import "github.com/cottonlanding/cottonlanding"

// maxForecast returns the largest load expected in a span. The forecast is linear, so that it is at one of the ends.
func (l *baseLoad) maxForecast(from, to cottonlanding.Millis) float64 {
	return max(l.forecastAt(from), l.forecastAt(to))
}
