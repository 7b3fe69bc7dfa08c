package scheduler

// EncodeRow and TaskKey are encode and taskKey for tests of the format.
var (
	EncodeRow = encode
	TaskKey   = taskKey
)
