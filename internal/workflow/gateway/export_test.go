package gateway

// What names rows and messages, for tests of the format.
var (
	LayoutKey       = layoutKey
	OwnersPartition = ownersPartition
	PartitionOf     = partitionOf
	AnswerToWire    = answerToWire
	AnswerFromWire  = answerFromWire
)

// Rejections lists why a cell can't run a task.
var Rejections = []any{notRejected, unknownCapacity, returnedByCell, full, workersTooSmall}
