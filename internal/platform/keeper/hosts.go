package keeper

import (
	"cmp"
	"context"
	"slices"

	"github.com/cottonlanding/cottonlanding"
)

// hostTable is the host list.
type hostTable struct {
	workers   map[cottonlanding.WorkerID]cottonlanding.WorkerInfo
	executors map[cottonlanding.ExecutorID]cottonlanding.ExecutorInfo
}

func newHostTable() hostTable {
	return hostTable{
		workers:   make(map[cottonlanding.WorkerID]cottonlanding.WorkerInfo),
		executors: make(map[cottonlanding.ExecutorID]cottonlanding.ExecutorInfo),
	}
}

// Hosts implements cottonlanding.HostList.
func (k *Keeper) Hosts(_ context.Context, dataCentre cottonlanding.DataCentre) (cottonlanding.Hosts, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out cottonlanding.Hosts
	for _, worker := range k.hosts.workers {
		if worker.DataCentre == dataCentre {
			out.Workers = append(out.Workers, worker)
		}
	}
	for _, executor := range k.hosts.executors {
		if executor.DataCentre == dataCentre {
			out.Executors = append(out.Executors, executor)
		}
	}
	slices.SortFunc(out.Workers, func(a, b cottonlanding.WorkerInfo) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(out.Executors, func(a, b cottonlanding.ExecutorInfo) int { return cmp.Compare(a.ID, b.ID) })
	return out, nil
}

// SetWorker lists a worker, replacing what was listed under its id.
func (k *Keeper) SetWorker(worker cottonlanding.WorkerInfo) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.hosts.workers[worker.ID] = worker
}

// RemoveWorker takes a worker off the list.
func (k *Keeper) RemoveWorker(id cottonlanding.WorkerID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.hosts.workers, id)
}

// SetExecutor lists an executor, replacing what was listed under its id.
func (k *Keeper) SetExecutor(executor cottonlanding.ExecutorInfo) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.hosts.executors[executor.ID] = executor
}

// RemoveExecutor takes an executor off the list.
func (k *Keeper) RemoveExecutor(id cottonlanding.ExecutorID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.hosts.executors, id)
}
