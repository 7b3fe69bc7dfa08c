// Package exhibitor runs a daemon with an in-memory platform, workers and
// executors in one process, for a first look.
package exhibitor

import (
	"context"
	_ "embed" // for the example
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"time"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/daemon/runner"
	"github.com/cottonlanding/cottonlanding/internal/platform/keeper"
	"github.com/cottonlanding/cottonlanding/internal/settings/loader"
	"github.com/cottonlanding/cottonlanding/internal/stand/executor"
	"github.com/cottonlanding/cottonlanding/internal/stand/worker"
)

//go:embed example.yaml
var example []byte

const (
	dataCentre    cottonlanding.DataCentre = "local"
	workerCount                            = 8
	executorCount                          = 4
	serviceTime                            = 5 * cottonlanding.Millis(1)
	applyTimeout                           = 10 * time.Second
)

var workerCapacity = cottonlanding.Resources{CPU: 32 * cottonlanding.Core, Memory: 125 * cottonlanding.Gigabyte}

// Exhibit is everything in one process.
type Exhibit struct {
	daemon  *runner.Runner
	address cottonlanding.Address
}

// New starts the exhibit on an HTTP address; peers would use the next port.
func New(address cottonlanding.Address, log *slog.Logger) (*Exhibit, error) {
	peerAddress, err := nextPort(address)
	if err != nil {
		return nil, err
	}
	platform := keeper.New()
	settings := loader.Settings{
		DataCentre:         dataCentre,
		HTTPAddress:        address,
		PeerAddress:        peerAddress,
		Seats:              1,
		CellsPerDataCentre: 1,
		Timing:             loader.DefaultTiming(),
	}
	daemon, err := runner.New(settings, runner.Outside{
		Table:     platform,
		Hosts:     platform,
		Workers:   workers(platform),
		Executors: executors(platform),
	}, log)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), applyTimeout)
	defer cancel()
	if err := daemon.Apply(ctx, example); err != nil {
		daemon.Close()
		return nil, fmt.Errorf("apply the example: %w", err)
	}
	return &Exhibit{daemon: daemon, address: address}, nil
}

func nextPort(address cottonlanding.Address) (cottonlanding.Address, error) {
	host, port, err := net.SplitHostPort(string(address))
	if err != nil {
		return "", fmt.Errorf("listen address: %w", err)
	}
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return "", fmt.Errorf("listen address: %w", err)
	}
	return cottonlanding.Address(net.JoinHostPort(host, strconv.FormatUint(number+1, 10))), nil
}

func workers(platform *keeper.Keeper) *worker.Group {
	var all []*worker.Worker
	for i := range workerCount {
		info := cottonlanding.WorkerInfo{
			ID:         cottonlanding.WorkerID(fmt.Sprintf("worker-%d", i+1)),
			Address:    cottonlanding.Address(fmt.Sprintf("worker-%d", i+1)),
			DataCentre: dataCentre,
			Rack:       "rack-1",
			Capacity:   workerCapacity,
			State:      cottonlanding.Live,
		}
		platform.SetWorker(info)
		all = append(all, worker.New(info, cottonlanding.NewClock(), platform))
	}
	return worker.NewGroup(all...)
}

func executors(platform *keeper.Keeper) *executor.Local {
	var all []*executor.Executor
	for i := range executorCount {
		info := cottonlanding.ExecutorInfo{
			ID:         cottonlanding.ExecutorID(fmt.Sprintf("executor-%d", i+1)),
			Service:    "Ofenbuch",
			Address:    cottonlanding.Address(fmt.Sprintf("executor-%d", i+1)),
			DataCentre: dataCentre,
			Worker:     cottonlanding.WorkerID(fmt.Sprintf("worker-%d", i+1)),
			State:      cottonlanding.Live,
		}
		platform.SetExecutor(info)
		all = append(all, executor.New(info, 8, serviceTime))
	}
	return executor.NewLocal(all...)
}

const hints = `
cottonlanding runs in this process, with 8 workers and 4 executors. In another shell try:

  a quick request   curl -i -H 'Cottonlanding-Team: members' http://%[1]s/v1/Services/Ofenbuch/Requests/slots
  a booking         curl -i -X POST -d 'kiln 2, Friday' -H 'Cottonlanding-Team: members' \
                      -H 'Idempotency-Key: booking-1' http://%[1]s/v1/Services/Ofenbuch/Requests/book
                    (send it twice: the second gets the first one's answer)
  the firing plan   cottonlanding --server %[1]s status tonight
  the inside        cottonlanding --server %[1]s dump

Ctrl-C ends it; nothing is kept.
`

// Hints returns what to try next.
func (e *Exhibit) Hints() string { return fmt.Sprintf(hints, e.address) }

// Close ends the exhibit.
func (e *Exhibit) Close() { e.daemon.Close() }
