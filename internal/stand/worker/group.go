package worker

import (
	"context"
	"fmt"
	"net/http"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/target/commander"
	"github.com/cottonlanding/cottonlanding/internal/web/responder"
)

// Paths for tests and oracles.
const (
	LedgerPath  = "/stand/Ledger"
	FaultsPath  = "/stand/WorkerFaults"
	RestartPath = "/stand/Restart"
)

// Group holds the workers of one process, by address. It implements
// cottonlanding.WorkerClient for use within the process, and http.Handler.
type Group struct {
	workers map[cottonlanding.Address]*Worker
	order   []*Worker
	mux     *http.ServeMux
}

// NewGroup returns a group of workers, each known by its listed address.
func NewGroup(workers ...*Worker) *Group {
	g := &Group{workers: make(map[cottonlanding.Address]*Worker), order: workers, mux: http.NewServeMux()}
	for _, w := range workers {
		g.workers[w.info.Address] = w
	}
	g.mux.HandleFunc("POST "+commander.RenewPath, g.serveRenew)
	g.mux.HandleFunc("POST "+commander.StartPath, g.serveStart)
	for path, operation := range g.commands() {
		g.mux.HandleFunc("POST "+path, g.serveCommand(operation))
	}
	g.mux.HandleFunc("GET "+LedgerPath, g.serveLedger)
	g.mux.HandleFunc("PUT "+FaultsPath, g.serveFaults)
	g.mux.HandleFunc("POST "+RestartPath, g.serveRestart)
	return g
}

type commandFunc func(context.Context, cottonlanding.Address, cottonlanding.Command) error

func (g *Group) commands() map[string]commandFunc {
	return map[string]commandFunc{
		commander.StopPath:        g.Stop,
		commander.CheckpointPath:  g.Checkpoint,
		commander.ThrottlePath:    g.Throttle,
		commander.AcknowledgePath: g.Acknowledge,
	}
}

// Workers returns the group's workers.
func (g *Group) Workers() []*Worker { return g.order }

func (g *Group) worker(address cottonlanding.Address) (*Worker, error) {
	w := g.workers[address]
	if w == nil {
		return nil, fmt.Errorf("%w: no worker at %s", cottonlanding.ErrUnavailable, address)
	}
	return w, nil
}

// Renew implements cottonlanding.WorkerClient.
func (g *Group) Renew(_ context.Context, address cottonlanding.Address, fence cottonlanding.Fence) (cottonlanding.Inventory, error) {
	w, err := g.worker(address)
	if err != nil {
		return cottonlanding.Inventory{}, err
	}
	return w.Renew(fence)
}

// Start implements cottonlanding.WorkerClient.
func (g *Group) Start(ctx context.Context, address cottonlanding.Address, start cottonlanding.Start) error {
	w, err := g.worker(address)
	if err != nil {
		return err
	}
	return w.Start(ctx, start)
}

// Stop implements cottonlanding.WorkerClient.
func (g *Group) Stop(_ context.Context, address cottonlanding.Address, command cottonlanding.Command) error {
	w, err := g.worker(address)
	if err != nil {
		return err
	}
	return w.Stop(command)
}

// Checkpoint implements cottonlanding.WorkerClient.
func (g *Group) Checkpoint(ctx context.Context, address cottonlanding.Address, command cottonlanding.Command) error {
	w, err := g.worker(address)
	if err != nil {
		return err
	}
	return w.Checkpoint(ctx, command)
}

// Throttle implements cottonlanding.WorkerClient.
func (g *Group) Throttle(_ context.Context, address cottonlanding.Address, command cottonlanding.Command) error {
	w, err := g.worker(address)
	if err != nil {
		return err
	}
	return w.Throttle(command)
}

// Acknowledge implements cottonlanding.WorkerClient.
func (g *Group) Acknowledge(_ context.Context, address cottonlanding.Address, command cottonlanding.Command) error {
	w, err := g.worker(address)
	if err != nil {
		return err
	}
	return w.Acknowledge(command)
}

// ServeHTTP implements http.Handler; the worker is picked by the Host header.
func (g *Group) ServeHTTP(w http.ResponseWriter, r *http.Request) { g.mux.ServeHTTP(w, r) }

func (g *Group) serveRenew(w http.ResponseWriter, r *http.Request) {
	var fence cottonlanding.Fence
	if !decode(w, r, &fence) {
		return
	}
	inventory, err := g.Renew(r.Context(), cottonlanding.Address(r.Host), fence)
	if err != nil {
		responder.Error(w, err)
		return
	}
	responder.Write(w, http.StatusOK, inventory)
}

func (g *Group) serveStart(w http.ResponseWriter, r *http.Request) {
	var start cottonlanding.Start
	if decode(w, r, &start) {
		done(w, g.Start(r.Context(), cottonlanding.Address(r.Host), start))
	}
}

func (g *Group) serveCommand(operation commandFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var command cottonlanding.Command
		if decode(w, r, &command) {
			done(w, operation(r.Context(), cottonlanding.Address(r.Host), command))
		}
	}
}

func (g *Group) serveLedger(w http.ResponseWriter, _ *http.Request) {
	var out []Entry
	for _, worker := range g.order {
		out = append(out, worker.Ledger()...)
	}
	responder.Write(w, http.StatusOK, out)
}

func (g *Group) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !decode(w, r, &faults) {
		return
	}
	worker, err := g.worker(cottonlanding.Address(r.Host))
	if err == nil {
		worker.SetFaults(faults)
	}
	done(w, err)
}

func (g *Group) serveRestart(w http.ResponseWriter, r *http.Request) {
	worker, err := g.worker(cottonlanding.Address(r.Host))
	if err == nil {
		worker.Restart()
	}
	done(w, err)
}

func decode(w http.ResponseWriter, r *http.Request, out any) bool {
	if err := responder.Read(r, out); err != nil {
		responder.Fail(w, http.StatusBadRequest, "BadBody", err.Error())
		return false
	}
	return true
}

func done(w http.ResponseWriter, err error) {
	if err != nil {
		responder.Error(w, err)
		return
	}
	responder.Write(w, http.StatusOK, struct{}{})
}
