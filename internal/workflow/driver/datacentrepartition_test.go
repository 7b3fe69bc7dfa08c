package driver_test

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// partitionedClient spreads the workers over five data centres, one of which can be partitioned: calls to its workers
// get no answer.
type partitionedClient struct {
	cottonlanding.RunClient
	partitioned *atomic.Bool
	// startsDuringPartition counts the starts that were sent to the partitioned data centre.
	startsDuringPartition *atomic.Int64
}

const dataCentreCount = 5

func (c partitionedClient) unreachable(worker cottonlanding.WorkerRef) bool {
	number, _ := strconv.Atoi(strings.TrimPrefix(string(worker.Life.Worker), "w"))
	return c.partitioned.Load() && number%dataCentreCount == 0
}

func (c partitionedClient) Start(ctx context.Context, worker cottonlanding.WorkerRef, start cottonlanding.RunStart) (cottonlanding.Reading, error) {
	if c.unreachable(worker) {
		c.startsDuringPartition.Add(1)
		<-ctx.Done()
		return 0, cottonlanding.ErrAmbiguous
	}
	return c.RunClient.Start(ctx, worker, start)
}

func (c partitionedClient) Poll(ctx context.Context, worker cottonlanding.WorkerRef, poll cottonlanding.Poll) (cottonlanding.RunReport, error) {
	var report cottonlanding.RunReport
	var err error
	if !c.unreachable(worker) {
		report, err = c.RunClient.Poll(ctx, worker, poll)
	}
	if c.unreachable(worker) { // the answer may be lost, too
		<-ctx.Done()
		return cottonlanding.RunReport{}, cottonlanding.ErrAmbiguous
	}
	return report, err
}

// TestFewStartsInPartitionedDataCentre guards against short tasks that are started in a partitioned data centre: such a
// start waits for the end of the partition, and its workflow with it. Workers that are found unresponsive together, as
// a data centre, get fewer starts than if each is found unresponsive on its own, and at most those due within
// detectionTime. They get tasks again once they answer.
func TestFewStartsInPartitionedDataCentre(t *testing.T) {
	const (
		startsPerSecond = 100 / dataCentreCount
		detectionTime   = 400 * time.Millisecond
	)
	started := make(map[bool]int64)
	for _, perWorker := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			var partitioned atomic.Bool
			var startsDuringPartition atomic.Int64
			o := newOwner(t, setup{workers: 250, tasksPerWorker: 8, policy: spreadPlacement(), dataCentres: dataCentreCount, perWorkerSilence: perWorker, spreadTasks: true,
				client: func(client cottonlanding.RunClient) cottonlanding.RunClient {
					return partitionedClient{client, &partitioned, &startsDuringPartition}
				}})
			load := func(name string, span time.Duration) {
				for number := range int(span / (100 * time.Millisecond)) {
					o.submit(cottonlanding.WorkflowID(fmt.Sprintf("%s%d", name, number)), cottonlanding.Step{Tasks: 10, Estimate: 200})
					time.Sleep(100 * time.Millisecond)
				}
			}
			load("before", 2*time.Second)
			partitioned.Store(true)
			load("cut", 4*time.Second)
			partitioned.Store(false)
			time.Sleep(2 * time.Second)
			started[perWorker] = startsDuringPartition.Load()
			before := o.runner.Starts()
			load("after", 2*time.Second)
			require.GreaterOrEqual(t, o.runner.Starts()-before, 200)
			o.driver.Close()
		})
	}
	t.Logf("starts sent to the partitioned data centre: %d if each worker is found unresponsive on its own, %d if the data centre is",
		started[true], started[false])
	require.Less(t, started[false], started[true])
	require.LessOrEqual(t, started[false], int64(startsPerSecond*detectionTime/time.Second))
}

// TestColocationLimitsPartitionImpact guards against a partition of one data centre that delays the workflows of all.
// With the twenty tasks of each workflow colocated, it delays no more workflows than the data centre's share and one
// that was being placed; with the tasks spread, it delays all.
func TestColocationLimitsPartitionImpact(t *testing.T) {
	const workflows, tasks = 30, 20
	delayed := make(map[bool]int)
	for _, spreadTasks := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			var partitioned atomic.Bool
			var startsDuringPartition atomic.Int64
			o := newOwner(t, setup{workers: 100, tasksPerWorker: 16, policy: spreadPlacement(), dataCentres: dataCentreCount, spreadTasks: spreadTasks,
				client: func(client cottonlanding.RunClient) cottonlanding.RunClient {
					return partitionedClient{client, &partitioned, &startsDuringPartition}
				}})
			for number := range workflows {
				o.submit(cottonlanding.WorkflowID(fmt.Sprintf("w%d", number)), cottonlanding.Step{Tasks: tasks, Estimate: 200})
			}
			o.eventually("all tasks run", func() bool { return o.runner.Starts() == workflows*tasks })
			partitioned.Store(true)
			time.Sleep(3 * time.Second)
			for number := range workflows {
				if state, err := o.driver.State(cottonlanding.WorkflowID(fmt.Sprintf("w%d", number))); err != nil || state != cottonlanding.WorkflowSucceeded {
					delayed[spreadTasks]++
				}
			}
			o.driver.Close()
		})
	}
	t.Logf("of %d workflows %d are delayed if spread, %d if colocated", workflows, delayed[true], delayed[false])
	require.Greater(t, delayed[true], 2*delayed[false])
	require.LessOrEqual(t, delayed[false], workflows/dataCentreCount+1)
}
