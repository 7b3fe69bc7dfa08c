package gateway

// What names rows and messages, for tests of the format.
var (
	LayoutKey       = layoutKey
	OwnersPartition = ownersPartition
	PartitionOf     = partitionOf
	AnswerToWire    = answerToWire
	AnswerFromWire  = answerFromWire
)

// Obstacles lists why a cell can't run a task.
var Obstacles = []any{noObstacle, unknownRoom, returnedLately, full, noLargeWorker}
