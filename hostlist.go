package cottonlanding

import (
	"context"
	"fmt"
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
