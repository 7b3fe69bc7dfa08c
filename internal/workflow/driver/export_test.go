package driver

// Fence is the value of the fence row, for tests of the format.
type Fence = fence

// FenceRow names the fence row.
const FenceRow = fenceRow

// EncodeFence is encodeFence, for tests of the format.
var EncodeFence = encodeFence
