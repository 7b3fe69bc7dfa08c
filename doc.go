// Package cottonlanding schedules latency-critical services and batch work on the same hosts.
//
// The package holds the core types and the interfaces that all parts share. Implementations are in
// internal/; the coordination parts that other programs can embed are in the package coordination.
//
// There are two schedulers: that of jobs (job.go, worker.go) and that of workflows (workflow.go,
// run.go). Each has its own types for cells, tasks, runs and lives of workers: CellID, TaskID, Attempt,
// Incarnation and Inventory are those of jobs, CellNumber, TaskRef, RunNumber, Birth and RunReport those
// of workflows.
package cottonlanding
