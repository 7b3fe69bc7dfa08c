package interpreter

// Result is result for golden tests.
type Result = result
