// Package dispatcher runs callers' requests on executors.
//
// Every request ends with an outcome that is a true statement: Ran comes with
// the executor's whole answer, NotRun says that no executor ran it or will,
// Unknown that one may have.
package dispatcher

import (
	"context"
	"fmt"
	"sync"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/duty/ticker"
	"github.com/cottonlanding/cottonlanding/internal/request/claimer"
	"github.com/cottonlanding/cottonlanding/internal/request/lender"
)

const (
	// lateFactor bounds, in service timeouts, how long an executor's answer is
	// awaited after the caller was answered.
	lateFactor = 3
	// pollEvery is how often slots that became free with time are handed out.
	pollEvery = 20 * cottonlanding.Millis(1)
)

// Dispatcher dispatches the requests of one daemon.
type Dispatcher struct {
	executors cottonlanding.ExecutorClient
	claimer   *claimer.Claimer
	clock     cottonlanding.Clock
	forwarder Forwarder

	mu            sync.Mutex
	services      map[cottonlanding.ServiceName]*service
	configuration cottonlanding.Configuration
	supply        supply
	active        map[claimKey]struct{}
	closing       bool
	calls         sync.WaitGroup

	stop  chan struct{}
	ended chan struct{}
}

// supply is what the host list gave last.
type supply struct {
	executors map[cottonlanding.ServiceName][]cottonlanding.ExecutorInfo
	seats     int
	seated    bool
}

// New starts a dispatcher without services.
func New(executors cottonlanding.ExecutorClient, claimer *claimer.Claimer, clock cottonlanding.Clock, forwarder Forwarder) *Dispatcher {
	d := &Dispatcher{
		executors: executors,
		claimer:   claimer,
		clock:     clock,
		forwarder: forwarder,
		services:  make(map[cottonlanding.ServiceName]*service),
		active:    make(map[claimKey]struct{}),
		stop:      make(chan struct{}),
		ended:     make(chan struct{}),
	}
	go func() {
		defer close(d.ended)
		d.poll()
	}()
	return d
}

// SetConfiguration takes in the services and teams.
func (d *Dispatcher) SetConfiguration(configuration cottonlanding.Configuration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.configuration = configuration
	for _, spec := range configuration.Services {
		s := d.services[spec.Name]
		if s == nil {
			s = newService(d.clock, spec)
			d.services[spec.Name] = s
		}
		s.update(spec, configuration.Teams)
		s.setExecutors(d.supply.executors[spec.Name], d.supply.seats, d.supply.seated)
	}
}

// SetExecutors takes in the host list; of each executor's slots this daemon
// uses a share of 1/seats, or none if it has no seat.
func (d *Dispatcher) SetExecutors(infos []cottonlanding.ExecutorInfo, seats int, seated bool) {
	byService := make(map[cottonlanding.ServiceName][]cottonlanding.ExecutorInfo)
	for _, info := range infos {
		byService[info.Service] = append(byService[info.Service], info)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.supply = supply{executors: byService, seats: seats, seated: seated}
	for name, s := range d.services {
		s.setExecutors(byService[name], seats, seated)
	}
}

func (d *Dispatcher) all() map[cottonlanding.ServiceName]*service {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[cottonlanding.ServiceName]*service, len(d.services))
	for name, s := range d.services {
		out[name] = s
	}
	return out
}

// Demands makes the reports of all services for the lender. Each must be
// answered, or given up, before the next is made.
func (d *Dispatcher) Demands() []lender.Demand {
	var out []lender.Demand
	for _, s := range d.all() {
		out = append(out, s.demand())
	}
	return out
}

// Granted takes in the lender's answer to the reports that were sent at sent.
func (d *Dispatcher) Granted(loans []lender.Loan, sent cottonlanding.Millis) {
	services := d.all()
	for _, loan := range loans {
		if s := services[loan.Service]; s != nil {
			s.granted(loan.Units, sent)
		}
	}
}

// LongestRequest returns how long a request may go on at an executor.
func LongestRequest(services []cottonlanding.Service) cottonlanding.Millis {
	longest := cottonlanding.Millis(0)
	for _, service := range services {
		longest = max(longest, lateFactor*service.Timeout)
	}
	return longest
}

// State returns the dump.
func (d *Dispatcher) State() []ServiceState {
	var out []ServiceState
	for _, s := range d.all() {
		out = append(out, s.state())
	}
	return out
}

// Close refuses new calls and waits for those under way.
func (d *Dispatcher) Close(ctx context.Context) error {
	d.mu.Lock()
	d.closing = true
	d.mu.Unlock()
	done := make(chan struct{})
	go func() {
		d.calls.Wait()
		close(done)
	}()
	var err error
	select {
	case <-done:
	case <-ctx.Done():
		err = fmt.Errorf("requests are still under way: %w", ctx.Err())
	}
	close(d.stop)
	<-d.ended
	return err
}

func (d *Dispatcher) poll() {
	turns := ticker.New(pollEvery)
	defer turns.Stop()
	for {
		select {
		case <-d.stop:
			return
		case <-turns.Next():
		}
		for _, s := range d.all() {
			s.poll()
		}
	}
}
