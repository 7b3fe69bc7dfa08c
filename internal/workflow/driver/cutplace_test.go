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

// cutPlace is workers dealt over five data centres of which one can be cut off: what is sent there
// gets no answer.
type cutPlace struct {
	cottonlanding.RunClient
	cut *atomic.Bool
	// startsThere counts the starts that were sent there while it was cut off.
	startsThere *atomic.Int64
}

const cutPlaces = 5

func (c cutPlace) unreachable(worker cottonlanding.WorkerRef) bool {
	number, _ := strconv.Atoi(strings.TrimPrefix(string(worker.Life.Worker), "w"))
	return c.cut.Load() && number%cutPlaces == 0
}

func (c cutPlace) Start(ctx context.Context, worker cottonlanding.WorkerRef, start cottonlanding.RunStart) (cottonlanding.Reading, error) {
	if c.unreachable(worker) {
		c.startsThere.Add(1)
		<-ctx.Done()
		return 0, cottonlanding.ErrAmbiguous
	}
	return c.RunClient.Start(ctx, worker, start)
}

func (c cutPlace) Poll(ctx context.Context, worker cottonlanding.WorkerRef, look cottonlanding.Poll) (cottonlanding.RunReport, error) {
	var report cottonlanding.RunReport
	var err error
	if !c.unreachable(worker) {
		report, err = c.RunClient.Poll(ctx, worker, look)
	}
	if c.unreachable(worker) { // the answer may be cut off, too
		<-ctx.Done()
		return cottonlanding.RunReport{}, cottonlanding.ErrAmbiguous
	}
	return report, err
}

// TestNothingStartsInADataCentreThatIsCutOff plays the load of many short tasks while a data centre
// is cut off: a start that is sent there waits for the end of the cut, and its job with it. Found
// silent together, its workers get less than half of what each gets until it is found silent by
// itself; once they answer, they are given tasks again.
func TestNothingStartsInADataCentreThatIsCutOff(t *testing.T) {
	const (
		startsThereASecond = 100 / cutPlaces
		noticed            = 400 * time.Millisecond
	)
	started := make(map[bool]int64)
	for _, plain := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			var cut atomic.Bool
			var startsThere atomic.Int64
			o := newOwner(t, setup{workers: 250, room: 8, policy: spread(), places: cutPlaces, plainSilence: plain, apart: true,
				client: func(client cottonlanding.RunClient) cottonlanding.RunClient {
					return cutPlace{client, &cut, &startsThere}
				}})
			load := func(name string, span time.Duration) {
				for number := range int(span / (100 * time.Millisecond)) {
					o.submit(cottonlanding.WorkflowID(fmt.Sprintf("%s%d", name, number)), cottonlanding.Step{Tasks: 10, Estimate: 200})
					time.Sleep(100 * time.Millisecond)
				}
			}
			load("before", 2*time.Second)
			cut.Store(true)
			load("cut", 4*time.Second)
			cut.Store(false)
			time.Sleep(2 * time.Second)
			started[plain] = startsThere.Load()
			before := o.runner.Starts()
			load("after", 2*time.Second)
			require.GreaterOrEqual(t, o.runner.Starts()-before, 200)
			o.driver.Close()
		})
	}
	t.Logf("starts that were sent into the cut: %d worker by worker, %d as a place", started[true], started[false])
	require.Less(t, started[false], started[true])
	require.LessOrEqual(t, started[false], int64(startsThereASecond*noticed/time.Second))
}

// TestCutHoldsUpTheWorkflowsOfOneDataCentre plays the same load with workflows of twenty tasks that
// take a second when the cut begins: kept together, it holds up no more of them than the part of
// the data centres that it takes and one that was being placed; dealt out, it holds up all.
func TestCutHoldsUpTheWorkflowsOfOneDataCentre(t *testing.T) {
	const workflows, tasks = 30, 20
	heldUp := make(map[bool]int)
	for _, apart := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			var cut atomic.Bool
			var startsThere atomic.Int64
			o := newOwner(t, setup{workers: 100, room: 16, policy: spread(), places: cutPlaces, apart: apart,
				client: func(client cottonlanding.RunClient) cottonlanding.RunClient {
					return cutPlace{client, &cut, &startsThere}
				}})
			for number := range workflows {
				o.submit(cottonlanding.WorkflowID(fmt.Sprintf("w%d", number)), cottonlanding.Step{Tasks: tasks, Estimate: 200})
			}
			o.eventually("all tasks run", func() bool { return o.runner.Starts() == workflows*tasks })
			cut.Store(true)
			time.Sleep(3 * time.Second)
			for number := range workflows {
				if state, err := o.driver.State(cottonlanding.WorkflowID(fmt.Sprintf("w%d", number))); err != nil || state != cottonlanding.WorkflowSucceeded {
					heldUp[apart]++
				}
			}
			o.driver.Close()
		})
	}
	t.Logf("of %d workflows %d are held up if dealt out, %d if kept together", workflows, heldUp[true], heldUp[false])
	require.Greater(t, heldUp[true], 2*heldUp[false])
	require.LessOrEqual(t, heldUp[false], workflows/cutPlaces+1)
}
