package cottonlanding

import (
	"context"
	"fmt"
)

// HostState is the state that the platform gives for a host.
type HostState string

// The states of a host.
const (
	Live    HostState = "Live"
	Leaving HostState = "Leaving"
)

// WorkerInfo describes a worker as the host list gives it.
type WorkerInfo struct {
	ID WorkerID
	// Born is the birth of the life that the list tells of.
	Born       Birth
	Address    Address
	DataCentre DataCentre
	Rack       Rack
	Capacity   Resources
	State      HostState
	// Service names the queues' service that the worker belongs to.
	Service ServiceName
	// Labels lists the worker's properties, its rack among them.
	Labels []Label
}

// Life names the life that the list tells of.
func (w WorkerInfo) Life() Life { return Life{w.ID, w.Born} }

// WorkerAttributes is what the list says of a worker beyond that it lives. Two of them can be
// compared.
type WorkerAttributes struct {
	born       Birth
	address    Address
	dataCentre DataCentre
	state      HostState
	service    ServiceName
	capacity   Resources
	labels     string
}

// Attributes returns what the list says of the worker beyond that it lives.
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

// ExecutorInfo describes an executor as the host list gives it.
type ExecutorInfo struct {
	ID         ExecutorID
	Service    ServiceName
	Address    Address
	DataCentre DataCentre
	Worker     WorkerID
	State      HostState
}

// Hosts is one answer of the host list.
type Hosts struct {
	Workers   []WorkerInfo
	Executors []ExecutorInfo
}

// HostList is the platform's list of live and leaving hosts. It lags.
type HostList interface {
	// Hosts returns the hosts of one data centre.
	Hosts(ctx context.Context, dataCentre DataCentre) (Hosts, error)
}
