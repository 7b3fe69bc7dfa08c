// Package cottonlanding schedules latency-critical services and batch work on the same hosts.
//
// The package holds the core types and the interfaces that all parts share. Implementations are in
// internal/; the coordination parts that other programs can embed are in the package coordination.
package cottonlanding
