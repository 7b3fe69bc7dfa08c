package driver

import (
	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// maxOrderDelay is the maximum time from an event to the order that follows from it, while the table and the host work
// normally: two ticks, one for the decision and one for the sending, and a commit.
const maxOrderDelay = 3 * tick

// CheckDown is planner.CheckDown with the times of a driver.
func CheckDown(timing planner.Timing, takeOver cottonlanding.Millis) error {
	return planner.CheckDown(timing, takeOver, callTimeout, maxOrderDelay)
}
