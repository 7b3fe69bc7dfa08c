package cottonlanding

// NewSuspensionClock exports newSuspensionClock for tests.
var NewSuspensionClock = newSuspensionClock
