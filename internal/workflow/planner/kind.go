package planner

import "github.com/cottonlanding/cottonlanding"

// kind tells apart what a task asks of its worker.
type kind int

const (
	// shortTask ends by itself and has room reserved for it.
	shortTask kind = iota
	// lastingTask runs until its workflow is cancelled.
	lastingTask
	// fillingTask takes the processors that others leave.
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
