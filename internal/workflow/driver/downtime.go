package driver

import "github.com/cottonlanding/cottonlanding/internal/workflow/planner"

// maxOrderDelay is how long it takes at most, while the table and the host are as usual, from what is known to the order that
// follows from it: two ticks, of the decision and of what is sent, and a commit.
const maxOrderDelay = 3 * tick

// CheckDown is planner.CheckDown with the spans of a driver.
func CheckDown(timing planner.Timing) error {
	return planner.CheckDown(timing, callTimeout, maxOrderDelay)
}
