package worker

// SavedCheckpoint is checkpoint for golden tests.
type SavedCheckpoint = checkpoint
