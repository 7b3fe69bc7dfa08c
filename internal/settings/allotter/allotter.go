// Package allotter tells what a process may use of its machine.
package allotter

import (
	"os"
	"runtime/debug"
	"strconv"

	"github.com/cottonlanding/cottonlanding"
)

// Environment variables that a platform can set instead of the settings.
const (
	memoryVariable      = "HOST_MEMORY_MB"
	descriptorsVariable = "HOST_DESCRIPTORS"
)

// heapFraction is the fraction of the memory from which on garbage is collected sooner.
const heapFraction = 0.6

// Allotment is what a process may use; a field that is zero is unknown.
type Allotment struct {
	Memory      cottonlanding.Bytes `yaml:"Memory"`
	Descriptors int                 `yaml:"Descriptors"`
}

// ReadEnvironment reads the fields that the environment gives. It ignores what is no number above zero.
func (a *Allotment) ReadEnvironment() {
	if megabytes, err := strconv.ParseInt(os.Getenv(memoryVariable), 10, 32); err == nil && megabytes > 0 {
		a.Memory = cottonlanding.Bytes(megabytes) * cottonlanding.Megabyte
	}
	if count, err := strconv.Atoi(os.Getenv(descriptorsVariable)); err == nil && count > 0 {
		a.Descriptors = count
	}
}

// LimitHeap has the process collect its garbage sooner when it comes near its memory.
func (a *Allotment) LimitHeap() {
	if a.Memory > 0 {
		debug.SetMemoryLimit(int64(heapFraction * float64(a.Memory)))
	}
}
