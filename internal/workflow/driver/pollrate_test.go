package driver_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// immediateWorkers answer each poll at once, whatever wait it allows, and count the polls.
type immediateWorkers struct {
	cottonlanding.RunClient
	polls atomic.Int64
}

func (p *immediateWorkers) Poll(ctx context.Context, worker cottonlanding.WorkerRef, poll cottonlanding.Poll) (cottonlanding.RunReport, error) {
	p.polls.Add(1)
	poll.Wait = 0
	return p.RunClient.Poll(ctx, worker, poll)
}

// TestPollRateIsBounded guards against an owner that polls workers which don't hold back their answers as soon as they
// have answered. Sixteen such workers leave one processor so little time for callers that cancellations take more than
// ten seconds.
func TestPollRateIsBounded(t *testing.T) {
	const workers = 16
	var immediate *immediateWorkers
	o := newOwner(t, setup{workers: workers, tasksPerWorker: 32, policy: spreadPlacement(), client: func(client cottonlanding.RunClient) cottonlanding.RunClient {
		immediate = &immediateWorkers{RunClient: client}
		return immediate
	}})
	defer o.driver.Close()
	o.submit("lasting", cottonlanding.Step{Tasks: workers, Lasting: true})
	o.eventually("all run", func() bool { return o.runner.Lasting() == workers })
	before := immediate.polls.Load()
	time.Sleep(time.Second)
	require.LessOrEqual(t, immediate.polls.Load()-before, int64(workers*30), "polls in a second: 20 for each worker and a tolerance")
}
