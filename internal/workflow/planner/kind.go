package planner

import "github.com/cottonlanding/cottonlanding"

// kind classifies tasks by what they require of their worker.
type kind int

const (
	// shortTask ends by itself and has reserved resources.
	shortTask kind = iota
	// lastingTask runs until its workflow is cancelled.
	lastingTask
	// fillingTask uses the processor time that other tasks leave unused.
	fillingTask
	kinds
)

func kindOf(step cottonlanding.Step) kind {
	switch {
	case step.Fills:
		return fillingTask
	case step.Lasting:
		return lastingTask
	}
	return shortTask
}
