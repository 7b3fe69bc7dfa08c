package driver

// Fence is the value of the row that every transaction checks, for tests of the format.
type Fence = fence

// FenceRow names that row.
const FenceRow = fenceRow

// EncodeFence is encodeFence for tests of the format.
var EncodeFence = encodeFence
