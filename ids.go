package cottonlanding

import (
	"fmt"
	"regexp"
	"strconv"
)

// Names and numbers that identify things. Operators choose names, the system assigns ids.
type (
	// DataCentre names a data centre, such as "brno-a".
	DataCentre string
	// Rack names a rack within a data centre.
	Rack string
	// Team names a client account that shares the hosts with others.
	Team string
	// ServiceName names a latency-critical service.
	ServiceName string
	// JobName names a job, unique in a deployment.
	JobName string
	// WorkerID identifies a host that runs tasks.
	WorkerID string
	// ExecutorID identifies a process that answers requests of one service.
	ExecutorID string
	// SessionID identifies one life of the daemon of an entry host.
	SessionID string
	// CellID identifies a cell of jobs, "<data centre>/<number>": a group of racks that is scheduled as
	// one.
	CellID string
	// CellNumber numbers the cells in which a deployment runs its workflows, from zero.
	CellNumber int
	// Incarnation identifies one life of a worker to the scheduler of jobs; it changes with each restart.
	Incarnation string
	// Birth distinguishes the lives of one worker for the scheduler of workflows. It is the start of a
	// life by the worker's own clock, in milliseconds since 1970. That clock may jump, so the smaller of
	// two births need not be the earlier one. Zero is unknown.
	Birth int64
	// Epoch orders the owners of a cell and the calls of each owner; a higher one supersedes all lower ones.
	Epoch uint64
	// Generation counts accepted configurations.
	Generation uint64
	// Attempt counts the runs of one task of a job, from 1.
	Attempt uint32
	// Address is an IP address with a port.
	Address string
)

// String returns the number as it is written in row keys.
func (c CellNumber) String() string { return strconv.Itoa(int(c)) }

// TaskID identifies one task of a job.
type TaskID struct {
	Job   JobName
	Index int
}

// String returns the id as "job/index".
func (t TaskID) String() string { return fmt.Sprintf("%s/%d", t.Job, t.Index) }

// MaxNameLength is the maximum length of a name that operators choose, in bytes.
const MaxNameLength = 100

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// CheckName returns ErrBadName, wrapped with the reason, for a name that is invalid in a row key or a
// path.
func CheckName(name string) error {
	if len(name) > MaxNameLength {
		return fmt.Errorf("%w: %d bytes long, at most %d are allowed", ErrBadName, len(name), MaxNameLength)
	}
	if !namePattern.MatchString(name) {
		return fmt.Errorf("%w: %q must start with a letter or digit and hold only letters, digits, '.', '_' and '-'", ErrBadName, name)
	}
	return nil
}
