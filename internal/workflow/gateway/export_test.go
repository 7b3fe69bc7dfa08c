package gateway

// Names of rows and encodings of messages, for the golden tests.
var (
	LayoutKey        = layoutKey
	OwnersPartition  = ownersPartition
	PartitionOf      = partitionOf
	ResponseToWire   = responseToWire
	ResponseFromWire = responseFromWire
)

// Rejections lists the reasons for which a cell can't run a task.
var Rejections = []any{notRejected, unknownCapacity, returnedByCell, noCapacityLeft, noWorkerFits}
