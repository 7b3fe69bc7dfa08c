package cottonlanding

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strings"
)

// HostState is the state that the platform reports for a host.
type HostState string

// The states of a host.
const (
	Live    HostState = "Live"
	Leaving HostState = "Leaving"
)

// WorkerInfo describes a worker as the host list reports it.
type WorkerInfo struct {
	ID WorkerID
	// Born is the birth of the listed life.
	Born       Birth
	Address    Address
	DataCentre DataCentre
	Rack       Rack
	Capacity   Resources
	State      HostState
	// Service is the service of the worker; the queues that name it use the worker.
	Service ServiceName
	// Labels lists the worker's properties, including its rack.
	Labels []Label
}

// Life returns the listed life.
func (w WorkerInfo) Life() Life { return Life{w.ID, w.Born} }

// WorkerAttributes holds what the list says of a worker other than its id and that it is alive. The
// rack is among the labels. Values can be compared with ==.
type WorkerAttributes struct {
	born       Birth
	address    Address
	dataCentre DataCentre
	state      HostState
	service    ServiceName
	capacity   Resources
	labels     string
}

// Limits of a worker's entry.
const (
	maxWorkerID     = 200
	maxWorkerLabels = 64
)

// Check returns an error if the entry doesn't describe a worker that can be called and has room. Entries may come from
// other writers than the workers.
func (w WorkerInfo) Check() error {
	address, err := netip.ParseAddrPort(string(w.Address))
	switch {
	case !validWorkerID(w.ID):
		return errors.New("its id is empty, too long or not printable")
	case w.Service == "":
		return errors.New("it names no service")
	case err != nil:
		return fmt.Errorf("its address: %w", err)
	case address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast():
		return fmt.Errorf("nothing can be reached at its address %s", address)
	case w.DataCentre == "":
		return errors.New("it names no data centre")
	case w.Born < 0:
		return fmt.Errorf("%d is no birth", w.Born)
	case w.Capacity.CPU <= 0 || w.Capacity.Memory <= 0 || w.Capacity.Accelerators < 0:
		return fmt.Errorf("its capacity %+v is none", w.Capacity)
	case w.Capacity.CPU >= MaxDeclaredCPU || w.Capacity.Memory >= MaxDeclaredMemory || w.Capacity.Accelerators >= MaxDeclaredAccelerators:
		return fmt.Errorf("its capacity %+v is more than any worker has", w.Capacity)
	case len(w.Labels) > maxWorkerLabels:
		return fmt.Errorf("it has %d labels, at most %d are allowed", len(w.Labels), maxWorkerLabels)
	}
	return nil
}

// validWorkerID reports whether an id can be sent as the value of a header.
func validWorkerID(id WorkerID) bool {
	return id != "" && len(id) <= maxWorkerID && !strings.ContainsFunc(string(id), func(r rune) bool { return r <= ' ' || r > '~' })
}

// Attributes returns what the list says of the worker other than its id and that it is alive.
func (w WorkerInfo) Attributes() WorkerAttributes {
	return WorkerAttributes{
		born:       w.Born,
		address:    w.Address,
		dataCentre: w.DataCentre,
		state:      w.State,
		service:    w.Service,
		capacity:   w.Capacity,
		labels:     fmt.Sprintf("%q", w.Labels),
	}
}

// ExecutorInfo describes an executor as the host list reports it.
type ExecutorInfo struct {
	ID         ExecutorID
	Service    ServiceName
	Address    Address
	DataCentre DataCentre
	Worker     WorkerID
	State      HostState
}

// Hosts is one response of the host list.
type Hosts struct {
	Workers   []WorkerInfo
	Executors []ExecutorInfo
}

// HostList is the platform's list of live and leaving hosts. It lags behind their actual state.
type HostList interface {
	// Hosts returns the hosts of one data centre.
	Hosts(ctx context.Context, dataCentre DataCentre) (Hosts, error)
}
