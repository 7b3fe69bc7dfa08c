package gateway

// Names of rows and encodings of messages, for the golden tests.
var (
	LayoutKey       = layoutKey
	OwnersPartition = ownersPartition
	PartitionOf     = partitionOf
	AnswerToWire    = answerToWire
	AnswerFromWire  = answerFromWire
)

// Rejections lists the reasons for which a cell can't run a task.
var Rejections = []any{notRejected, unknownCapacity, returnedByCell, full, workersTooSmall}
