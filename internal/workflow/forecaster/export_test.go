package forecaster

// Listed returns the number of series that a season looks at.
func Listed(s *Season) int { return len(s.series) }
